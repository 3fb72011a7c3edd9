#include "shelf.hpp"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <sstream>
#include <utility>

namespace heronvane::copies {

namespace fs = std::filesystem;

namespace {

// Beside the owner's facts, none of which is called so: all of a holder's state; where it is since.
const std::string kStateKey = "shelf", kAtKey = "shelf.at";
constexpr std::size_t kMostRows = 1 << 20;
constexpr std::uint64_t kLeastDisk = 1'000'000;
constexpr int kTidySteps = 8;

std::string folder_name(const LogId& log, std::uint64_t count) {
  return log.name + "." + std::to_string(log.incarnation) + "." + std::to_string(count);
}

struct Named {
  LogId log;
  std::uint64_t count = 0;
};
std::optional<std::uint64_t> whole(std::string_view text) {
  std::uint64_t v = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (bad != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return v;
}
std::optional<Named> read_name(const std::string& name) {
  const auto last = name.rfind('.');
  if (last == std::string::npos || last == 0) return std::nullopt;
  const auto middle = name.rfind('.', last - 1);
  if (middle == std::string::npos || middle == 0) return std::nullopt;
  const auto number = whole(std::string_view(name).substr(middle + 1, last - middle - 1));
  const auto count = whole(std::string_view(name).substr(last + 1));
  if (!number || !count) return std::nullopt;
  return Named{{name.substr(0, middle), *number}, *count};
}

Packet answer_to(const Packet& asked, Packet::Kind kind) {
  Packet p;
  p.kind = kind, p.log = asked.log, p.epoch = asked.epoch, p.part = asked.part;
  return p;
}
Packet word_to(const Packet& asked, Saying saying) {
  Packet p = answer_to(asked, Packet::Kind::word);
  p.saying = std::move(saying);
  return p;
}
Packet full(const Packet& asked, const std::string& why) {
  Packet p = answer_to(asked, Packet::Kind::full);
  p.text = why;
  return p;
}

}  // namespace

// What syncs goes before the files that it syncs.
Shelves::Copy::~Copy() {
  sync.reset();
  store.reset();
}

Shelves::Shelves(ShelfOptions options) : options_(std::move(options)) {
  fs::create_directories(options_.folder);
  load();
}
Shelves::~Shelves() = default;

void Shelves::load() {
  std::map<LogId, std::map<std::uint64_t, std::string>> found;
  for (const auto& entry : fs::directory_iterator(options_.folder))
    if (const auto named = read_name(entry.path().filename().string()); named && entry.is_directory())
      found[named->log][named->count] = entry.path().string();
  for (const auto& [log, folders] : found) {
    auto shelf = std::make_unique<Shelf>();
    shelf->log = log, shelf->heard = options_.steady();
    shelf->count = folders.rbegin()->first;
    for (auto it = folders.rbegin(); it != folders.rend(); ++it) {
      if (shelf->copy) {  // an earlier one
        fs::remove_all(it->second);
        continue;
      }
      shelf->disk = options_.limit_bytes;  // until it is known
      std::unique_ptr<Copy> copy;
      try {
        copy = open(*shelf, it->second);
      } catch (const std::exception& e) {
        options_.log("copies: " + it->second + ": can't be read: " + e.what());
        forgot_ = true;
        continue;
      }
      if (!copy->store->recovery().damaged.empty() || copy->store->recovery().counts.missing > 0) {
        options_.log("copies: " + it->second + " is damaged: what was promised for it may be forgotten");
        forgot_ = true;
      }
      const auto at = copy->store->facts().find(kStateKey);
      const auto state = at == copy->store->facts().end() ? std::nullopt : read_state(at->second);
      if (!state) {  // a snapshot that had not come to its end
        copy.reset();
        fs::remove_all(it->second);
        continue;
      }
      HolderState s{state->promised, state->last, state->last_epoch, state->config, state->moved};
      if (const auto later = copy->store->facts().find(kAtKey); later != copy->store->facts().end()) {
        std::istringstream in(later->second);
        in >> s.last >> s.last_epoch.number >> s.last_epoch.claimant.incarnation >>
            s.last_epoch.claimant.name;
      }
      shelf->holder = Holder(s);
      shelf->ahead = state->ahead, shelf->disk = state->disk;
      shelf->left = s.last == 0;
      shelf->copy = std::move(copy);
    }
    if (shelf->copy) shelves_[log] = std::move(shelf);
  }
  if (!forgot_) return;
  shelves_.clear();
  for (const auto& [log, folders] : found)
    for (const auto& [count, path] : folders) fs::remove_all(path);
}

std::unique_ptr<Shelves::Copy> Shelves::open(Shelf& shelf, const std::string& path) {
  auto copy = std::make_unique<Copy>();
  copy->path = path;
  copy->disk = store::open_folder(path);
  store::Options o;
  o.limit_bytes = std::max(shelf.disk, kLeastDisk);
  o.durability = options_.durability;
  o.vital_facts = {kStateKey, kAtKey};
  o.log = options_.log;
  if (o.durability == store::Durability::machine)
    copy->sync = std::make_unique<store::SyncThread>(*copy->disk, options_.post);
  copy->store = std::make_unique<store::Store>(*copy->disk, std::move(o), copy->sync.get());
  copy->store->on_sync([this, &shelf] { flush(shelf); });
  return copy;
}

std::unique_ptr<Shelves::Copy> Shelves::fresh(Shelf& shelf) {
  const std::string path = options_.folder + "/" + folder_name(shelf.log, ++shelf.count);
  fs::remove_all(path);
  fs::create_directories(path);
  return open(shelf, path);
}

void Shelves::remove(std::unique_ptr<Copy> copy) {
  if (!copy) return;
  const std::string path = copy->path;
  copy.reset();
  std::error_code ignored;
  fs::remove_all(path, ignored);
}

Shelves::Shelf* Shelves::shelf_for(const Packet& packet, std::string& why_not) {
  if (const auto it = shelves_.find(packet.log); it != shelves_.end()) return it->second.get();
  std::uint64_t used = 0;
  for (const auto& [log, s] : shelves_) {
    // Of one that has gone elsewhere only the promises are left.
    const auto& state = s->holder.state();
    const bool released = (state.moved || s->left) && s->copy->store->held().empty();
    used += released ? s->copy->store->bytes() : s->disk;
  }
  const std::uint64_t disk = std::max(packet.disk, kLeastDisk);
  if (used + disk > options_.limit_bytes) {
    why_not = "no room for a further log of " + std::to_string(disk) + " bytes: " + std::to_string(used) +
              " of " + std::to_string(options_.limit_bytes) + " are taken; raise copies.disk_mb";
    return nullptr;
  }
  auto shelf = std::make_unique<Shelf>();
  shelf->log = packet.log, shelf->disk = disk, shelf->heard = options_.steady();
  try {
    shelf->copy = fresh(*shelf);
  } catch (const std::exception& e) {
    why_not = e.what();
    return nullptr;
  }
  return (shelves_[packet.log] = std::move(shelf)).get();
}

void Shelves::hear(const Packet& packet, Reply reply) {
  const bool writes = packet.kind == Packet::Kind::part ||
                      (packet.saying && std::holds_alternative<say::Append>(*packet.saying));
  const auto known = shelves_.find(packet.log);
  // A claim, too, binds one that had nothing yet: what comes later under a lower epoch is refused.
  std::string why_not;
  Shelf* const shelf = packet.kind == Packet::Kind::release
                           ? (known == shelves_.end() ? nullptr : known->second.get())
                           : shelf_for(packet, why_not);
  if (shelf == nullptr) {
    if (packet.kind != Packet::Kind::release) reply(full(packet, why_not));
    return;
  }
  if (writes) shelf->left = false;
  if (writes && packet.now != 0) {
    const Microseconds ahead = packet.now - options_.now();
    constexpr Microseconds kSame = 50'000;
    if (std::abs(ahead - shelf->ahead) > kSame) shelf->ahead = ahead;
  }
  switch (packet.kind) {
    case Packet::Kind::word:
      return std::holds_alternative<say::Read>(*packet.saying) ? read(*shelf, packet, reply)
                                                               : word(*shelf, packet, reply);
    case Packet::Kind::part:
      return part(*shelf, packet, reply);
    case Packet::Kind::release:
      return release(*shelf, packet);
    case Packet::Kind::part_taken:
    case Packet::Kind::heard:
    case Packet::Kind::full:
      return reply(full(packet, "no word to a holder"));
  }
}

// State and records in one batch. False: they can't be written now, and are kept for the next time.
bool Shelves::keep_state(Shelf& shelf, Copy& copy, const HolderState& s) {
  copy.store->put(store::record::Fact{kAtKey, {}});
  copy.store->put(store::record::Fact{
      kStateKey, write_state(s.promised, s.last, s.last_epoch, s.config, s.moved, shelf.ahead, shelf.disk)});
  return copy.store->commit();
}

void Shelves::word(Shelf& shelf, const Packet& packet, const Reply& reply) {
  const HolderState before = shelf.holder.state();
  auto heard = shelf.holder.hear(*packet.saying);
  if (!heard.answer) return reply(full(packet, "no word to a holder"));
  auto& store = *shelf.copy->store;
  // Records that a holder can't read are not what its owner wrote: better told than acknowledged.
  bool whole = true;
  for (const auto& e : heard.entries)
    whole = read_rows(packet.salt, e.bytes, [&](store::Record&& r) { store.put(std::move(r)); }) && whole;
  if (!whole) {
    shelf.holder = Holder(before);
    return reply(full(packet, "entries that can't be read"));
  }
  const HolderState& now = shelf.holder.state();
  const bool more = now.promised != before.promised || now.config.version != before.config.version ||
                    now.moved != before.moved;
  if (more || !store.unavailable_reason().empty()) {
    if (!keep_state(shelf, *shelf.copy, now)) return reply(full(packet, store.unavailable_reason()));
  } else if (now != before) {
    store.put(store::record::Fact{kAtKey, std::to_string(now.last) + " " +
                                              std::to_string(now.last_epoch.number) + " " +
                                              std::to_string(now.last_epoch.claimant.incarnation) + " " +
                                              now.last_epoch.claimant.name});
    if (!store.commit()) return reply(full(packet, store.unavailable_reason()));
  }
  when_durable(shelf, [reply, answer = word_to(packet, std::move(*heard.answer))] { reply(answer); });
}

void Shelves::part(Shelf& shelf, const Packet& packet, const Reply& reply) {
  if (packet.epoch < shelf.holder.state().promised)
    return reply(word_to(packet, say::Refused{shelf.holder.state().promised}));
  try {
    if (packet.part == 0) {
      remove(std::exchange(shelf.staging, nullptr));
      shelf.staging = fresh(shelf);
      shelf.next_part = 0;
    }
  } catch (const std::exception& e) {
    return reply(full(packet, e.what()));
  }
  if (!shelf.staging || packet.part != shelf.next_part) return reply(full(packet, "a part out of turn"));
  shelf.next_part++;
  auto& store = *shelf.staging->store;
  const bool whole = read_rows(packet.salt, packet.body, [&](store::Record&& r) { store.put(std::move(r)); });
  if (!whole || !store.commit()) {
    remove(std::exchange(shelf.staging, nullptr));
    return reply(full(packet, whole ? "the disk takes no more" : "rows that can't be read"));
  }
  if (!packet.last || !packet.saying) {
    Packet taken = answer_to(packet, Packet::Kind::part_taken);
    return reply(taken);
  }
  Holder holder = shelf.holder;
  auto heard = holder.hear(*packet.saying);
  if (!heard.replaced) {  // refused, or what it has is newer
    remove(std::exchange(shelf.staging, nullptr));
    return heard.answer ? reply(word_to(packet, std::move(*heard.answer)))
                        : reply(full(packet, "no word to a holder"));
  }
  if (!keep_state(shelf, *shelf.staging, holder.state())) {
    remove(std::exchange(shelf.staging, nullptr));
    return reply(full(packet, "the disk takes no more"));
  }
  shelf.holder = holder;
  swap_in(shelf);
  when_durable(shelf, [reply, answer = word_to(packet, std::move(*heard.answer))] { reply(answer); });
}

// What waits for the earlier copy is answered by what is in its place: that is of a later word.
void Shelves::swap_in(Shelf& shelf) {
  auto earlier = std::exchange(shelf.copy, std::exchange(shelf.staging, nullptr));
  shelf.reader.reset();
  for (auto& one : shelf.waiting) one.first = shelf.copy->store->written();
  // The earlier one goes once the new one stands.
  const auto held = std::make_shared<std::unique_ptr<Copy>>(std::move(earlier));
  when_durable(shelf, [this, held] { remove(std::move(*held)); });
}

void Shelves::when_durable(Shelf& shelf, std::function<void()> then) {
  if (shelf.waiting.empty() && shelf.copy->store->durable() >= shelf.copy->store->written()) return then();
  shelf.waiting.emplace_back(shelf.copy->store->written(), std::move(then));
  flush(shelf);
}

void Shelves::flush(Shelf& shelf) {
  while (shelf.copy && !shelf.waiting.empty() &&
         shelf.waiting.front().first <= shelf.copy->store->durable()) {
    const auto then = std::move(shelf.waiting.front().second);
    shelf.waiting.pop_front();
    then();
  }
}

void Shelves::read(Shelf& shelf, const Packet& packet, const Reply& reply) {
  auto heard = shelf.holder.hear(*packet.saying);
  const bool refused = std::holds_alternative<say::Refused>(*heard.answer);
  Packet answer = word_to(packet, std::move(*heard.answer));
  if (refused) return reply(answer);
  if (packet.part == 0) {
    shelf.reader = std::make_unique<RowWriter>(*shelf.copy->store);
    shelf.reader_part = 0;
  }
  if (!shelf.reader || shelf.reader_part != packet.part) return reply(full(packet, "a part out of turn"));
  answer.body = shelf.reader->next(kMostRows);
  answer.last = shelf.reader->done();
  answer.numbered = shelf.reader->numbered();
  answer.salt = shelf.copy->store->salt();
  answer.now = options_.now() + shelf.ahead;
  shelf.reader_part++;
  if (answer.last) shelf.reader.reset();
  reply(answer);
}

// The promises stay, with nothing beside them.
void Shelves::release(Shelf& shelf, const Packet& packet) {
  const auto& state = shelf.holder.state();
  if (!state.moved || state.moved->epoch > packet.epoch || shelf.copy->store->held().empty()) return;
  put_alone(shelf, HolderState(state));
}

void Shelves::empty(const LogId& log) {
  const auto it = shelves_.find(log);
  if (it == shelves_.end()) return;
  // As one that has the promise and none of the log: whoever writes to it again begins with a snapshot.
  HolderState state = it->second->holder.state();
  state.last = 0, state.last_epoch = {};
  it->second->left = true;
  put_alone(*it->second, state);
}

void Shelves::put_alone(Shelf& shelf, const HolderState& state) {
  try {
    shelf.staging = fresh(shelf);
  } catch (const std::exception&) {
    return;  // it only takes room
  }
  if (!keep_state(shelf, *shelf.staging, state)) return remove(std::exchange(shelf.staging, nullptr));
  shelf.holder = Holder(state);
  swap_in(shelf);
}

void Shelves::forget_all() {
  for (auto& [log, s] : std::exchange(shelves_, {})) {
    remove(std::move(s->staging));
    remove(std::move(s->copy));
  }
}

void Shelves::heard(const LogId& log) {
  if (const auto it = shelves_.find(log); it != shelves_.end()) it->second->heard = options_.steady();
}

bool Shelves::tidy() {
  bool more = false;
  for (auto& [log, s] : shelves_)
    for (int i = 0; i < kTidySteps && s->copy->store->wants_compaction(); i++) {
      const auto step = s->copy->store->compact();
      if (step != store::Store::Step::more) break;
      more = more || i + 1 == kTidySteps;
    }
  return more;
}

Shelves::View Shelves::view(const Shelf& s) const {
  return {s.log,
          s.holder.state(),
          s.heard,
          s.copy->store->held().size(),
          s.copy->store->bytes(),
          s.copy->store->unavailable_reason()};
}
std::vector<Shelves::View> Shelves::all() const {
  std::vector<View> out;
  for (const auto& [log, s] : shelves_) out.push_back(view(*s));
  return out;
}
std::optional<Shelves::View> Shelves::find(const LogId& log) const {
  const auto it = shelves_.find(log);
  if (it == shelves_.end()) return std::nullopt;
  return view(*it->second);
}

}  // namespace heronvane::copies

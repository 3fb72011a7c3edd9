#include "takeover.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "facts.hpp"

namespace heronvane::copies {

namespace {

constexpr Microseconds kSayAgain = 150'000;        // words that were not answered
constexpr Microseconds kReadAgain = 2'000'000;     // a state that is read, from its first part on
constexpr Microseconds kClaimAtMost = 20'000'000;  // then anew, under a higher epoch
constexpr Microseconds kPause = 1'000'000;         // after one that was beaten
constexpr Microseconds kAskAgain = 250'000;        // other holders, when they heard an owner
constexpr Microseconds kAskSeldom = 2'000'000;     // where it has been silent here for long, and not to them

std::string key_of(const LogId& log) { return kImportKey + log.name + "." + std::to_string(log.incarnation); }
std::string name_of(const LogId& log) {
  std::ostringstream out;
  out << log;
  return out.str();
}

}  // namespace

void Takeover::load() {
  for (const auto& [key, value] : host_.store.facts()) {
    if (key.compare(0, kImportKey.size(), kImportKey) != 0) continue;
    auto import = read_import(value);
    if (!import) continue;
    host_.store.reserve_numbers(import->to);
    host_.log("copies: the take-over of " + name_of(import->log) + " had begun, and goes on");
    imports_.push_back(std::move(*import));
  }
}

bool Takeover::parked(MessageId number) const {
  return std::any_of(imports_.begin(), imports_.end(),
                     [&](const Import& i) { return i.from <= number && number < i.to; });
}

const Import* Takeover::import_of(const LogId& log) const {
  const auto it =
      std::find_if(imports_.begin(), imports_.end(), [&](const Import& i) { return i.log == log; });
  return it == imports_.end() ? nullptr : &*it;
}

std::vector<Member> Takeover::wanted() const {
  std::vector<Member> all;
  const auto add = [&](const Config& c) {
    all.insert(all.end(), c.holders.begin(), c.holders.end());
    all.insert(all.end(), c.next.begin(), c.next.end());
  };
  if (claim_) add(claim_->config());
  for (const auto& i : imports_) add(i.config);
  for (const auto& [log, doubt] : doubts_)
    if (const auto shelf = host_.shelves.find(log)) add(shelf->state.config);
  return all;
}

std::string Takeover::doing() const {
  if (!claim_) return imports_.empty() ? "" : "waits to go on with " + name_of(imports_.front().log);
  static constexpr const char* kWords[] = {
      "asks the holders", "reads", "imports", "moves", "won", "moved", "beaten"};
  return name_of(log_) + ": " + kWords[static_cast<int>(claim_->state())];
}

std::string Takeover::begin_by_hand(const std::string& name) {
  if (claim_) return "busy with the take-over of " + name_of(log_);
  std::optional<Shelves::View> found;
  for (auto& shelf : host_.shelves.all())
    if (shelf.log.name == name && !shelf.state.moved && (!found || found->log < shelf.log)) found = shelf;
  if (!found) return "this relay holds no copy of a log of " + name + " that is to be taken over";
  by_hand_ = true;
  host_.log("copies: taking over " + name_of(found->log) + ", as the operator says");
  begin(found->log, found->state.config, found->state.promised.number);
  return {};
}

void Takeover::begin(const LogId& log, const Config& config, std::uint64_t above) {
  log_ = log;
  part_ = 0, next_ = 0, whole_ = false, said_at_ = 0, read_at_ = 0;
  began_at_ = host_.steady();
  chained_.clear();
  const Member self = host_.self();
  claim_.emplace(self, Claim::Purpose::take_over, Epoch{host_.next_epoch(above), self}, config,
                 host_.own_log(), 0, Epoch{}, ClaimOptions{host_.acks()});
  host_.settle();  // the epoch is kept before it is said
}

void Takeover::tick() {
  const Microseconds now = host_.steady();
  if (!claim_) {
    if (now < again_at_) return;
    // What an earlier life began goes first, unless its owner has written on since.
    for (const auto& i : std::vector<Import>(imports_)) {
      // Not before the log that it came with is this one's.
      if (i.via && import_of(*i.via) != nullptr) continue;
      const auto shelf = host_.shelves.find(i.log);
      if (shelf && shelf->state.last_epoch > i.epoch && i.epoch != Epoch{}) {
        log_ = i.log;
        drop_parked("its owner went on");
        return;
      }
      if (shelf && host_.after > 0 && now - shelf->heard < host_.after) continue;
      const auto& config =
          shelf && shelf->state.config.version > i.config.version ? shelf->state.config : i.config;
      return begin(i.log, config, shelf ? shelf->state.promised.number : i.epoch.number);
    }
    return look_for_gone();
  }
  if (now - began_at_ > kClaimAtMost) {
    host_.log("copies: the claim on " + name_of(log_) + " comes to no end; anew under a higher epoch");
    const auto config = claim_->config();
    const auto epoch = claim_->epoch().number;
    return begin(log_, config, epoch);
  }
  if (claim_->state() == Claim::State::importing && whole_ && host_.store.durable() >= written_) {
    claim_->imported();
    said_at_ = 0;
  }
  if (now - said_at_ >= kSayAgain) say_words();
}

// An owner that neither this holder nor enough of the others have heard is gone.
void Takeover::look_for_gone() {
  const Microseconds now = host_.steady();
  if (host_.after <= 0) return;
  const Member self = host_.self();
  std::map<LogId, Doubt> doubts;
  for (const auto& shelf : host_.shelves.all()) {
    const auto& config = shelf.state.config;
    // Of one that it holds no more only the promises are left.
    if (shelf.state.moved || shelf.state.last == 0 || shelf.log == host_.own_log()) continue;
    auto holders = config.holders;
    holders.insert(holders.end(), config.next.begin(), config.next.end());
    const auto rank = std::find(holders.begin(), holders.end(), self) - holders.begin();
    if (rank == static_cast<std::ptrdiff_t>(holders.size())) continue;  // it holds that log no more
    // One after the other, so that few claim at a time.
    const Microseconds after = host_.after + rank * std::min<Microseconds>(host_.after / 4, 1'000'000);
    if (now - shelf.heard < after) continue;
    Doubt& doubt = doubts[shelf.log] = std::move(doubts_[shelf.log]);
    std::set<Member> silent{self};
    for (const auto& [m, ago] : doubt.ago)
      if (ago < 0 || ago >= host_.after) silent.insert(m);
    if (enough_claims(config, silent, host_.acks())) {
      host_.log("copies: " + shelf.log.name + " was not heard for " +
                std::to_string((now - shelf.heard) / 1000) +
                " ms, by enough of its holders: taking over what it owes");
      doubts_ = std::move(doubts);
      doubts_.erase(shelf.log);
      by_hand_ = false;
      return begin(shelf.log, config, shelf.state.promised.number);
    }
    if (now - doubt.asked_at < (now - shelf.heard > 4 * after ? kAskSeldom : kAskAgain)) continue;
    doubt.asked_at = now;
    doubt.ago.clear();  // what was said a while ago counts no more
    Packet ask;
    ask.kind = Packet::Kind::heard, ask.log = shelf.log, ask.version = config.version;
    for (const auto& m : holders)
      if (m != self) host_.say(m, ask);
  }
  doubts_ = std::move(doubts);
}

void Takeover::say_words() {
  if (!host_.store.unavailable_reason().empty()) return;  // what is promised here could not be kept
  said_at_ = host_.steady();
  const auto words = claim_->words();
  for (const auto& letter : words) {
    Packet p;
    p.log = log_, p.saying = letter.saying;
    if (std::holds_alternative<say::Read>(letter.saying)) {
      // Part by part, as they come; anew where none came for long.
      if (read_at_ != 0 && said_at_ - read_at_ < kReadAgain) continue;
      read_at_ = said_at_;
      p.part = part_ = 0;
    }
    host_.say(letter.to, p);
  }
}

void Takeover::hear(const Member& from, const Packet& packet) {
  if (packet.kind == Packet::Kind::heard && packet.replaced) {
    host_.log("copies: others hold " + name_of(packet.log) + " in this relay's place: its copy goes");
    host_.shelves.empty(packet.log);
    doubts_.erase(packet.log);
    return;
  }
  if (packet.kind == Packet::Kind::heard) {
    if (const auto it = doubts_.find(packet.log); it != doubts_.end()) it->second.ago[from] = packet.ago;
    return;
  }
  if (!claim_ || packet.log != log_ || packet.kind != Packet::Kind::word) return;
  if (const auto* const state = std::get_if<say::State>(&*packet.saying)) {
    if (state->epoch != claim_->epoch() || claim_->state() != Claim::State::reading ||
        from != claim_->source() || packet.part != part_)
      return;
    take_part(packet);
    if (!claim_) return;
    if (!packet.last) {
      Packet more;
      more.log = log_, more.saying = say::Read{claim_->epoch()}, more.part = ++part_;
      read_at_ = host_.steady();
      host_.say(from, more);
      return;
    }
  }
  const auto before = claim_->state();
  claim_->hear(from, *packet.saying);
  if (claim_->state() != before) moved_on();
}

void Takeover::moved_on() {
  switch (claim_->state()) {
    case Claim::State::importing: {
      // What that log had begun to take over itself stays parked when this is won.
      for (const auto& c : chained_) {
        if (c.first == 0 || import_of(c.import.log) != nullptr) continue;
        Import there = c.import;
        there.from = c.first, there.to = c.end, there.via = log_, there.epoch = {};
        imports_.push_back(std::move(there));
        keep_import(c.import.log);
      }
      whole_ = true;
      host_.settle();
      written_ = host_.store.written();
      return;
    }
    case Claim::State::won:
      return won();
    case Claim::State::moved: {
      const Import* const i = import_of(log_);
      if (i != nullptr && i->via && *i->via == claim_->into()) return won();
      host_.log("copies: " + name_of(log_) + " went to " + name_of(claim_->into()));
      return drop_parked("it went elsewhere");
    }
    case Claim::State::beaten:
      host_.log("copies: the claim on " + name_of(log_) + " was beaten by " +
                claim_->beaten_by().claimant.name);
      // It may be alive; what stands here stays parked until it is known where the log went.
      host_.shelves.heard(log_);
      again_at_ = host_.steady() + kPause;
      return end();
    case Claim::State::asking:
    case Claim::State::reading:
    case Claim::State::moving:
      said_at_ = 0;  // the next words at once
      return;
  }
}

void Takeover::keep_import(const LogId& log) {
  const Import* const i = import_of(log);
  host_.store.put(store::record::Fact{key_of(log), i == nullptr ? std::string() : write_import(*i)});
}

// With what came along; its messages go, too.
void Takeover::drop_import(const LogId& log) {
  for (const auto& i : std::vector<Import>(imports_)) {
    if (i.log != log && i.via != log) continue;
    for (MessageId n = i.from; n < i.to; n++) host_.store.finish(n, false);
    std::erase_if(imports_, [&](const Import& x) { return x.log == i.log; });
    keep_import(i.log);
  }
}

void Takeover::take_part(const Packet& packet) {
  if (packet.part == 0) {
    const Import* i = import_of(log_);
    // What an earlier claim brought is read anew.
    if (i != nullptr && (i->epoch != claim_->epoch() || i->to - i->from != packet.numbered)) {
      drop_import(log_);
      i = nullptr;
    }
    if (i == nullptr) {
      Import fresh;
      fresh.log = log_, fresh.config = claim_->config(), fresh.epoch = claim_->epoch();
      fresh.from = host_.store.next_number(), fresh.to = fresh.from + packet.numbered;
      host_.store.reserve_numbers(fresh.to);
      imports_.push_back(std::move(fresh));
      i = &imports_.back();
      keep_import(log_);
    }
    next_ = i->from;
    chained_.clear();
    // The log's clock as it stands now, by that holder.
    shift_ = host_.store.clock().now() - packet.now;
  }
  const MessageId end = import_of(log_)->to;
  bool fits = true;
  const bool whole = read_rows(packet.salt, packet.body, [&](store::Record&& r) {
    const bool numbered = std::holds_alternative<store::record::Accepted>(r) ||
                          std::holds_alternative<store::record::Finished>(r);
    if (numbered && next_ >= end)
      fits = false;
    else
      take(std::move(r));
  });
  if (!whole || !fits) {
    host_.log("copies: " + name_of(log_) + ": what its holder sent can't be read; again later");
    again_at_ = host_.steady() + kPause;
    return this->end();
  }
  host_.settle();
}

void Takeover::take(store::Record&& record) {
  if (auto* const t = std::get_if<store::record::Accepted>(&record)) {
    for (auto& c : chained_)
      if (c.import.from <= t->number && t->number < c.import.to) {
        if (c.first == 0) c.first = next_;
        c.end = next_ + 1;
      }
    t->number = next_++;
    t->held.message.deadline += shift_;
    for (auto& a : t->held.attempts) a.sent += shift_;
    host_.store.put(std::move(record));
  } else if (auto* const o = std::get_if<store::record::Finished>(&record)) {
    o->number = next_++;
    o->remember_until += shift_;
    if (!host_.store.remembers(o->id)) host_.store.put(std::move(record));
  } else if (const auto* const f = std::get_if<store::record::Fact>(&record)) {
    // It had begun to take over others itself: who has these is to be asked, then.
    if (f->key.compare(0, kImportKey.size(), kImportKey) != 0) return;
    if (auto import = read_import(f->value)) chained_.push_back({std::move(*import), 0, 0});
  }
}

void Takeover::won() {
  const Claim claim = *claim_;
  std::vector<std::pair<MessageId, MessageId>> ours;
  if (const Import* const i = import_of(log_)) {
    MessageId from = i->from;
    const MessageId to = i->to;
    std::erase_if(imports_, [&](const Import& x) { return x.log == log_; });
    keep_import(log_);
    std::vector<std::pair<MessageId, MessageId>> still;
    for (const auto& x : imports_)
      if (x.via == log_) still.emplace_back(x.from, x.to);
    std::sort(still.begin(), still.end());
    for (const auto& [first, end] : still) {
      if (first > from) ours.emplace_back(from, first);
      from = end;
    }
    if (to > from) ours.emplace_back(from, to);
  }
  host_.log("copies: " + name_of(log_) + " is taken over, under epoch " +
            std::to_string(claim.epoch().number));
  done_++;
  const LogId log = log_;
  end();
  host_.settle();
  for (const auto& [from, to] : ours) host_.taken_over(from, to);
  Packet release;
  release.kind = Packet::Kind::release, release.log = log, release.epoch = claim.epoch();
  std::vector<Member> members = claim.config().holders;
  members.insert(members.end(), claim.config().next.begin(), claim.config().next.end());
  for (const auto& m : members) host_.say(m, release);
}

void Takeover::drop_parked(const std::string& why) {
  if (import_of(log_) != nullptr) {
    host_.log("copies: what was read of " + name_of(log_) + " is dropped: " + why);
    drop_import(log_);
  }
  end();
  host_.settle();
}

void Takeover::end() {
  claim_.reset();
  chained_.clear();
  whole_ = false;
}

void Takeover::forget() {
  for (const auto& i : std::exchange(imports_, {})) host_.store.put(store::record::Fact{key_of(i.log), {}});
  end();
  doubts_.clear();
}

}  // namespace heronvane::copies

#include "replica_logs.hpp"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <sstream>
#include <utility>

namespace heronvane::copies {

namespace fs = std::filesystem;

namespace {

// Keys beside the leader's facts, which have no such names: the complete replica state, and the end of the
// log since.
const std::string kStateKey = "shelf", kEndKey = "shelf.at";
constexpr std::size_t kReadChunkBytes = 1 << 20;
constexpr std::uint64_t kMinLeaderDiskBytes = 1'000'000;
constexpr int kCompactionStepsPerLog = 8;

std::string folder_name(const LogId& log, std::uint64_t folder_count) {
  return log.name + "." + std::to_string(log.incarnation) + "." + std::to_string(folder_count);
}

struct FolderName {
  LogId log;
  std::uint64_t folder_count = 0;
};
std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}
std::optional<FolderName> parse_folder_name(const std::string& name) {
  const auto last = name.rfind('.');
  if (last == std::string::npos || last == 0) return std::nullopt;
  const auto middle = name.rfind('.', last - 1);
  if (middle == std::string::npos || middle == 0) return std::nullopt;
  const auto number = parse_number(std::string_view(name).substr(middle + 1, last - middle - 1));
  const auto count = parse_number(std::string_view(name).substr(last + 1));
  if (!number || !count) return std::nullopt;
  return FolderName{{name.substr(0, middle), *number}, *count};
}

Packet answer_to(const Packet& request, Packet::Kind kind) {
  Packet answer;
  answer.kind = kind, answer.log = request.log, answer.epoch = request.epoch, answer.chunk = request.chunk;
  return answer;
}
Packet message_to(const Packet& request, ProtocolMessage message) {
  Packet answer = answer_to(request, Packet::Kind::message);
  answer.message = std::move(message);
  return answer;
}
Packet unavailable(const Packet& request, const std::string& reason) {
  Packet answer = answer_to(request, Packet::Kind::unavailable);
  answer.reason = reason;
  return answer;
}

}  // namespace

// The sync thread must end before the files that it syncs are closed.
ReplicaLogs::Folder::~Folder() {
  sync.reset();
  store.reset();
}

ReplicaLogs::ReplicaLogs(ReplicaLogsOptions options) : options_(std::move(options)) {
  fs::create_directories(options_.folder);
  load();
}
ReplicaLogs::~ReplicaLogs() = default;

void ReplicaLogs::load() {
  std::map<LogId, std::map<std::uint64_t, std::string>> folders_by_log;
  for (const auto& entry : fs::directory_iterator(options_.folder))
    if (const auto parsed_name = parse_folder_name(entry.path().filename().string());
        parsed_name && entry.is_directory())
      folders_by_log[parsed_name->log][parsed_name->folder_count] = entry.path().string();
  for (const auto& [log, folders] : folders_by_log) {
    auto replica_log = std::make_unique<ReplicaLog>();
    replica_log->log = log, replica_log->last_contact = options_.steady();
    replica_log->folder_count = folders.rbegin()->first;
    for (auto folder_it = folders.rbegin(); folder_it != folders.rend(); ++folder_it) {
      if (replica_log->current) {  // older copies of the log
        fs::remove_all(folder_it->second);
        continue;
      }
      replica_log->leader_disk_bytes = options_.limit_bytes;  // until the saved limit is read
      std::unique_ptr<Folder> folder;
      try {
        folder = open(*replica_log, folder_it->second);
      } catch (const std::exception& e) {
        options_.log("copies: " + folder_it->second + ": the replica log can't be opened: " + e.what());
        lost_promises_ = true;
        continue;
      }
      if (!folder->store->recovery().damaged.empty() || folder->store->recovery().counts.missing > 0) {
        options_.log("copies: " + folder_it->second +
                     " is damaged: promises made for this replica log may be lost");
        lost_promises_ = true;
      }
      const auto state_fact = folder->store->facts().find(kStateKey);
      const auto saved =
          state_fact == folder->store->facts().end() ? std::nullopt : read_state(state_fact->second);
      if (!saved) {  // an incomplete snapshot
        folder.reset();
        fs::remove_all(folder_it->second);
        continue;
      }
      ReplicaState restored{saved->promised, saved->last, saved->last_epoch, saved->config, saved->moved};
      if (const auto end_fact = folder->store->facts().find(kEndKey);
          end_fact != folder->store->facts().end()) {
        std::istringstream end_fields(end_fact->second);
        end_fields >> restored.last >> restored.last_epoch.number >>
            restored.last_epoch.claimant.incarnation >> restored.last_epoch.claimant.name;
      }
      replica_log->replica = Replica(restored);
      replica_log->clock_offset = saved->clock_offset,
      replica_log->leader_disk_bytes = saved->leader_disk_bytes;
      replica_log->replaced = restored.last == 0;
      replica_log->current = std::move(folder);
    }
    if (replica_log->current) replica_logs_[log] = std::move(replica_log);
  }
  if (!lost_promises_) return;
  replica_logs_.clear();
  for (const auto& [log, folders] : folders_by_log)
    for (const auto& [folder_count, path] : folders) fs::remove_all(path);
}

std::unique_ptr<ReplicaLogs::Folder> ReplicaLogs::open(ReplicaLog& replica_log, const std::string& path) {
  auto folder = std::make_unique<Folder>();
  folder->path = path;
  folder->disk = store::open_folder(path);
  store::Options store_options;
  store_options.limit_bytes = std::max(replica_log.leader_disk_bytes, kMinLeaderDiskBytes);
  store_options.durability = options_.durability;
  store_options.vital_facts = {kStateKey, kEndKey};
  store_options.log = options_.log;
  if (store_options.durability == store::Durability::machine)
    folder->sync = std::make_unique<store::SyncThread>(*folder->disk, options_.post);
  folder->store = std::make_unique<store::Store>(*folder->disk, std::move(store_options), folder->sync.get());
  folder->store->on_sync([this, &replica_log] { flush(replica_log); });
  return folder;
}

std::unique_ptr<ReplicaLogs::Folder> ReplicaLogs::create_folder(ReplicaLog& replica_log) {
  const std::string path = options_.folder + "/" + folder_name(replica_log.log, ++replica_log.folder_count);
  fs::remove_all(path);
  fs::create_directories(path);
  return open(replica_log, path);
}

void ReplicaLogs::remove(std::unique_ptr<Folder> folder) {
  if (!folder) return;
  const std::string path = folder->path;
  folder.reset();
  std::error_code ignored;
  fs::remove_all(path, ignored);
}

ReplicaLogs::ReplicaLog* ReplicaLogs::find_or_create(const Packet& packet, std::string& error) {
  if (const auto found = replica_logs_.find(packet.log); found != replica_logs_.end())
    return found->second.get();
  std::uint64_t used = 0;
  for (const auto& [log, replica_log] : replica_logs_) {
    // Of a log that moved or has other replicas, only the promises remain.
    const auto& state = replica_log->replica.state();
    const bool released =
        (state.moved || replica_log->replaced) && replica_log->current->store->held().empty();
    used += released ? replica_log->current->store->bytes() : replica_log->leader_disk_bytes;
  }
  const std::uint64_t leader_disk_bytes = std::max(packet.leader_disk_bytes, kMinLeaderDiskBytes);
  if (used + leader_disk_bytes > options_.limit_bytes) {
    error = "not enough disk space for another replica log of " + std::to_string(leader_disk_bytes) +
            " bytes: " + std::to_string(used) + " of " + std::to_string(options_.limit_bytes) +
            " bytes are reserved; raise copies.disk_mb";
    return nullptr;
  }
  auto replica_log = std::make_unique<ReplicaLog>();
  replica_log->log = packet.log, replica_log->leader_disk_bytes = leader_disk_bytes,
  replica_log->last_contact = options_.steady();
  try {
    replica_log->current = create_folder(*replica_log);
  } catch (const std::exception& e) {
    error = e.what();
    return nullptr;
  }
  return (replica_logs_[packet.log] = std::move(replica_log)).get();
}

void ReplicaLogs::handle(const Packet& packet, Reply reply) {
  const bool writes = packet.kind == Packet::Kind::snapshot_chunk ||
                      (packet.message && std::holds_alternative<protocol::Append>(*packet.message));
  const auto known = replica_logs_.find(packet.log);
  // A claim binds a relay without this log too: later messages of a lower epoch are refused.
  std::string error;
  ReplicaLog* const replica_log = packet.kind == Packet::Kind::release
                                      ? (known == replica_logs_.end() ? nullptr : known->second.get())
                                      : find_or_create(packet, error);
  if (replica_log == nullptr) {
    if (packet.kind != Packet::Kind::release) reply(unavailable(packet, error));
    return;
  }
  if (writes) replica_log->replaced = false;
  if (writes && packet.log_time != 0) {
    const Microseconds clock_offset = packet.log_time - options_.now();
    constexpr Microseconds kClockTolerance = 50'000;
    if (std::abs(clock_offset - replica_log->clock_offset) > kClockTolerance)
      replica_log->clock_offset = clock_offset;
  }
  switch (packet.kind) {
    case Packet::Kind::message:
      return std::holds_alternative<protocol::Read>(*packet.message)
                 ? handle_read(*replica_log, packet, reply)
                 : handle_message(*replica_log, packet, reply);
    case Packet::Kind::snapshot_chunk:
      return handle_chunk(*replica_log, packet, reply);
    case Packet::Kind::release:
      return handle_release(*replica_log, packet);
    case Packet::Kind::chunk_accepted:
    case Packet::Kind::last_contact:
    case Packet::Kind::unavailable:
      return reply(unavailable(packet, "this message is not valid for a holder"));
  }
}

// Writes the state and the pending records in one batch. False: the write failed, and they are kept for the
// next one.
bool ReplicaLogs::keep_state(ReplicaLog& replica_log, Folder& folder, const ReplicaState& state) {
  folder.store->put(store::record::Fact{kEndKey, {}});
  folder.store->put(store::record::Fact{
      kStateKey, write_state(state.promised, state.last, state.last_epoch, state.config, state.moved,
                             replica_log.clock_offset, replica_log.leader_disk_bytes)});
  return folder.store->commit();
}

void ReplicaLogs::handle_message(ReplicaLog& replica_log, const Packet& packet, const Reply& reply) {
  const ReplicaState before = replica_log.replica.state();
  auto result = replica_log.replica.handle(*packet.message);
  if (!result.answer) return reply(unavailable(packet, "this message is not valid for a holder"));
  auto& store = *replica_log.current->store;
  // Unreadable records are not what the leader wrote, so they are reported and not acknowledged.
  bool intact = true;
  for (const auto& entry : result.entries)
    intact = read_records(packet.salt, entry.bytes,
                          [&](store::Record&& record) { store.put(std::move(record)); }) &&
             intact;
  if (!intact) {
    replica_log.replica = Replica(before);
    return reply(unavailable(packet, "unreadable records in the entries"));
  }
  const ReplicaState& after = replica_log.replica.state();
  const bool state_changed = after.promised != before.promised ||
                             after.config.version != before.config.version || after.moved != before.moved;
  if (state_changed || !store.unavailable_reason().empty()) {
    if (!keep_state(replica_log, *replica_log.current, after))
      return reply(unavailable(packet, store.unavailable_reason()));
  } else if (after != before) {
    store.put(store::record::Fact{kEndKey, std::to_string(after.last) + " " +
                                               std::to_string(after.last_epoch.number) + " " +
                                               std::to_string(after.last_epoch.claimant.incarnation) + " " +
                                               after.last_epoch.claimant.name});
    if (!store.commit()) return reply(unavailable(packet, store.unavailable_reason()));
  }
  when_durable(replica_log,
               [reply, answer = message_to(packet, std::move(*result.answer))] { reply(answer); });
}

void ReplicaLogs::handle_chunk(ReplicaLog& replica_log, const Packet& packet, const Reply& reply) {
  if (packet.epoch < replica_log.replica.state().promised)
    return reply(message_to(packet, protocol::Refused{replica_log.replica.state().promised}));
  try {
    if (packet.chunk == 0) {
      remove(std::exchange(replica_log.staging, nullptr));
      replica_log.staging = create_folder(replica_log);
      replica_log.next_chunk = 0;
    }
  } catch (const std::exception& e) {
    return reply(unavailable(packet, e.what()));
  }
  if (!replica_log.staging || packet.chunk != replica_log.next_chunk)
    return reply(unavailable(packet, "snapshot chunk out of order"));
  replica_log.next_chunk++;
  auto& store = *replica_log.staging->store;
  const bool intact =
      read_records(packet.salt, packet.body, [&](store::Record&& record) { store.put(std::move(record)); });
  if (!intact || !store.commit()) {
    remove(std::exchange(replica_log.staging, nullptr));
    return reply(unavailable(
        packet, intact ? "writing the snapshot to disk failed" : "unreadable records in the snapshot chunk"));
  }
  if (!packet.last || !packet.message) {
    Packet accepted = answer_to(packet, Packet::Kind::chunk_accepted);
    return reply(accepted);
  }
  Replica replica = replica_log.replica;
  auto result = replica.handle(*packet.message);
  if (!result.snapshot_installed) {  // refused, or the replica is newer
    remove(std::exchange(replica_log.staging, nullptr));
    return result.answer ? reply(message_to(packet, std::move(*result.answer)))
                         : reply(unavailable(packet, "this message is not valid for a holder"));
  }
  if (!keep_state(replica_log, *replica_log.staging, replica.state())) {
    remove(std::exchange(replica_log.staging, nullptr));
    return reply(unavailable(packet, "writing the snapshot to disk failed"));
  }
  replica_log.replica = replica;
  install_staging(replica_log);
  when_durable(replica_log,
               [reply, answer = message_to(packet, std::move(*result.answer))] { reply(answer); });
}

// Replies that wait for the earlier copy are sent once the new one is durable, since it is of a later
// message.
void ReplicaLogs::install_staging(ReplicaLog& replica_log) {
  auto previous = std::exchange(replica_log.current, std::exchange(replica_log.staging, nullptr));
  replica_log.state_reader.reset();
  for (auto& pending : replica_log.pending_replies) pending.first = replica_log.current->store->written();
  // The earlier copy is deleted once the new one is durable.
  const auto replaced = std::make_shared<std::unique_ptr<Folder>>(std::move(previous));
  when_durable(replica_log, [this, replaced] { remove(std::move(*replaced)); });
}

void ReplicaLogs::when_durable(ReplicaLog& replica_log, std::function<void()> callback) {
  if (replica_log.pending_replies.empty() &&
      replica_log.current->store->durable() >= replica_log.current->store->written())
    return callback();
  replica_log.pending_replies.emplace_back(replica_log.current->store->written(), std::move(callback));
  flush(replica_log);
}

void ReplicaLogs::flush(ReplicaLog& replica_log) {
  while (replica_log.current && !replica_log.pending_replies.empty() &&
         replica_log.pending_replies.front().first <= replica_log.current->store->durable()) {
    const auto callback = std::move(replica_log.pending_replies.front().second);
    replica_log.pending_replies.pop_front();
    callback();
  }
}

void ReplicaLogs::handle_read(ReplicaLog& replica_log, const Packet& packet, const Reply& reply) {
  auto result = replica_log.replica.handle(*packet.message);
  const bool refused = std::holds_alternative<protocol::Refused>(*result.answer);
  Packet answer = message_to(packet, std::move(*result.answer));
  if (refused) return reply(answer);
  if (packet.chunk == 0) {
    replica_log.state_reader = std::make_unique<StateWriter>(*replica_log.current->store);
    replica_log.next_read_chunk = 0;
  }
  if (!replica_log.state_reader || replica_log.next_read_chunk != packet.chunk)
    return reply(unavailable(packet, "read of a chunk out of order"));
  answer.body = replica_log.state_reader->next(kReadChunkBytes);
  answer.last = replica_log.state_reader->done();
  answer.numbered_records = replica_log.state_reader->numbered_records();
  answer.salt = replica_log.current->store->salt();
  answer.log_time = options_.now() + replica_log.clock_offset;
  replica_log.next_read_chunk++;
  if (answer.last) replica_log.state_reader.reset();
  reply(answer);
}

// Deletes the messages and keeps the promises.
void ReplicaLogs::handle_release(ReplicaLog& replica_log, const Packet& packet) {
  const auto& state = replica_log.replica.state();
  if (!state.moved || state.moved->epoch > packet.epoch || replica_log.current->store->held().empty()) return;
  rewrite_state_only(replica_log, ReplicaState(state));
}

void ReplicaLogs::discard_entries(const LogId& log) {
  const auto found = replica_logs_.find(log);
  if (found == replica_logs_.end()) return;
  // Keeps the promise at position 0, so a leader that writes to this replica again begins with a snapshot.
  ReplicaState state = found->second->replica.state();
  state.last = 0, state.last_epoch = {};
  found->second->replaced = true;
  rewrite_state_only(*found->second, state);
}

void ReplicaLogs::rewrite_state_only(ReplicaLog& replica_log, const ReplicaState& state) {
  try {
    replica_log.staging = create_folder(replica_log);
  } catch (const std::exception&) {
    return;  // the old folder stays and only uses disk space
  }
  if (!keep_state(replica_log, *replica_log.staging, state))
    return remove(std::exchange(replica_log.staging, nullptr));
  replica_log.replica = Replica(state);
  install_staging(replica_log);
}

void ReplicaLogs::discard_all() {
  for (auto& [log, replica_log] : std::exchange(replica_logs_, {})) {
    remove(std::move(replica_log->staging));
    remove(std::move(replica_log->current));
  }
}

void ReplicaLogs::note_contact(const LogId& log) {
  if (const auto found = replica_logs_.find(log); found != replica_logs_.end())
    found->second->last_contact = options_.steady();
}

bool ReplicaLogs::compact() {
  bool unfinished = false;
  for (auto& [log, replica_log] : replica_logs_)
    for (int steps = 0; steps < kCompactionStepsPerLog && replica_log->current->store->wants_compaction();
         steps++) {
      const auto step = replica_log->current->store->compact();
      if (step != store::Store::Step::more) break;
      unfinished = unfinished || steps + 1 == kCompactionStepsPerLog;
    }
  return unfinished;
}

ReplicaLogs::View ReplicaLogs::make_view(const ReplicaLog& replica_log) const {
  return {replica_log.log,
          replica_log.replica.state(),
          replica_log.last_contact,
          replica_log.current->store->held().size(),
          replica_log.current->store->bytes(),
          replica_log.current->store->unavailable_reason()};
}
std::vector<ReplicaLogs::View> ReplicaLogs::all() const {
  std::vector<View> views;
  for (const auto& [log, replica_log] : replica_logs_) views.push_back(make_view(*replica_log));
  return views;
}
std::optional<ReplicaLogs::View> ReplicaLogs::find(const LogId& log) const {
  const auto found = replica_logs_.find(log);
  if (found == replica_logs_.end()) return std::nullopt;
  return make_view(*found->second);
}

}  // namespace heronvane::copies

#include "log_replicator.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "fact_keys.hpp"

namespace heronvane::copies {

namespace net = boost::asio;

namespace {

constexpr auto kTick = std::chrono::milliseconds(25), kSendDelay = std::chrono::milliseconds(3);
constexpr std::size_t kMaxLeaderlessBytes = 1 << 20;
constexpr Microseconds kReconnectInterval = 200'000;
constexpr Microseconds kProbeInterval = 500'000;  // heartbeat; shorter if takeover_after is short
constexpr Microseconds kPreferredReplicasTimeout = 3'000'000;  // then other replicas than the first choice
constexpr Microseconds kUnavailablePause = 500'000;
constexpr std::uint64_t kRetainedEntriesMemoryDivisor =
    16;  // share of the memory for entries that replicas lack
constexpr std::size_t kSnapshotChunkBytes = 256 * 1024;
constexpr std::uint64_t kTransferBacklogMemoryDivisor =
    8;  // share of the memory for frames written during a snapshot
constexpr std::size_t kSpareReplicas = 2;

std::uint64_t number_fact(const std::map<std::string, std::string>& facts, const std::string& key) {
  const auto fact = facts.find(key);
  std::uint64_t value = 0;
  if (fact != facts.end())
    std::from_chars(fact->second.data(), fact->second.data() + fact->second.size(), value);
  return value;
}

PeerConnections::Address address(const std::string& text, const std::string& where) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos) std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  boost::system::error_code error;
  const auto ip = net::ip::make_address(text.substr(0, colon), error);
  if (colon == std::string::npos || error || port == 0 || port > 65535)
    throw std::runtime_error(where + ": \"" + text + "\" is not an ip:port");
  if (!is_private(ip))
    throw std::runtime_error(
        where + ": " + text +
        " is neither a loopback nor a private address; replication traffic is not encrypted");
  return {ip, static_cast<std::uint16_t>(port)};
}

// A number for a new disk or log. Later numbers are higher unless the wall clock was set back.
std::uint64_t new_incarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string replica_logs_folder(const Options& options) { return options.folder; }

std::uint64_t replica_logs_limit(const Options& options) {
  if (options.settings.disk_bytes > 0) return options.settings.disk_bytes;
  return options.disk_bytes * (2 * static_cast<std::uint64_t>(options.settings.holders) + 4);
}

}  // namespace

LogReplicator::LogReplicator(net::io_context& io, store::Store& store, Options options, Hooks hooks)
    : io_(io),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      replica_logs_({replica_logs_folder(options_), replica_logs_limit(options_), options_.durability,
                     [this] { return store_.clock().now(); }, [this] { return steady(); },
                     [this](std::function<void()> done) { net::post(io_, std::move(done)); }, options_.log}),
      takeover_(
          {store_, replica_logs_, [this] { return self_; }, [this] { return log_; },
           [this] { return acks(); }, [this] { return steady(); },
           [this](std::uint64_t above) { return next_epoch(above); },
           [this](const Member& to, const Packet& message) {
             if (to != self_) return connections_->send(to, message);
             net::post(io_, [this, message] {
               replica_logs_.handle(message, [this](Packet answer) { takeover_.handle(self_, answer); });
             });
             return true;
           },
           [this] { hooks_.commit(); }, [this](MessageId from, MessageId to) { hooks_.taken_over(from, to); },
           options_.log, options_.settings.takeover_after}),
      timer_(io),
      send_timer_(io) {
  const auto* const own_entry = member(options_.name);
  if (own_entry == nullptr && options_.settings.listen.empty())
    throw std::runtime_error("copies: no [[copies.member]] is named " + options_.name +
                             ", and copies.listen is not given");
  for (const auto& listed_member : options_.settings.members)
    address(listed_member.address, "copies.member " + listed_member.name);
  own_placement_.member.name = options_.name;
  if (own_entry != nullptr)
    own_placement_.machine = own_entry->machine, own_placement_.zone = own_entry->zone;
  announced_mark_ = store_.locally_durable();
  restore_from_store();
  listen();
}

void LogReplicator::listen() {
  const auto* const own_entry = member(options_.name);
  PeerConnections::Hooks hooks;
  hooks.fill_hello = [this](const std::string& name, Hello& hello) {
    hello.mark = announced_mark_;
    const auto mark = peer_marks_.find(name);
    if (mark != peer_marks_.end())
      hello.seen_incarnation = mark->second.first, hello.seen_mark = mark->second.second;
  };
  hooks.on_hello = [this](const Hello& hello) { on_hello(hello); };
  hooks.is_member = [this](const std::string& name) {
    return member(name) != nullptr && name != options_.name;
  };
  hooks.on_up = [this](const Member& peer) { on_peer_connected(peer); };
  hooks.on_down = [this](const std::string& name) { on_peer_disconnected(name); };
  hooks.on_answer = [this](const Member& from, Packet message) { on_answer(from, std::move(message)); };
  hooks.on_request = [this](const Member& from, Packet message, PeerConnections::Reply reply) {
    on_request(from, std::move(message), std::move(reply));
  };
  const auto& text = options_.settings.listen.empty() ? own_entry->address : options_.settings.listen;
  connections_ =
      std::make_unique<PeerConnections>(io_, address(text, "copies.listen"),
                                        Hello{options_.settings.cluster, self_, 0, 0, 0}, std::move(hooks));
}

// Members remember each other's marks and report them back, which reveals a disk that was rolled back.
void LogReplicator::on_hello(const Hello& hello) {
  note_mark(hello.self, hello.mark);
  if (hello.seen_incarnation != self_.incarnation || hello.seen_mark <= announced_mark_ ||
      std::exchange(rollback_detected_, true))
    return;
  net::post(io_, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) handle_disk_rollback();
  });
}

void LogReplicator::note_mark(const Member& peer, store::Sequence mark) {
  auto& highest_mark = peer_marks_[peer.name];
  if (highest_mark.first != peer.incarnation) highest_mark = {peer.incarnation, 0};
  highest_mark.second = std::max(highest_mark.second, mark);
}

// As a replica, this relay becomes another member. As a leader, its claim finds out what its disk lacks.
void LogReplicator::handle_disk_rollback() {
  options_.log(
      "copies: this disk was rolled back to a state older than other members have seen; this relay discards "
      "the replica logs on it and continues with a new member incarnation");
  rollback_detected_ = false;
  replica_logs_.discard_all();
  self_.incarnation = std::max(new_incarnation(), self_.incarnation + 1);
  put(kMemberKey, std::to_string(self_.incarnation));
  connections_.reset();
  replica_health_.clear();
  transfers_.clear();
  listen();
  // Claims as the new member, since the earlier claim was the old member's.
  if (leader_ || claim_) begin_claim(highest_used_epoch_);
  update_connections();
  hooks_.commit();
}

void LogReplicator::members(std::vector<Settings::Member> members) {
  try {
    for (const auto& listed_member : members)
      address(listed_member.address, "copies.member " + listed_member.name);
  } catch (const std::exception& error) {
    return options_.log(std::string("copies: the new members are rejected and the previous ones kept: ") +
                        error.what());
  }
  if (std::none_of(members.begin(), members.end(),
                   [&](const auto& listed_member) { return listed_member.name == options_.name; }) &&
      options_.settings.listen.empty())
    return options_.log("copies: the new members are rejected and the previous ones kept: " + options_.name +
                        " is not among the new members");
  options_.settings.members = std::move(members);
  reconnect_at_ = 0;
}

LogReplicator::~LogReplicator() { store_.set_log_sink(nullptr); }

Microseconds LogReplicator::steady() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const Settings::Member* LogReplicator::member(const std::string& name) const {
  for (const auto& listed_member : options_.settings.members)
    if (listed_member.name == name) return &listed_member;
  return nullptr;
}

std::vector<Placement> LogReplicator::placements() const {
  std::vector<Placement> listed_placements;
  for (const auto& listed_member : options_.settings.members) {
    Placement& placement = listed_placements.emplace_back();
    placement.member.name = listed_member.name, placement.machine = listed_member.machine,
    placement.zone = listed_member.zone;
  }
  return listed_placements;
}

bool LogReplicator::connected(const Member& replica) const {
  const Member* const peer = connections_->peer(replica.name);
  return peer != nullptr && *peer == replica;
}

// ---- Start. ----
void LogReplicator::restore_from_store() {
  const auto& facts = store_.facts();
  self_ = {options_.name, number_fact(facts, kMemberKey)};
  if (self_.incarnation == 0 || replica_logs_.lost_promises()) {
    // The old incarnation is bound by promises that this disk has lost.
    self_.incarnation = std::max(new_incarnation(), self_.incarnation + 1);
    put(kMemberKey, std::to_string(self_.incarnation));
  }
  highest_used_epoch_ = number_fact(facts, kEpochKey);
  log_ = {options_.name, number_fact(facts, kLogKey)};
  if (log_.incarnation == 0) return;
  if (options_.force_own) {
    options_.log(
        "copies: forced: starting a new log from this folder; messages that another relay took over may run "
        "twice");
    for (const auto& key : {kLogKey, kConfigKey, kEndKey}) put(key, {});
    log_.incarnation = 0;
    return;
  }
  phase_ = Phase::claiming;
  if (const auto fact = facts.find(kConfigKey); fact != facts.end())
    if (const auto saved = read_state(fact->second)) config_ = saved->config;
  const auto& recovery = store_.recovery();
  if (!recovery.damaged.empty() || recovery.counts.missing > 0) {
    options_.log("copies: the folder of this relay is damaged; its log is read from the holders");
    return;  // position 0: the replicas have more
  }
  if (const auto fact = facts.find(kEndKey); fact != facts.end()) {
    std::istringstream end_fields(fact->second);
    end_fields >> last_ >> last_epoch_.number >> last_epoch_.claimant.incarnation;
    last_epoch_.claimant.name = options_.name;
  }
}

void LogReplicator::start() {
  started_ = true;
  awaited_logged_at_ = steady();
  store_.set_log_sink(this);
  takeover_.load();
  phase_since_ = steady();
  if (phase_ == Phase::claiming) begin_claim(highest_used_epoch_);
  update_connections();
  on_tick();
}

std::uint64_t LogReplicator::next_epoch(std::uint64_t above) {
  highest_used_epoch_ = std::max(highest_used_epoch_, above) + 1;
  put(kEpochKey, std::to_string(highest_used_epoch_));
  return highest_used_epoch_;
}

// Connects to the replicas, to their possible replacements, and to the members that a claim involves.
void LogReplicator::update_connections() {
  std::set<std::string> wanted_members;
  const auto add_wanted = [&](const std::vector<Member>& members) {
    for (const auto& listed_member : members)
      if (listed_member.name != options_.name) wanted_members.insert(listed_member.name);
  };
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  add_wanted(config_.replicas), add_wanted(config_.next), add_wanted(takeover_.wanted_members());
  if (claim_) add_wanted(claim_->config().replicas), add_wanted(claim_->config().next);
  const bool replica_unavailable =
      std::any_of(config_.replicas.begin(), config_.replicas.end(), [this](const Member& replica) {
        return !connected(replica) || !replica_health_[replica.name].error.empty();
      });
  if (phase_ == Phase::choosing || replica_unavailable)
    add_wanted(choose_replicas(own_placement_, placements(), count == 0 ? 0 : count + kSpareReplicas));
  for (const auto& listed_member : options_.settings.members) {
    if (wanted_members.count(listed_member.name) > 0)
      connections_->connect_to(listed_member.name,
                               address(listed_member.address, "copies.member." + listed_member.name));
    else
      connections_->disconnect_from(listed_member.name);
  }
}

// Waits for the preferred replicas, then after kPreferredReplicasTimeout also accepts others.
void LogReplicator::try_choose_replicas() {
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  const bool accept_others = steady() - phase_since_ > kPreferredReplicasTimeout;
  const auto preferred = choose_replicas(own_placement_, placements(), count);
  std::vector<Placement> available;
  for (const auto& placement : placements()) {
    const bool is_preferred = std::any_of(preferred.begin(), preferred.end(), [&](const Member& replica) {
      return replica.name == placement.member.name;
    });
    if (const Member* const peer = connections_->peer(placement.member.name);
        peer != nullptr && (accept_others || is_preferred))
      available.emplace_back(placement).member = *peer;
  }
  const auto replicas = choose_replicas(own_placement_, available, count);
  if (replicas.size() == preferred.size()) begin_log(replicas);
}

void LogReplicator::begin_log(std::vector<Member> replicas) {
  log_ = {options_.name, new_incarnation()};
  const Epoch epoch{next_epoch(0), self_};
  config_ = {{epoch, 1}, std::move(replicas), {}};
  // The existing state counts as the first entry. Replicas receive it as a snapshot.
  last_ = 1, last_epoch_ = epoch;
  put(kLogKey, std::to_string(log_.incarnation));
  std::string names;
  for (const auto& replica : config_.replicas) names += " " + replica.name;
  options_.log("copies: started a new log; holders:" + (names.empty() ? " none" : names));
  claim_.reset();
  leader_.emplace(self_, epoch, config_, last_, last_epoch_, LeaderOptions{acks(), 64});
  start_leading();
}

// ---- Records. ----
void LogReplicator::closing() {
  if (!leader_ || leader_->fenced()) return;
  put(kEndKey, std::to_string(leader_->last() + 1) + " " + std::to_string(leader_->epoch().number) + " " +
                   std::to_string(self_.incarnation));
}

void LogReplicator::written(store::Sequence last, std::string_view frames) {
  for (auto& [replica, transfer] : transfers_) transfer.written_since.append(frames);
  if (!leader_ || leader_->fenced()) {
    // Facts and outcomes of calls in flight become part of the first entry of the next epoch.
    leaderless_frames_.append(frames);
    // After a long claim, replicas get a snapshot instead.
    if (leaderless_frames_.size() > kMaxLeaderlessBytes)
      leaderless_frames_.clear(), leaderless_frames_dropped_ = true;
    if (!ready_) return;
    // A fenced leader acts on nothing that is written now.
    if (uncommitted_.empty()) store_.set_replicated(store_.written());
    if (uncommitted_.empty() || uncommitted_.back().position <= last_)
      uncommitted_.push_back({last_ + 1, last, steady()});
    else
      uncommitted_.back().last = last;
    return;
  }
  std::string entry = std::exchange(leaderless_frames_, {});
  entry.append(frames);
  leader_->append(std::move(entry));
  last_ = leader_->last(), last_epoch_ = leader_->epoch();
  uncommitted_.push_back({leader_->last(), last, steady()});
  while (!uncommitted_.empty() && uncommitted_.front().position <= leader_->durable())
    uncommitted_.pop_front();
  if (uncommitted_.empty()) return;
  // Everything written before the oldest uncommitted entry is committed.
  if (uncommitted_.size() == 1) store_.set_replicated(store_.written());
  // Nothing waits for outcomes: they are sent with the next urgent entry, or together after kSendDelay.
  if (std::exchange(send_scheduled_, true)) return;
  send_timer_.expires_after(kSendDelay);
  send_timer_.async_wait([this](boost::system::error_code error) {
    send_scheduled_ = false;
    if (!error) send_pending();
  });
}

Packet LogReplicator::packet(ProtocolMessage message) const {
  Packet outgoing;
  outgoing.log = log_, outgoing.message = std::move(message);
  outgoing.salt = store_.salt(), outgoing.log_time = store_.clock().now(),
  outgoing.leader_disk_bytes = options_.disk_bytes;
  return outgoing;
}

void LogReplicator::send_pending() {
  if (!leader_) return;
  for (const auto& replica : leader_->replicas()) send_pending(replica);
}

void LogReplicator::send_pending(const Member& replica) {
  if (!leader_ || !connected(replica) || steady() < replica_health_[replica.name].retry_at) return;
  if (leader_->needs_snapshot(replica)) {
    // One snapshot at a time, because it loads both sides.
    const auto transfer = transfers_.find(replica);
    if (transfer == transfers_.end()) {
      if (!transfers_.empty()) return;
      transfers_[replica].state_writer = std::make_unique<StateWriter>(store_);
    }
    return send_snapshot_chunk(replica);
  }
  transfers_.erase(replica);
  if (const auto envelope = leader_->next_append(replica))
    if (!connections_->send(replica, packet(envelope->message))) leader_->mark_lost(replica);
}

void LogReplicator::send_snapshot_chunk(const Member& replica) {
  auto& transfer = transfers_[replica];
  if (transfer.in_flight) return;
  if (transfer.written_since.size() >
      options_.memory_bytes / kTransferBacklogMemoryDivisor) {  // the transfer is slower than the writes
    transfers_.erase(replica);
    replica_health_[replica.name].retry_at = steady() + kUnavailablePause;
    return;
  }
  Packet outgoing;
  outgoing.kind = Packet::Kind::snapshot_chunk, outgoing.log = log_, outgoing.epoch = leader_->epoch(),
  outgoing.chunk = transfer.next_chunk;
  outgoing.salt = store_.salt(), outgoing.log_time = store_.clock().now(),
  outgoing.leader_disk_bytes = options_.disk_bytes;
  // Frames written since the last chunk precede the records, which already include them.
  outgoing.body = std::exchange(transfer.written_since, {});
  outgoing.body += transfer.state_writer->next(kSnapshotChunkBytes);
  outgoing.last = transfer.state_writer->done();
  if (outgoing.last) {
    leader_->mark_lost(replica);
    if (auto envelope = leader_->snapshot(replica)) outgoing.message = std::move(envelope->message);
  }
  transfer.in_flight = true, transfer.next_chunk++;
  if (!connections_->send(replica, outgoing)) {
    transfers_.erase(replica);
    leader_->mark_lost(replica);
  }
}

// ---- Incoming packets. ----
void LogReplicator::on_answer(const Member& from, Packet answer) {
  note_mark(from, answer.mark);
  if (answer.log != log_) return takeover_.handle(from, answer);
  auto& health = replica_health_[from.name];
  switch (answer.kind) {
    case Packet::Kind::unavailable:
      if (health.error != answer.reason) options_.log("copies: holder " + from.name + ": " + answer.reason);
      if (health.error.empty()) health.failing_since = steady();
      health.error = answer.reason;
      health.retry_at = steady() + kUnavailablePause;
      transfers_.erase(from);
      if (leader_) leader_->mark_lost(from);
      return;
    case Packet::Kind::chunk_accepted: {
      const auto transfer = transfers_.find(from);
      if (transfer == transfers_.end() || transfer->second.next_chunk != answer.chunk + 1) return;
      transfer->second.in_flight = false;
      return send_pending(from);
    }
    case Packet::Kind::message:
      break;
    case Packet::Kind::snapshot_chunk:
    case Packet::Kind::last_contact:
    case Packet::Kind::release:
      return;
  }
  health.error.clear();
  if (claim_) {
    if (std::holds_alternative<protocol::State>(*answer.message)) {
      if (claim_->state() != Claim::State::reading || from != claim_->source() ||
          answer.chunk != next_read_chunk_)
        return;
      import_chunk(answer);
      if (!answer.last) return;
    }
    const auto state_before = claim_->state();
    claim_->handle(from, *answer.message);
    if (claim_->state() != state_before) on_claim_state();
    return;
  }
  if (!leader_) return;
  const auto transfer = transfers_.find(from);
  const bool snapshot_acknowledged =
      transfer != transfers_.end() && std::holds_alternative<protocol::Appended>(*answer.message);
  leader_->handle(from, *answer.message);
  if (snapshot_acknowledged) transfers_.erase(from);
  apply_progress();
  send_pending(from);
}

void LogReplicator::apply_progress() {
  if (!leader_) return;
  if (leader_->fenced()) {
    options_.log("copies: fenced by " + leader_->fenced()->claimant.name +
                 "; no messages are processed until "
                 "this relay regains the log or learns which log it moved to");
    return begin_claim(leader_->fenced()->number);
  }
  if (leader_->config().version != config_.version) {
    config_ = leader_->config();
    put(kConfigKey, write_state(leader_->epoch(), 0, {}, config_, std::nullopt, 0, 0));
    hooks_.commit();
    if (!leader_) return;
    update_connections();
    send_pending();
  }
  bool durable_advanced = false;
  while (!uncommitted_.empty() && uncommitted_.front().position <= leader_->durable()) {
    const auto last_sequence = uncommitted_.front().last;
    uncommitted_.pop_front();
    // Records that compaction rewrote meanwhile were committed before.
    store_.set_replicated(uncommitted_.empty() ? store::Store::kAllRecords : last_sequence);
    durable_advanced = true;
  }
  leader_->trim(options_.memory_bytes / kRetainedEntriesMemoryDivisor);
  if (durable_advanced && replicas_short_ && uncommitted_.empty()) {
    replicas_short_ = false;
    options_.log("copies: all written entries are acknowledged by enough holders again");
  }
  if (!ready_ && leader_->durable() > epoch_start_) {
    ready_ = true;
    hooks_.ready();
  }
  if (durable_advanced) hooks_.durable_advanced();
}

void LogReplicator::on_request(const Member& from, Packet request, PeerConnections::Reply reply) {
  if (request.kind == Packet::Kind::last_contact) {
    const auto replica_log = replica_logs_.find(request.log);
    request.last_contact_age = replica_log ? steady() - replica_log->last_contact : -1;
    if (replica_log && replica_log->state.config.version > request.version &&
        replica_log->state.config.next.empty()) {
      const auto& replicas = replica_log->state.config.replicas;
      request.replaced = std::find(replicas.begin(), replicas.end(), from) == replicas.end();
    }
    request.mark = announced_mark_ = std::max(announced_mark_, store_.locally_durable());
    return reply(request);
  }
  if (from.name == request.log.name) replica_logs_.note_contact(request.log);
  replica_logs_.handle(
      request, [this, alive = std::weak_ptr(alive_), reply = std::move(reply)](Packet answer) {
        if (!alive.expired())
          answer.mark = announced_mark_ = std::max(announced_mark_, store_.locally_durable());
        reply(std::move(answer));
      });
}

void LogReplicator::on_peer_connected(const Member& peer) {
  replica_health_[peer.name].away_since = 0;
  if (leader_) {
    leader_->mark_lost(peer);
    send_pending(peer);
  }
  last_sent_at_ = 0;
}

void LogReplicator::on_peer_disconnected(const std::string& name) {
  auto& health = replica_health_[name];
  if (health.away_since == 0) health.away_since = steady();
  std::erase_if(transfers_, [&](const auto& transfer) { return transfer.first.name == name; });
  read_requested_at_ = 0;
  if (!leader_) return;
  for (const auto& replica : leader_->replicas())
    if (replica.name == name) leader_->mark_lost(replica);
}

// ---- Timer. ----
void LogReplicator::on_tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) on_tick();
  });
  if (steady() >= reconnect_at_ || phase_ != Phase::leading) {
    reconnect_at_ = steady() + kReconnectInterval;
    update_connections();
  }
  switch (phase_) {
    case Phase::choosing:
      try_choose_replicas();
      break;
    case Phase::claiming:
      if (!claim_) break;
      if (claim_->state() != Claim::State::preempted)
        send_claim_requests();
      else if (steady() >= claim_retry_at_)
        begin_claim(claim_->preempted_by().number);
      break;
    case Phase::leading: {
      const Microseconds probe_interval = options_.settings.takeover_after > 0
                                              ? std::min(kProbeInterval, options_.settings.takeover_after / 8)
                                              : kProbeInterval;
      const bool probe = steady() - last_sent_at_ >= probe_interval;
      if (probe) last_sent_at_ = steady();
      for (const auto& replica : leader_->replicas()) {
        if (probe && connected(replica) && !leader_->needs_snapshot(replica))
          if (const auto envelope = leader_->next_append(replica, true))
            if (!connections_->send(replica, packet(envelope->message))) leader_->mark_lost(replica);
        send_pending(replica);
      }
      replace_lost_replicas();
      break;
    }
  }
  if (phase_ != Phase::leading) log_awaited_replicas();
  check_commit_delay();
  if (ready_) takeover_.tick();
  replica_logs_.compact();
}

// Logs which replicas are missing, since health is 503 meanwhile.
void LogReplicator::log_awaited_replicas() {
  constexpr Microseconds kLogInterval = 5'000'000;
  if (steady() - awaited_logged_at_ < kLogInterval) return;
  awaited_logged_at_ = steady();
  const auto replicas =
      phase_ == Phase::choosing
          ? choose_replicas(own_placement_, placements(), static_cast<std::size_t>(options_.settings.holders))
          : config_.replicas;
  std::string text;
  for (const auto& replica : replicas) {
    const Member* const peer = connections_->peer(replica.name);
    const bool other_incarnation = peer != nullptr && phase_ == Phase::claiming && *peer != replica;
    text.append(text.empty() ? "" : ", ").append(replica.name);
    text.append(peer == nullptr     ? " (no connection)"
                : other_incarnation ? " (returned without its disk)"
                                    : " (there)");
  }
  options_.log(phase_ == Phase::choosing
                   ? "copies: waiting for connections to the holders of a new log: " + text
                   : "copies: waiting for holders of this relay's log to confirm that it still leads the "
                     "log; its holders: " +
                         text +
                         ". Restore the missing holders; --force-own starts without their confirmation");
}

void LogReplicator::check_commit_delay() {
  if (uncommitted_.empty() || steady() - uncommitted_.front().since < options_.settings.short_after) return;
  if (!std::exchange(replicas_short_, true)) {
    shortages_++;
    options_.log("copies: too few holders acknowledge entries: " + std::to_string(uncommitted_.size()) +
                 " entries are waiting, the oldest for " +
                 std::to_string((steady() - uncommitted_.front().since) / 1000) +
                 " ms; new messages are refused");
  }
  hooks_.wait_is_over();
}

// Replaces a replica that is unreachable or failing for replace_after, or that returned without its disk.
void LogReplicator::replace_lost_replicas() {
  if (!leader_ || leader_->changing() || leader_->fenced()) return;
  const auto replicas = leader_->config().replicas;
  for (const auto& replica : replicas) {
    const Member* const peer = connections_->peer(replica.name);
    const auto& health = replica_health_[replica.name];
    const bool is_connected = connected(replica);
    if (is_connected && health.error.empty()) continue;
    const Microseconds since = is_connected ? health.failing_since : health.away_since;
    std::optional<Member> replacement;
    if (peer != nullptr && !is_connected) {
      replacement = *peer;  // the same relay, without its disk
    } else if (since != 0 && steady() - since >= options_.settings.replace_after) {
      std::vector<Placement> connected_placements;
      for (const auto& placement : placements())
        if (const Member* const candidate = connections_->peer(placement.member.name))
          connected_placements.emplace_back(placement).member = *candidate;
      for (const auto& candidate :
           choose_replicas(own_placement_, connected_placements, connected_placements.size()))
        if (std::none_of(replicas.begin(), replicas.end(),
                         [&](const Member& other) { return other.name == candidate.name; })) {
          replacement = candidate;
          break;
        }
    }
    if (!replacement || !leader_->replace(replica, *replacement)) continue;
    options_.log("copies: holder " + replica.name + " is lost; " + replacement->name +
                 " becomes a holder instead");
    replica_health_[replacement->name].away_since = 0;
    return apply_progress();
  }
}

}  // namespace heronvane::copies

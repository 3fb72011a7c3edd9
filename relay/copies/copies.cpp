#include "copies.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "facts.hpp"

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
  const auto it = facts.find(key);
  std::uint64_t v = 0;
  if (it != facts.end()) std::from_chars(it->second.data(), it->second.data() + it->second.size(), v);
  return v;
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

std::string replica_logs_folder(const Options& o) { return o.folder; }

std::uint64_t replica_logs_limit(const Options& o) {
  if (o.settings.disk_bytes > 0) return o.settings.disk_bytes;
  return o.disk_bytes * (2 * static_cast<std::uint64_t>(o.settings.holders) + 4);
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
      takeover_({store_, replica_logs_, [this] { return self_; }, [this] { return log_; },
                 [this] { return acks(); }, [this] { return steady(); },
                 [this](std::uint64_t above) { return next_epoch(above); },
                 [this](const Member& to, const Packet& p) {
                   if (to != self_) return connections_->send(to, p);
                   net::post(io_, [this, p] {
                     replica_logs_.handle(p, [this](Packet a) { takeover_.handle(self_, a); });
                   });
                   return true;
                 },
                 [this] { hooks_.commit(); },
                 [this](MessageId from, MessageId to) { hooks_.taken_over(from, to); }, options_.log,
                 options_.settings.takeover_after}),
      timer_(io),
      send_timer_(io) {
  const auto* const own = member(options_.name);
  if (own == nullptr && options_.settings.listen.empty())
    throw std::runtime_error("copies: no [[copies.member]] is named " + options_.name +
                             ", and copies.listen is not given");
  for (const auto& m : options_.settings.members) address(m.address, "copies.member " + m.name);
  own_placement_.member.name = options_.name;
  if (own != nullptr) own_placement_.machine = own->machine, own_placement_.zone = own->zone;
  announced_mark_ = store_.locally_durable();
  restore_from_store();
  listen();
}

void LogReplicator::listen() {
  const auto* const own = member(options_.name);
  PeerConnections::Hooks h;
  h.fill_hello = [this](const std::string& name, Hello& hello) {
    hello.mark = announced_mark_;
    const auto it = peer_marks_.find(name);
    if (it != peer_marks_.end())
      hello.seen_incarnation = it->second.first, hello.seen_mark = it->second.second;
  };
  h.on_hello = [this](const Hello& hello) { on_hello(hello); };
  h.is_member = [this](const std::string& name) { return member(name) != nullptr && name != options_.name; };
  h.on_up = [this](const Member& m) { on_peer_connected(m); };
  h.on_down = [this](const std::string& name) { on_peer_disconnected(name); };
  h.on_answer = [this](const Member& from, Packet p) { on_answer(from, std::move(p)); };
  h.on_request = [this](const Member& from, Packet p, PeerConnections::Reply r) {
    on_request(from, std::move(p), std::move(r));
  };
  const auto& text = options_.settings.listen.empty() ? own->address : options_.settings.listen;
  connections_ = std::make_unique<PeerConnections>(
      io_, address(text, "copies.listen"), Hello{options_.settings.cluster, self_, 0, 0, 0}, std::move(h));
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

void LogReplicator::note_mark(const Member& m, store::Sequence mark) {
  auto& seen = peer_marks_[m.name];
  if (seen.first != m.incarnation) seen = {m.incarnation, 0};
  seen.second = std::max(seen.second, mark);
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
    for (const auto& m : members) address(m.address, "copies.member " + m.name);
  } catch (const std::exception& e) {
    return options_.log(std::string("copies: the new members are rejected and the previous ones kept: ") +
                        e.what());
  }
  if (std::none_of(members.begin(), members.end(), [&](const auto& m) { return m.name == options_.name; }) &&
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
  for (const auto& m : options_.settings.members)
    if (m.name == name) return &m;
  return nullptr;
}

std::vector<Placement> LogReplicator::placements() const {
  std::vector<Placement> all;
  for (const auto& m : options_.settings.members) {
    Placement& p = all.emplace_back();
    p.member.name = m.name, p.machine = m.machine, p.zone = m.zone;
  }
  return all;
}

bool LogReplicator::connected(const Member& m) const {
  const Member* const peer = connections_->peer(m.name);
  return peer != nullptr && *peer == m;
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
  if (const auto it = facts.find(kConfigKey); it != facts.end())
    if (const auto kept = read_state(it->second)) config_ = kept->config;
  const auto& r = store_.recovery();
  if (!r.damaged.empty() || r.counts.missing > 0) {
    options_.log("copies: the folder of this relay is damaged; its log is read from the holders");
    return;  // position 0: the replicas have more
  }
  if (const auto it = facts.find(kEndKey); it != facts.end()) {
    std::istringstream in(it->second);
    in >> last_ >> last_epoch_.number >> last_epoch_.claimant.incarnation;
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
  const auto want = [&](const std::vector<Member>& all) {
    for (const auto& m : all)
      if (m.name != options_.name) wanted_members.insert(m.name);
  };
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  want(config_.replicas), want(config_.next), want(takeover_.wanted_members());
  if (claim_) want(claim_->config().replicas), want(claim_->config().next);
  const bool away = std::any_of(config_.replicas.begin(), config_.replicas.end(), [this](const Member& m) {
    return !connected(m) || !replica_health_[m.name].error.empty();
  });
  if (phase_ == Phase::choosing || away)
    want(choose_replicas(own_placement_, placements(), count == 0 ? 0 : count + kSpareReplicas));
  for (const auto& m : options_.settings.members) {
    if (wanted_members.count(m.name) > 0)
      connections_->connect_to(m.name, address(m.address, "copies.member." + m.name));
    else
      connections_->disconnect_from(m.name);
  }
}

// Waits for the preferred replicas, then after kPreferredReplicasTimeout also accepts others.
void LogReplicator::try_choose_replicas() {
  const auto count = static_cast<std::size_t>(options_.settings.holders);
  const bool late = steady() - phase_since_ > kPreferredReplicasTimeout;
  const auto first = choose_replicas(own_placement_, placements(), count);
  std::vector<Placement> there;
  for (const auto& p : placements()) {
    const bool chosen =
        std::any_of(first.begin(), first.end(), [&](const Member& m) { return m.name == p.member.name; });
    if (const Member* const peer = connections_->peer(p.member.name); peer != nullptr && (late || chosen))
      there.emplace_back(p).member = *peer;
  }
  const auto replicas = choose_replicas(own_placement_, there, count);
  if (replicas.size() == first.size()) begin_log(replicas);
}

void LogReplicator::begin_log(std::vector<Member> replicas) {
  log_ = {options_.name, new_incarnation()};
  const Epoch epoch{next_epoch(0), self_};
  config_ = {{epoch, 1}, std::move(replicas), {}};
  // The existing state counts as the first entry. Replicas receive it as a snapshot.
  last_ = 1, last_epoch_ = epoch;
  put(kLogKey, std::to_string(log_.incarnation));
  std::string names;
  for (const auto& h : config_.replicas) names += " " + h.name;
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
  for (auto& [m, t] : transfers_) t.written_since.append(frames);
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
  Packet p;
  p.log = log_, p.message = std::move(message);
  p.salt = store_.salt(), p.log_time = store_.clock().now(), p.leader_disk_bytes = options_.disk_bytes;
  return p;
}

void LogReplicator::send_pending() {
  if (!leader_) return;
  for (const auto& h : leader_->replicas()) send_pending(h);
}

void LogReplicator::send_pending(const Member& h) {
  if (!leader_ || !connected(h) || steady() < replica_health_[h.name].retry_at) return;
  if (leader_->needs_snapshot(h)) {
    // One snapshot at a time, because it loads both sides.
    const auto it = transfers_.find(h);
    if (it == transfers_.end()) {
      if (!transfers_.empty()) return;
      transfers_[h].state_writer = std::make_unique<StateWriter>(store_);
    }
    return send_snapshot_chunk(h);
  }
  transfers_.erase(h);
  if (const auto envelope = leader_->next_append(h))
    if (!connections_->send(h, packet(envelope->message))) leader_->mark_lost(h);
}

void LogReplicator::send_snapshot_chunk(const Member& h) {
  auto& t = transfers_[h];
  if (t.in_flight) return;
  if (t.written_since.size() >
      options_.memory_bytes / kTransferBacklogMemoryDivisor) {  // the transfer is slower than the writes
    transfers_.erase(h);
    replica_health_[h.name].retry_at = steady() + kUnavailablePause;
    return;
  }
  Packet p;
  p.kind = Packet::Kind::snapshot_chunk, p.log = log_, p.epoch = leader_->epoch(), p.chunk = t.next_chunk;
  p.salt = store_.salt(), p.log_time = store_.clock().now(), p.leader_disk_bytes = options_.disk_bytes;
  // Frames written since the last chunk precede the records, which already include them.
  p.body = std::exchange(t.written_since, {});
  p.body += t.state_writer->next(kSnapshotChunkBytes);
  p.last = t.state_writer->done();
  if (p.last) {
    leader_->mark_lost(h);
    if (auto envelope = leader_->snapshot(h)) p.message = std::move(envelope->message);
  }
  t.in_flight = true, t.next_chunk++;
  if (!connections_->send(h, p)) {
    transfers_.erase(h);
    leader_->mark_lost(h);
  }
}

// ---- Incoming packets. ----
void LogReplicator::on_answer(const Member& from, Packet p) {
  note_mark(from, p.mark);
  if (p.log != log_) return takeover_.handle(from, p);
  auto& view = replica_health_[from.name];
  switch (p.kind) {
    case Packet::Kind::unavailable:
      if (view.error != p.reason) options_.log("copies: holder " + from.name + ": " + p.reason);
      if (view.error.empty()) view.failing_since = steady();
      view.error = p.reason;
      view.retry_at = steady() + kUnavailablePause;
      transfers_.erase(from);
      if (leader_) leader_->mark_lost(from);
      return;
    case Packet::Kind::chunk_accepted: {
      const auto it = transfers_.find(from);
      if (it == transfers_.end() || it->second.next_chunk != p.chunk + 1) return;
      it->second.in_flight = false;
      return send_pending(from);
    }
    case Packet::Kind::message:
      break;
    case Packet::Kind::snapshot_chunk:
    case Packet::Kind::last_contact:
    case Packet::Kind::release:
      return;
  }
  view.error.clear();
  if (claim_) {
    if (std::holds_alternative<protocol::State>(*p.message)) {
      if (claim_->state() != Claim::State::reading || from != claim_->source() || p.chunk != next_read_chunk_)
        return;
      import_chunk(p);
      if (!p.last) return;
    }
    const auto before = claim_->state();
    claim_->handle(from, *p.message);
    if (claim_->state() != before) on_claim_state();
    return;
  }
  if (!leader_) return;
  const auto it = transfers_.find(from);
  const bool done = it != transfers_.end() && std::holds_alternative<protocol::Appended>(*p.message);
  leader_->handle(from, *p.message);
  if (done) transfers_.erase(from);
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
  bool moved = false;
  while (!uncommitted_.empty() && uncommitted_.front().position <= leader_->durable()) {
    const auto last = uncommitted_.front().last;
    uncommitted_.pop_front();
    // Records that compaction rewrote meanwhile were committed before.
    store_.set_replicated(uncommitted_.empty() ? store::Store::kAllRecords : last);
    moved = true;
  }
  leader_->trim(options_.memory_bytes / kRetainedEntriesMemoryDivisor);
  if (moved && short_ && uncommitted_.empty()) {
    short_ = false;
    options_.log("copies: all written entries are acknowledged by enough holders again");
  }
  if (!ready_ && leader_->durable() > epoch_start_) {
    ready_ = true;
    hooks_.ready();
  }
  if (moved) hooks_.durable_advanced();
}

void LogReplicator::on_request(const Member& from, Packet p, PeerConnections::Reply reply) {
  if (p.kind == Packet::Kind::last_contact) {
    const auto replica_log = replica_logs_.find(p.log);
    p.last_contact_age = replica_log ? steady() - replica_log->last_contact : -1;
    if (replica_log && replica_log->state.config.version > p.version &&
        replica_log->state.config.next.empty()) {
      const auto& replicas = replica_log->state.config.replicas;
      p.replaced = std::find(replicas.begin(), replicas.end(), from) == replicas.end();
    }
    p.mark = announced_mark_ = std::max(announced_mark_, store_.locally_durable());
    return reply(p);
  }
  if (from.name == p.log.name) replica_logs_.note_contact(p.log);
  replica_logs_.handle(p, [this, alive = std::weak_ptr(alive_), reply = std::move(reply)](Packet answer) {
    if (!alive.expired()) answer.mark = announced_mark_ = std::max(announced_mark_, store_.locally_durable());
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
  auto& view = replica_health_[name];
  if (view.away_since == 0) view.away_since = steady();
  std::erase_if(transfers_, [&](const auto& t) { return t.first.name == name; });
  read_requested_at_ = 0;
  if (!leader_) return;
  for (const auto& h : leader_->replicas())
    if (h.name == name) leader_->mark_lost(h);
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
      const Microseconds each = options_.settings.takeover_after > 0
                                    ? std::min(kProbeInterval, options_.settings.takeover_after / 8)
                                    : kProbeInterval;
      const bool ask = steady() - last_sent_at_ >= each;
      if (ask) last_sent_at_ = steady();
      for (const auto& h : leader_->replicas()) {
        if (ask && connected(h) && !leader_->needs_snapshot(h))
          if (const auto envelope = leader_->next_append(h, true))
            if (!connections_->send(h, packet(envelope->message))) leader_->mark_lost(h);
        send_pending(h);
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
  const auto names =
      phase_ == Phase::choosing
          ? choose_replicas(own_placement_, placements(), static_cast<std::size_t>(options_.settings.holders))
          : config_.replicas;
  std::string text;
  for (const auto& m : names) {
    const Member* const peer = connections_->peer(m.name);
    const bool another = peer != nullptr && phase_ == Phase::claiming && *peer != m;
    text.append(text.empty() ? "" : ", ").append(m.name);
    text.append(peer == nullptr ? " (no connection)" : another ? " (returned without its disk)" : " (there)");
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
  if (!std::exchange(short_, true)) {
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
  for (const auto& h : replicas) {
    const Member* const peer = connections_->peer(h.name);
    const auto& view = replica_health_[h.name];
    const bool there = connected(h);
    if (there && view.error.empty()) continue;
    const Microseconds since = there ? view.failing_since : view.away_since;
    std::optional<Member> replacement;
    if (peer != nullptr && !there) {
      replacement = *peer;  // the same relay, without its disk
    } else if (since != 0 && steady() - since >= options_.settings.replace_after) {
      std::vector<Placement> others;
      for (const auto& p : placements())
        if (const Member* const m = connections_->peer(p.member.name)) others.emplace_back(p).member = *m;
      for (const auto& m : choose_replicas(own_placement_, others, others.size()))
        if (std::none_of(replicas.begin(), replicas.end(),
                         [&](const Member& x) { return x.name == m.name; })) {
          replacement = m;
          break;
        }
    }
    if (!replacement || !leader_->replace(h, *replacement)) continue;
    options_.log("copies: holder " + h.name + " is lost; " + replacement->name + " becomes a holder instead");
    replica_health_[replacement->name].away_since = 0;
    return apply_progress();
  }
}

}  // namespace heronvane::copies

#include "takeover.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "facts.hpp"

namespace heronvane::copies {

namespace {

constexpr Microseconds kResendInterval = 150'000;       // unanswered requests
constexpr Microseconds kReadRetryInterval = 2'000'000;  // then a read restarts at its first chunk
constexpr Microseconds kClaimTimeout = 20'000'000;      // then a new claim in a higher epoch
constexpr Microseconds kPreemptedPause = 1'000'000;     // after a preempted claim or unreadable state
constexpr Microseconds kQueryInterval = 250'000;        // between last_contact queries to other replicas
constexpr Microseconds kSlowQueryInterval = 2'000'000;  // when the leader is long silent here but not to them

std::string import_key(const LogId& log) {
  return kImportKeyPrefix + log.name + "." + std::to_string(log.incarnation);
}
std::string log_name(const LogId& log) {
  std::ostringstream out;
  out << log;
  return out.str();
}

}  // namespace

void Takeover::load() {
  for (const auto& [key, value] : host_.store.facts()) {
    if (key.compare(0, kImportKeyPrefix.size(), kImportKeyPrefix) != 0) continue;
    auto import = read_import(value);
    if (!import) continue;
    host_.store.reserve_numbers(import->to);
    host_.log("copies: the take-over of " + log_name(import->log) +
              " began before the restart and continues");
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

std::vector<Member> Takeover::wanted_members() const {
  std::vector<Member> all;
  const auto add = [&](const Config& c) {
    all.insert(all.end(), c.replicas.begin(), c.replicas.end());
    all.insert(all.end(), c.next.begin(), c.next.end());
  };
  if (claim_) add(claim_->config());
  for (const auto& i : imports_) add(i.config);
  for (const auto& [log, silent_leader] : silent_leaders_)
    if (const auto replica_log = host_.replica_logs.find(log)) add(replica_log->state.config);
  return all;
}

std::string Takeover::describe_progress() const {
  if (!claim_) return imports_.empty() ? "" : "waiting to continue with " + log_name(imports_.front().log);
  static constexpr const char* kStateNames[] = {
      "asks the holders", "reads", "imports", "moves", "won", "moved", "beaten"};
  return log_name(claimed_log_) + ": " + kStateNames[static_cast<int>(claim_->state())];
}

std::string Takeover::begin_by_operator(const std::string& name) {
  if (claim_) return "busy with the take-over of " + log_name(claimed_log_);
  std::optional<ReplicaLogs::View> found;
  for (auto& replica_log : host_.replica_logs.all())
    if (replica_log.log.name == name && !replica_log.state.moved && (!found || found->log < replica_log.log))
      found = replica_log;
  if (!found) return "this relay has no replica of a log of " + name + " that can be taken over";
  by_operator_ = true;
  host_.log("copies: taking over " + log_name(found->log) + " at the operator's request");
  begin(found->log, found->state.config, found->state.promised.number);
  return {};
}

void Takeover::begin(const LogId& log, const Config& config, std::uint64_t above) {
  claimed_log_ = log;
  next_chunk_ = 0, next_number_ = 0, state_complete_ = false, last_sent_at_ = 0, read_requested_at_ = 0;
  claim_started_at_ = host_.steady();
  chained_imports_.clear();
  const Member self = host_.self();
  claim_.emplace(self, Claim::Purpose::take_over, Epoch{host_.next_epoch(above), self}, config,
                 host_.own_log(), 0, Epoch{}, ClaimOptions{host_.acks()});
  host_.commit();  // persists the epoch before it is sent
}

void Takeover::tick() {
  const Microseconds now = host_.steady();
  if (!claim_) {
    if (now < retry_at_) return;
    // Takeovers that an earlier process began come first, unless the leader has written since.
    for (const auto& i : std::vector<Import>(imports_)) {
      // Not before the takeover of the log that contained it is won.
      if (i.via && import_of(*i.via) != nullptr) continue;
      const auto replica_log = host_.replica_logs.find(i.log);
      if (replica_log && replica_log->state.last_epoch > i.epoch && i.epoch != Epoch{}) {
        claimed_log_ = i.log;
        abandon_claim("its leader has written further entries");
        return;
      }
      if (replica_log && host_.takeover_after > 0 && now - replica_log->last_contact < host_.takeover_after)
        continue;
      const auto& config = replica_log && replica_log->state.config.version > i.config.version
                               ? replica_log->state.config
                               : i.config;
      return begin(i.log, config, replica_log ? replica_log->state.promised.number : i.epoch.number);
    }
    return check_for_lost_leaders();
  }
  if (now - claim_started_at_ > kClaimTimeout) {
    host_.log("copies: the claim on " + log_name(claimed_log_) +
              " timed out; claiming again in a higher epoch");
    const auto config = claim_->config();
    const auto epoch = claim_->epoch().number;
    return begin(claimed_log_, config, epoch);
  }
  if (claim_->state() == Claim::State::importing && state_complete_ &&
      host_.store.durable() >= imported_sequence_) {
    claim_->state_imported();
    last_sent_at_ = 0;
  }
  if (now - last_sent_at_ >= kResendInterval) send_requests();
}

// A leader is lost when neither this replica nor enough of the others have had contact with it.
void Takeover::check_for_lost_leaders() {
  const Microseconds now = host_.steady();
  if (host_.takeover_after <= 0) return;
  const Member self = host_.self();
  std::map<LogId, SilentLeader> silent_leaders;
  for (const auto& replica_log : host_.replica_logs.all()) {
    const auto& config = replica_log.state.config;
    // Of a log that it no longer replicates, only the promises remain.
    if (replica_log.state.moved || replica_log.state.last == 0 || replica_log.log == host_.own_log())
      continue;
    auto replicas = config.replicas;
    replicas.insert(replicas.end(), config.next.begin(), config.next.end());
    const auto rank = std::find(replicas.begin(), replicas.end(), self) - replicas.begin();
    if (rank == static_cast<std::ptrdiff_t>(replicas.size())) continue;  // no longer a replica of that log
    // Replicas wait by rank, so that few claim at the same time.
    const Microseconds silence_limit =
        host_.takeover_after + rank * std::min<Microseconds>(host_.takeover_after / 4, 1'000'000);
    if (now - replica_log.last_contact < silence_limit) continue;
    SilentLeader& silent_leader = silent_leaders[replica_log.log] =
        std::move(silent_leaders_[replica_log.log]);
    std::set<Member> unreached_by{self};
    for (const auto& [m, silence] : silent_leader.silence)
      if (silence < 0 || silence >= host_.takeover_after) unreached_by.insert(m);
    if (enough_claims(config, unreached_by, host_.acks())) {
      host_.log("copies: " + replica_log.log.name + " has been silent for " +
                std::to_string((now - replica_log.last_contact) / 1000) +
                " ms according to enough of its holders; taking over its messages");
      silent_leaders_ = std::move(silent_leaders);
      silent_leaders_.erase(replica_log.log);
      by_operator_ = false;
      return begin(replica_log.log, config, replica_log.state.promised.number);
    }
    if (now - silent_leader.asked_at <
        (now - replica_log.last_contact > 4 * silence_limit ? kSlowQueryInterval : kQueryInterval))
      continue;
    silent_leader.asked_at = now;
    silent_leader.silence.clear();  // old answers no longer count
    Packet ask;
    ask.kind = Packet::Kind::last_contact, ask.log = replica_log.log, ask.version = config.version;
    for (const auto& m : replicas)
      if (m != self) host_.send(m, ask);
  }
  silent_leaders_ = std::move(silent_leaders);
}

void Takeover::send_requests() {
  if (!host_.store.unavailable_reason().empty()) return;  // a promise made here could not be persisted
  last_sent_at_ = host_.steady();
  const auto requests = claim_->requests();
  for (const auto& envelope : requests) {
    Packet p;
    p.log = claimed_log_, p.message = envelope.message;
    if (std::holds_alternative<protocol::Read>(envelope.message)) {
      // Chunk by chunk; restarts if no chunk arrives for kReadRetryInterval.
      if (read_requested_at_ != 0 && last_sent_at_ - read_requested_at_ < kReadRetryInterval) continue;
      read_requested_at_ = last_sent_at_;
      p.chunk = next_chunk_ = 0;
    }
    host_.send(envelope.to, p);
  }
}

void Takeover::handle(const Member& from, const Packet& packet) {
  if (packet.kind == Packet::Kind::last_contact && packet.replaced) {
    host_.log("copies: this relay was replaced as a holder of " + log_name(packet.log) +
              "; its copy is deleted");
    host_.replica_logs.discard_entries(packet.log);
    silent_leaders_.erase(packet.log);
    return;
  }
  if (packet.kind == Packet::Kind::last_contact) {
    if (const auto it = silent_leaders_.find(packet.log); it != silent_leaders_.end())
      it->second.silence[from] = packet.last_contact_age;
    return;
  }
  if (!claim_ || packet.log != claimed_log_ || packet.kind != Packet::Kind::message) return;
  if (const auto* const state = std::get_if<protocol::State>(&*packet.message)) {
    if (state->epoch != claim_->epoch() || claim_->state() != Claim::State::reading ||
        from != claim_->source() || packet.chunk != next_chunk_)
      return;
    import_chunk(packet);
    if (!claim_) return;
    if (!packet.last) {
      Packet more;
      more.log = claimed_log_, more.message = protocol::Read{claim_->epoch()}, more.chunk = ++next_chunk_;
      read_requested_at_ = host_.steady();
      host_.send(from, more);
      return;
    }
  }
  const auto before = claim_->state();
  claim_->handle(from, *packet.message);
  if (claim_->state() != before) on_claim_state();
}

void Takeover::on_claim_state() {
  switch (claim_->state()) {
    case Claim::State::importing: {
      // Takeovers that the claimed log had begun stay parked after this one is won.
      for (const auto& c : chained_imports_) {
        if (c.first == 0 || import_of(c.import.log) != nullptr) continue;
        Import there = c.import;
        there.from = c.first, there.to = c.end, there.via = claimed_log_, there.epoch = {};
        imports_.push_back(std::move(there));
        persist_import(c.import.log);
      }
      state_complete_ = true;
      host_.commit();
      imported_sequence_ = host_.store.written();
      return;
    }
    case Claim::State::won:
      return on_won();
    case Claim::State::moved: {
      const Import* const i = import_of(claimed_log_);
      if (i != nullptr && i->via && *i->via == claim_->into()) return on_won();
      host_.log("copies: " + log_name(claimed_log_) + " was moved into " + log_name(claim_->into()));
      return abandon_claim("the log was moved into another log");
    }
    case Claim::State::preempted:
      host_.log("copies: the claim on " + log_name(claimed_log_) + " was preempted by " +
                claim_->preempted_by().claimant.name);
      // The leader may be alive. What was imported stays parked until it is known where the log moved.
      host_.replica_logs.note_contact(claimed_log_);
      retry_at_ = host_.steady() + kPreemptedPause;
      return end_claim();
    case Claim::State::awaiting_promises:
    case Claim::State::reading:
    case Claim::State::moving:
      last_sent_at_ = 0;  // sends the next requests at once
      return;
  }
}

void Takeover::persist_import(const LogId& log) {
  const Import* const i = import_of(log);
  host_.store.put(store::record::Fact{import_key(log), i == nullptr ? std::string() : write_import(*i)});
}

// Drops the import, the imports it contained, and their messages.
void Takeover::drop_import(const LogId& log) {
  for (const auto& i : std::vector<Import>(imports_)) {
    if (i.log != log && i.via != log) continue;
    for (MessageId n = i.from; n < i.to; n++) host_.store.finish(n, false);
    std::erase_if(imports_, [&](const Import& x) { return x.log == i.log; });
    persist_import(i.log);
  }
}

void Takeover::import_chunk(const Packet& packet) {
  if (packet.chunk == 0) {
    const Import* i = import_of(claimed_log_);
    // What an earlier claim imported is read again.
    if (i != nullptr && (i->epoch != claim_->epoch() || i->to - i->from != packet.numbered_records)) {
      drop_import(claimed_log_);
      i = nullptr;
    }
    if (i == nullptr) {
      Import fresh;
      fresh.log = claimed_log_, fresh.config = claim_->config(), fresh.epoch = claim_->epoch();
      fresh.from = host_.store.next_number(), fresh.to = fresh.from + packet.numbered_records;
      host_.store.reserve_numbers(fresh.to);
      imports_.push_back(std::move(fresh));
      i = &imports_.back();
      persist_import(claimed_log_);
    }
    next_number_ = i->from;
    chained_imports_.clear();
    // Offset from the log's clock, as that replica knows it, to this relay's clock.
    clock_shift_ = host_.store.clock().now() - packet.log_time;
  }
  const MessageId end = import_of(claimed_log_)->to;
  bool fits = true;
  const bool whole = read_records(packet.salt, packet.body, [&](store::Record&& r) {
    const bool numbered_records = std::holds_alternative<store::record::Accepted>(r) ||
                                  std::holds_alternative<store::record::Finished>(r);
    if (numbered_records && next_number_ >= end)
      fits = false;
    else
      import_record(std::move(r));
  });
  if (!whole || !fits) {
    host_.log("copies: " + log_name(claimed_log_) +
              ": unreadable records received from its holder; retrying later");
    retry_at_ = host_.steady() + kPreemptedPause;
    return this->end_claim();
  }
  host_.commit();
}

void Takeover::import_record(store::Record&& record) {
  if (auto* const t = std::get_if<store::record::Accepted>(&record)) {
    for (auto& c : chained_imports_)
      if (c.import.from <= t->number && t->number < c.import.to) {
        if (c.first == 0) c.first = next_number_;
        c.end = next_number_ + 1;
      }
    t->number = next_number_++;
    t->held.message.deadline += clock_shift_;
    for (auto& a : t->held.attempts) a.sent += clock_shift_;
    host_.store.put(std::move(record));
  } else if (auto* const o = std::get_if<store::record::Finished>(&record)) {
    o->number = next_number_++;
    o->remember_until += clock_shift_;
    if (!host_.store.remembers(o->id)) host_.store.put(std::move(record));
  } else if (const auto* const f = std::get_if<store::record::Fact>(&record)) {
    // The claimed log had begun takeovers itself. Their outcome has to be asked for later.
    if (f->key.compare(0, kImportKeyPrefix.size(), kImportKeyPrefix) != 0) return;
    if (auto import = read_import(f->value)) chained_imports_.push_back({std::move(*import), 0, 0});
  }
}

void Takeover::on_won() {
  const Claim claim = *claim_;
  std::vector<std::pair<MessageId, MessageId>> ours;
  if (const Import* const i = import_of(claimed_log_)) {
    MessageId from = i->from;
    const MessageId to = i->to;
    std::erase_if(imports_, [&](const Import& x) { return x.log == claimed_log_; });
    persist_import(claimed_log_);
    std::vector<std::pair<MessageId, MessageId>> still;
    for (const auto& x : imports_)
      if (x.via == claimed_log_) still.emplace_back(x.from, x.to);
    std::sort(still.begin(), still.end());
    for (const auto& [first, end] : still) {
      if (first > from) ours.emplace_back(from, first);
      from = end;
    }
    if (to > from) ours.emplace_back(from, to);
  }
  host_.log("copies: " + log_name(claimed_log_) + " was taken over in epoch " +
            std::to_string(claim.epoch().number));
  completed_++;
  const LogId log = claimed_log_;
  end_claim();
  host_.commit();
  for (const auto& [from, to] : ours) host_.taken_over(from, to);
  Packet release;
  release.kind = Packet::Kind::release, release.log = log, release.epoch = claim.epoch();
  std::vector<Member> members = claim.config().replicas;
  members.insert(members.end(), claim.config().next.begin(), claim.config().next.end());
  for (const auto& m : members) host_.send(m, release);
}

void Takeover::abandon_claim(const std::string& why) {
  if (import_of(claimed_log_) != nullptr) {
    host_.log("copies: the state read from " + log_name(claimed_log_) + " is dropped: " + why);
    drop_import(claimed_log_);
  }
  end_claim();
  host_.commit();
}

void Takeover::end_claim() {
  claim_.reset();
  chained_imports_.clear();
  state_complete_ = false;
}

void Takeover::abandon_all() {
  for (const auto& i : std::exchange(imports_, {}))
    host_.store.put(store::record::Fact{import_key(i.log), {}});
  end_claim();
  silent_leaders_.clear();
}

}  // namespace heronvane::copies

#include "takeover.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "fact_keys.hpp"

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
                     [&](const Import& import) { return import.from <= number && number < import.to; });
}

const Import* Takeover::import_of(const LogId& log) const {
  const auto found =
      std::find_if(imports_.begin(), imports_.end(), [&](const Import& import) { return import.log == log; });
  return found == imports_.end() ? nullptr : &*found;
}

std::vector<Member> Takeover::wanted_members() const {
  std::vector<Member> members;
  const auto add_replicas = [&](const Config& config) {
    members.insert(members.end(), config.replicas.begin(), config.replicas.end());
    members.insert(members.end(), config.next.begin(), config.next.end());
  };
  if (claim_) add_replicas(claim_->config());
  for (const auto& import : imports_) add_replicas(import.config);
  for (const auto& [log, silent_leader] : silent_leaders_)
    if (const auto replica_log = host_.replica_logs.find(log)) add_replicas(replica_log->state.config);
  return members;
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
    for (const auto& import : std::vector<Import>(imports_)) {
      // Not before the takeover of the log that contained it is won.
      if (import.via && import_of(*import.via) != nullptr) continue;
      const auto replica_log = host_.replica_logs.find(import.log);
      if (replica_log && replica_log->state.last_epoch > import.epoch && import.epoch != Epoch{}) {
        claimed_log_ = import.log;
        abandon_claim("its leader has written further entries");
        return;
      }
      if (replica_log && host_.takeover_after > 0 && now - replica_log->last_contact < host_.takeover_after)
        continue;
      const auto& config = replica_log && replica_log->state.config.version > import.config.version
                               ? replica_log->state.config
                               : import.config;
      return begin(import.log, config,
                   replica_log ? replica_log->state.promised.number : import.epoch.number);
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
    for (const auto& [member, silence] : silent_leader.silence)
      if (silence < 0 || silence >= host_.takeover_after) unreached_by.insert(member);
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
    Packet query;
    query.kind = Packet::Kind::last_contact, query.log = replica_log.log, query.version = config.version;
    for (const auto& member : replicas)
      if (member != self) host_.send(member, query);
  }
  silent_leaders_ = std::move(silent_leaders);
}

void Takeover::send_requests() {
  if (!host_.store.unavailable_reason().empty()) return;  // a promise made here could not be persisted
  last_sent_at_ = host_.steady();
  const auto requests = claim_->requests();
  for (const auto& envelope : requests) {
    Packet request;
    request.log = claimed_log_, request.message = envelope.message;
    if (std::holds_alternative<protocol::Read>(envelope.message)) {
      // Chunk by chunk; restarts if no chunk arrives for kReadRetryInterval.
      if (read_requested_at_ != 0 && last_sent_at_ - read_requested_at_ < kReadRetryInterval) continue;
      read_requested_at_ = last_sent_at_;
      request.chunk = next_chunk_ = 0;
    }
    host_.send(envelope.to, request);
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
    if (const auto silent_leader = silent_leaders_.find(packet.log); silent_leader != silent_leaders_.end())
      silent_leader->second.silence[from] = packet.last_contact_age;
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
      Packet next_read;
      next_read.log = claimed_log_, next_read.message = protocol::Read{claim_->epoch()},
      next_read.chunk = ++next_chunk_;
      read_requested_at_ = host_.steady();
      host_.send(from, next_read);
      return;
    }
  }
  const auto state_before = claim_->state();
  claim_->handle(from, *packet.message);
  if (claim_->state() != state_before) on_claim_state();
}

void Takeover::on_claim_state() {
  switch (claim_->state()) {
    case Claim::State::importing: {
      // Takeovers that the claimed log had begun stay parked after this one is won.
      for (const auto& chained : chained_imports_) {
        if (chained.first == 0 || import_of(chained.import.log) != nullptr) continue;
        Import parked_import = chained.import;
        parked_import.from = chained.first, parked_import.to = chained.end, parked_import.via = claimed_log_,
        parked_import.epoch = {};
        imports_.push_back(std::move(parked_import));
        persist_import(chained.import.log);
      }
      state_complete_ = true;
      host_.commit();
      imported_sequence_ = host_.store.written();
      return;
    }
    case Claim::State::won:
      return on_won();
    case Claim::State::moved: {
      const Import* const import = import_of(claimed_log_);
      if (import != nullptr && import->via && *import->via == claim_->into()) return on_won();
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
  const Import* const import = import_of(log);
  host_.store.put(
      store::record::Fact{import_key(log), import == nullptr ? std::string() : write_import(*import)});
}

// Drops the import, the imports it contained, and their messages.
void Takeover::drop_import(const LogId& log) {
  for (const auto& import : std::vector<Import>(imports_)) {
    if (import.log != log && import.via != log) continue;
    for (MessageId number = import.from; number < import.to; number++) host_.store.finish(number, false);
    std::erase_if(imports_, [&](const Import& other) { return other.log == import.log; });
    persist_import(import.log);
  }
}

void Takeover::import_chunk(const Packet& packet) {
  if (packet.chunk == 0) {
    const Import* import = import_of(claimed_log_);
    // What an earlier claim imported is read again.
    if (import != nullptr &&
        (import->epoch != claim_->epoch() || import->to - import->from != packet.numbered_records)) {
      drop_import(claimed_log_);
      import = nullptr;
    }
    if (import == nullptr) {
      Import new_import;
      new_import.log = claimed_log_, new_import.config = claim_->config(), new_import.epoch = claim_->epoch();
      new_import.from = host_.store.next_number(), new_import.to = new_import.from + packet.numbered_records;
      host_.store.reserve_numbers(new_import.to);
      imports_.push_back(std::move(new_import));
      import = &imports_.back();
      persist_import(claimed_log_);
    }
    next_number_ = import->from;
    chained_imports_.clear();
    // Offset from the log's clock, as that replica knows it, to this relay's clock.
    clock_shift_ = host_.store.clock().now() - packet.log_time;
  }
  const MessageId end = import_of(claimed_log_)->to;
  bool within_range = true;
  const bool intact = read_records(packet.salt, packet.body, [&](store::Record&& record) {
    const bool is_numbered = std::holds_alternative<store::record::Accepted>(record) ||
                             std::holds_alternative<store::record::Finished>(record);
    if (is_numbered && next_number_ >= end)
      within_range = false;
    else
      import_record(std::move(record));
  });
  if (!intact || !within_range) {
    host_.log("copies: " + log_name(claimed_log_) +
              ": unreadable records received from its holder; retrying later");
    retry_at_ = host_.steady() + kPreemptedPause;
    return this->end_claim();
  }
  host_.commit();
}

void Takeover::import_record(store::Record&& record) {
  if (auto* const accepted = std::get_if<store::record::Accepted>(&record)) {
    for (auto& chained : chained_imports_)
      if (chained.import.from <= accepted->number && accepted->number < chained.import.to) {
        if (chained.first == 0) chained.first = next_number_;
        chained.end = next_number_ + 1;
      }
    accepted->number = next_number_++;
    accepted->held.message.deadline += clock_shift_;
    for (auto& attempt : accepted->held.attempts) attempt.sent += clock_shift_;
    host_.store.put(std::move(record));
  } else if (auto* const finished = std::get_if<store::record::Finished>(&record)) {
    finished->number = next_number_++;
    finished->remember_until += clock_shift_;
    if (!host_.store.remembers(finished->id)) host_.store.put(std::move(record));
  } else if (const auto* const fact = std::get_if<store::record::Fact>(&record)) {
    // The claimed log had begun takeovers itself. Their outcome has to be asked for later.
    if (fact->key.compare(0, kImportKeyPrefix.size(), kImportKeyPrefix) != 0) return;
    if (auto import = read_import(fact->value)) chained_imports_.push_back({std::move(*import), 0, 0});
  }
}

void Takeover::on_won() {
  const Claim claim = *claim_;
  std::vector<std::pair<MessageId, MessageId>> own_ranges;
  if (const Import* const won_import = import_of(claimed_log_)) {
    MessageId from = won_import->from;
    const MessageId to = won_import->to;
    std::erase_if(imports_, [&](const Import& import) { return import.log == claimed_log_; });
    persist_import(claimed_log_);
    std::vector<std::pair<MessageId, MessageId>> parked_ranges;
    for (const auto& import : imports_)
      if (import.via == claimed_log_) parked_ranges.emplace_back(import.from, import.to);
    std::sort(parked_ranges.begin(), parked_ranges.end());
    for (const auto& [first, end] : parked_ranges) {
      if (first > from) own_ranges.emplace_back(from, first);
      from = end;
    }
    if (to > from) own_ranges.emplace_back(from, to);
  }
  host_.log("copies: " + log_name(claimed_log_) + " was taken over in epoch " +
            std::to_string(claim.epoch().number));
  completed_++;
  const LogId log = claimed_log_;
  end_claim();
  host_.commit();
  for (const auto& [from, to] : own_ranges) host_.taken_over(from, to);
  Packet release;
  release.kind = Packet::Kind::release, release.log = log, release.epoch = claim.epoch();
  std::vector<Member> members = claim.config().replicas;
  members.insert(members.end(), claim.config().next.begin(), claim.config().next.end());
  for (const auto& member : members) host_.send(member, release);
}

void Takeover::abandon_claim(const std::string& reason) {
  if (import_of(claimed_log_) != nullptr) {
    host_.log("copies: the state read from " + log_name(claimed_log_) + " is dropped: " + reason);
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
  for (const auto& import : std::exchange(imports_, {}))
    host_.store.put(store::record::Fact{import_key(import.log), {}});
  end_claim();
  silent_leaders_.clear();
}

}  // namespace heronvane::copies

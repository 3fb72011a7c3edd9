// How a relay becomes the leader of its log: a claim after a restart or after fencing.
#include <stdexcept>
#include <utility>

#include "fact_keys.hpp"
#include "log_replicator.hpp"

namespace heronvane::copies {

namespace {

constexpr Microseconds kResendInterval = 150'000;       // unanswered requests of a claim
constexpr Microseconds kReadRetryInterval = 2'000'000;  // then a read restarts at its first chunk

}  // namespace

void LogReplicator::begin_claim(std::uint64_t above) {
  phase_ = Phase::claiming, phase_since_ = steady();
  leader_.reset();
  transfers_.clear();
  const Epoch epoch{next_epoch(above), self_};
  if (config_.replicas.empty() && config_.next.empty()) {  // the log never had replicas
    leader_.emplace(self_, epoch, config_, last_, last_epoch_, LeaderOptions{acks(), 64});
    return start_leading();
  }
  claim_.emplace(self_, Claim::Purpose::resume, epoch, config_, log_, last_, last_epoch_,
                 ClaimOptions{acks()});
  last_sent_at_ = 0, read_requested_at_ = 0;
  // Persists the epoch first. While the store can't be written, no request is sent.
  if (started_) hooks_.commit();
}

void LogReplicator::send_claim_requests() {
  const Microseconds now = steady();
  if (now - last_sent_at_ < kResendInterval || !store_.unavailable_reason().empty()) return;
  last_sent_at_ = now;
  for (const auto& envelope : claim_->requests()) {
    Packet request = packet(envelope.message);
    if (std::holds_alternative<protocol::Read>(envelope.message)) {
      if (read_requested_at_ != 0 && now - read_requested_at_ < kReadRetryInterval) continue;
      read_requested_at_ = now;
      next_read_chunk_ = 0;
      read_numbers_.clear();
    }
    connections_->send(envelope.to, request);
  }
}

// Replaces the own, older state with a replica's. Messages that the replica does not have are complete.
void LogReplicator::import_chunk(const Packet& chunk) {
  const bool intact = read_records(chunk.salt, chunk.body, [this](store::Record&& record) {
    if (const auto* const accepted = std::get_if<store::record::Accepted>(&record))
      read_numbers_.insert(accepted->number);
    const auto* const fact = std::get_if<store::record::Fact>(&record);
    const bool replication_fact = fact != nullptr && fact->key.compare(0, kKeyPrefix.size(), kKeyPrefix) == 0;
    if (!replication_fact) store_.put(std::move(record));
  });
  if (!intact) {
    options_.log("copies: unreadable records of this relay's log received from a holder");
    read_requested_at_ = 0;
    return;
  }
  if (!chunk.last) {
    Packet next_read = packet(protocol::Read{claim_->epoch()});
    next_read.chunk = ++next_read_chunk_;
    read_requested_at_ = steady();
    connections_->send(claim_->source(), next_read);
    return;
  }
  std::vector<MessageId> finished;
  for (const auto& [number, held] : store_.held())
    if (read_numbers_.count(number) == 0) finished.push_back(number);
  for (const MessageId number : finished) store_.finish(number, false);
  options_.log(
      "copies: this disk was older than the copies at its holders: " + std::to_string(read_numbers_.size()) +
      " messages read, " + std::to_string(finished.size()) + " finished messages dropped");
  read_numbers_.clear();
}

void LogReplicator::on_claim_state() {
  switch (claim_->state()) {
    case Claim::State::importing:
      last_ = claim_->last(), last_epoch_ = claim_->last_epoch();
      // Only its leader writes a log, so a running leader can't be older than its replicas.
      if (ready_)
        throw std::runtime_error(
            "copies: the holders have more entries of this relay's log than it has written");
      put(kEndKey, std::to_string(last_) + " " + std::to_string(last_epoch_.number) + " " +
                       std::to_string(last_epoch_.claimant.incarnation));
      hooks_.commit();
      claim_->state_imported();
      return on_claim_state();
    case Claim::State::won: {
      config_ = claim_->config();
      const Epoch epoch = claim_->epoch();
      claim_.reset();
      // Counts the dropped frames as an entry that no replica has, so that replicas get a snapshot.
      if (std::exchange(leaderless_frames_dropped_, false)) last_++, last_epoch_ = epoch;
      leader_.emplace(self_, epoch, config_, last_, last_epoch_, LeaderOptions{acks(), 64});
      return start_leading();
    }
    case Claim::State::moved:
      options_.log("copies: the log of this relay was taken over by " + claim_->into().name +
                   "; this relay drops the messages of that log");
      return abandon_log();
    case Claim::State::preempted:
      // Retries at a different time than the competing claimant.
      claim_retry_at_ = steady() + 200'000 + static_cast<Microseconds>(self_.incarnation % 300'000);
      return;
    case Claim::State::awaiting_promises:
    case Claim::State::reading:
    case Claim::State::moving:
      last_sent_at_ = 0;
      return;
  }
}

void LogReplicator::abandon_log() {
  claim_.reset();
  leader_.reset();
  takeover_.abandon_all();
  uncommitted_.clear();
  transfers_.clear();
  leaderless_frames_.clear(), leaderless_frames_dropped_ = false;
  ready_ = replicas_short_ = false;
  for (const auto& key : {kLogKey, kConfigKey, kEndKey}) put(key, {});
  hooks_.disown();
  store_.set_replicated();
  hooks_.commit();
  config_ = {};
  last_ = 0, last_epoch_ = {};
  phase_ = Phase::choosing, phase_since_ = steady();
  update_connections();
}

void LogReplicator::start_leading() {
  phase_ = Phase::leading, phase_since_ = steady();
  epoch_start_ = leader_->last();
  for (const auto& replica : leader_->replicas())
    replica_health_[replica.name].away_since = connected(replica) ? 0 : steady();
  config_ = leader_->config();
  put(kConfigKey, write_state(leader_->epoch(), 0, {}, config_, std::nullopt, 0, 0));
  hooks_.commit();  // writes the first entry of this epoch
  update_connections();
  send_pending();
  apply_progress();
}

}  // namespace heronvane::copies

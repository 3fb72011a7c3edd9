// How a relay comes to own its log: one that begins, one that an earlier life wrote, one that was fenced.
#include <stdexcept>
#include <utility>

#include "copies.hpp"
#include "facts.hpp"

namespace heronvane::copies {

namespace {

constexpr Microseconds kResendInterval = 150'000;       // words of a claim
constexpr Microseconds kReadRetryInterval = 2'000'000;  // a state that is read, from its first part on

}  // namespace

void LogReplicator::begin_claim(std::uint64_t above) {
  phase_ = Phase::claiming, phase_since_ = steady();
  leader_.reset();
  transfers_.clear();
  const Epoch epoch{next_epoch(above), self_};
  if (config_.replicas.empty() && config_.next.empty()) {  // nobody else was ever to have it
    leader_.emplace(self_, epoch, config_, last_, last_epoch_, LeaderOptions{acks(), 64});
    return start_leading();
  }
  claim_.emplace(self_, Claim::Purpose::resume, epoch, config_, log_, last_, last_epoch_,
                 ClaimOptions{acks()});
  last_sent_at_ = 0, read_requested_at_ = 0;
  // Before its words go out; a store that can't be written says none.
  if (started_) hooks_.commit();
}

void LogReplicator::send_claim_requests() {
  const Microseconds now = steady();
  if (now - last_sent_at_ < kResendInterval || !store_.unavailable_reason().empty()) return;
  last_sent_at_ = now;
  for (const auto& envelope : claim_->requests()) {
    Packet p = packet(envelope.message);
    if (std::holds_alternative<protocol::Read>(envelope.message)) {
      if (read_requested_at_ != 0 && now - read_requested_at_ < kReadRetryInterval) continue;
      read_requested_at_ = now;
      next_read_chunk_ = 0;
      read_numbers_.clear();
    }
    connections_->send(envelope.to, p);
  }
}

// The holder's state in the place of the own one, which is older: what it has not is over.
void LogReplicator::import_chunk(const Packet& p) {
  const bool sound = read_records(p.salt, p.body, [this](store::Record&& r) {
    if (const auto* const t = std::get_if<store::record::Accepted>(&r)) read_numbers_.insert(t->number);
    const auto* const f = std::get_if<store::record::Fact>(&r);
    const bool own = f != nullptr && f->key.compare(0, kKeyPrefix.size(), kKeyPrefix) == 0;
    if (!own) store_.put(std::move(r));
  });
  if (!sound) {
    options_.log("copies: what a holder sent of the own log can't be read");
    read_requested_at_ = 0;
    return;
  }
  if (!p.last) {
    Packet more = packet(protocol::Read{claim_->epoch()});
    more.chunk = ++next_read_chunk_;
    read_requested_at_ = steady();
    connections_->send(claim_->source(), more);
    return;
  }
  std::vector<MessageId> over;
  for (const auto& [number, held] : store_.held())
    if (read_numbers_.count(number) == 0) over.push_back(number);
  for (const MessageId number : over) store_.finish(number, false);
  options_.log("copies: this disk was older than its copies: " + std::to_string(read_numbers_.size()) +
               " messages read, " + std::to_string(over.size()) + " that were over are dropped");
  read_numbers_.clear();
}

void LogReplicator::on_claim_state() {
  switch (claim_->state()) {
    case Claim::State::importing:
      last_ = claim_->last(), last_epoch_ = claim_->last_epoch();
      // Only its owner writes a log: what runs can't be older than its copies.
      if (ready_) throw std::runtime_error("copies: the holders have more of the own log than was written");
      put(kEndKey, std::to_string(last_) + " " + std::to_string(last_epoch_.number) + " " +
                       std::to_string(last_epoch_.claimant.incarnation));
      hooks_.commit();
      claim_->state_imported();
      return on_claim_state();
    case Claim::State::won: {
      config_ = claim_->config();
      const Epoch epoch = claim_->epoch();
      claim_.reset();
      // As if it were an entry, which no holder has.
      if (std::exchange(leaderless_frames_dropped_, false)) last_++, last_epoch_ = epoch;
      leader_.emplace(self_, epoch, config_, last_, last_epoch_, LeaderOptions{acks(), 64});
      return start_leading();
    }
    case Claim::State::moved:
      options_.log("copies: what was held here was taken over by " + claim_->into().name +
                   ": nothing of it is this relay's any more");
      return abandon_log();
    case Claim::State::preempted:
      // At another moment than the other one, which may try again, too.
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
  ready_ = short_ = false;
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
  for (const auto& h : leader_->replicas()) replica_health_[h.name].away_since = connected(h) ? 0 : steady();
  config_ = leader_->config();
  put(kConfigKey, write_state(leader_->epoch(), 0, {}, config_, std::nullopt, 0, 0));
  hooks_.commit();  // the first entry under this epoch
  update_connections();
  send_pending();
  apply_progress();
}

}  // namespace heronvane::copies

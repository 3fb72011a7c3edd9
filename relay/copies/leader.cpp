#include "leader.hpp"

#include <algorithm>
#include <sstream>

#include "defects.hpp"

namespace heronvane::copies {

Leader::Leader(Member self, Epoch epoch, Config config, Position last, Epoch last_epoch,
               LeaderOptions options)
    : self_(std::move(self)),
      epoch_(std::move(epoch)),
      config_(std::move(config)),
      epoch_start_(last),
      base_(last),
      base_epoch_(std::move(last_epoch)),
      options_(options) {
  config_.version.epoch = epoch_;
  for (const auto& replica : replicas()) progress_[replica].append_after = base_;
  advance();
}

Epoch Leader::epoch_at(Position position) const {
  return position == base_ ? base_epoch_ : entries_[position - base_ - 1].epoch;
}

std::vector<Member> Leader::replicas() const {
  std::vector<Member> all = config_.replicas;
  for (const auto& member : config_.next)
    if (std::find(all.begin(), all.end(), member) == all.end()) all.push_back(member);
  return all;
}

void Leader::append(std::string bytes) {
  bytes_ += bytes.size();
  entries_.push_back({epoch_, std::move(bytes)});
  advance();
}

void Leader::trim(std::uint64_t max_bytes) {
  Position acknowledged_by_all = last();
  for (const auto& [member, progress] : progress_)
    acknowledged_by_all = std::min(acknowledged_by_all, progress.acknowledged);
  while (!entries_.empty() && (base_ < acknowledged_by_all || bytes_ > max_bytes)) {
    base_++, base_epoch_ = entries_.front().epoch;
    bytes_ -= entries_.front().bytes.size();
    entries_.pop_front();
  }
}

bool Leader::needs_snapshot(const Member& replica) const {
  const auto it = progress_.find(replica);
  return it != progress_.end() && !fenced_ && (it->second.diverged || it->second.append_after < base_);
}

std::optional<Envelope> Leader::snapshot(const Member& replica) {
  if (!needs_snapshot(replica)) return std::nullopt;
  auto& progress = progress_[replica];
  if (progress.in_flight) return std::nullopt;
  progress.in_flight = true;
  return Envelope{replica, protocol::Snapshot{epoch_, last(), epoch_at(last()), config_}};
}

std::optional<Envelope> Leader::next_append(const Member& replica, bool probe) {
  const auto it = progress_.find(replica);
  if (it == progress_.end() || fenced_ || needs_snapshot(replica)) return std::nullopt;
  auto& progress = it->second;
  const bool lacks = progress.acknowledged < last() || progress.config < config_.version;
  if (progress.in_flight || (!lacks && !probe)) return std::nullopt;
  protocol::Append append;
  append.epoch = epoch_;
  append.after = progress.append_after;
  append.after_epoch = epoch_at(progress.append_after);
  const Position until = std::min<Position>(last(), progress.append_after + options_.max_entries_per_append);
  append.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(progress.append_after - base_),
                        entries_.begin() + static_cast<std::ptrdiff_t>(until - base_));
  if (progress.config < config_.version) append.config = config_;
  progress.in_flight = true;
  return Envelope{replica, std::move(append)};
}

void Leader::mark_lost(const Member& replica) {
  if (const auto it = progress_.find(replica); it != progress_.end()) it->second.in_flight = false;
}

void Leader::handle(const Member& from, const ProtocolMessage& message) {
  const auto it = progress_.find(from);
  if (it == progress_.end()) return;
  auto& progress = it->second;
  if (const auto* const appended = std::get_if<protocol::Appended>(&message)) {
    // Ignores answers from another epoch of this leader, and positions beyond its log.
    if (appended->epoch != epoch_ || appended->last > last()) return;
    progress.in_flight = progress.diverged = false;
    progress.acknowledged = std::max(progress.acknowledged, appended->last);
    progress.append_after = progress.acknowledged;
    progress.config = std::max(progress.config, appended->config);
    advance();
  } else if (const auto* const behind = std::get_if<protocol::Behind>(&message)) {
    if (behind->epoch != epoch_) return;
    progress.in_flight = false;
    // A lower position than before is a delayed message, which costs a resend, or the replica's disk was
    // rolled back.
    progress.acknowledged = std::min(progress.acknowledged, behind->last);
    progress.append_after = std::min(behind->last, last());
    progress.diverged =
        behind->last > last() || behind->last < base_ || epoch_at(behind->last) != behind->last_epoch;
  } else if (const auto* const refused = std::get_if<protocol::Refused>(&message)) {
    if (refused->promised < epoch_) return;
    fenced_ = std::max(fenced_.value_or(refused->promised), refused->promised);
  }
}

bool Leader::replace(const Member& replaced, const Member& replacement) {
  if (changing() || fenced_) return false;
  const auto replaced_at = std::find(config_.replicas.begin(), config_.replicas.end(), replaced);
  if (replaced_at == config_.replicas.end() || progress_.count(replacement) > 0 || replacement == self_)
    return false;
  config_.version.number++;
  config_.next = config_.replicas;
  config_.next[static_cast<std::size_t>(replaced_at - config_.replicas.begin())] = replacement;
  progress_[replacement];  // starts at position 0
  advance();
  return true;
}

Position Leader::lag(const Member& replica) const {
  const auto it = progress_.find(replica);
  return it == progress_.end() ? last() : last() - it->second.acknowledged;
}

void Leader::advance() {
  if (fenced_) return;
  // The highest position of this epoch that enough replicas have is committed.
  const Position floor = std::max(durable_, epoch_start_);
  if (HERONVANE_COPIES_DEFECT("earlier epochs count")) durable_ = floor;
  for (Position position = last(); position > floor; position--) {
    std::set<Member> acknowledged_by;
    for (const auto& [member, progress] : progress_)
      if (progress.acknowledged >= position || HERONVANE_COPIES_DEFECT("own disk is enough"))
        acknowledged_by.insert(member);
    if (!enough_acks(config_, acknowledged_by, options_.acks)) continue;
    durable_ = position;
    break;
  }
  if (!changing()) return;
  // What earlier epochs committed is known only once an entry of this epoch is committed.
  const bool durable_known = last() == 0 || durable_ > epoch_start_;
  if (!durable_known) return;
  // The change is complete when any claim on either set learns of it and the new set alone has a quorum for
  // every committed entry. A replica that is lost for good need not confirm it, so one of two replicas can be
  // replaced.
  std::set<Member> informed, acknowledged_by;
  for (const auto& [member, progress] : progress_) {
    if (progress.config >= config_.version) informed.insert(member);
    if (progress.config >= config_.version && progress.acknowledged >= durable_)
      acknowledged_by.insert(member);
  }
  if (!every_claim_reaches(config_, informed, options_.acks) &&
      !HERONVANE_COPIES_DEFECT("change unknown to the old"))
    return;
  const Config alone{config_.version, config_.next, {}};
  if (!enough_acks(alone, acknowledged_by, options_.acks) ||
      !std::all_of(config_.next.begin(), config_.next.end(), [&](const Member& member) {
        return acknowledged_by.count(member) > 0 ||
               std::find(config_.replicas.begin(), config_.replicas.end(), member) != config_.replicas.end();
      }))
    return;
  const auto previous_replicas = config_.replicas;
  config_ = {{epoch_, config_.version.number + 1}, config_.next, {}};
  for (const auto& member : previous_replicas)
    if (std::find(config_.replicas.begin(), config_.replicas.end(), member) == config_.replicas.end())
      progress_.erase(member);
}

std::string Leader::describe() const {
  std::ostringstream text;
  text << epoch_ << " " << config_ << " durable " << durable_ << " from " << epoch_start_ << " base " << base_
       << " of " << base_epoch_ << " log";
  for (const auto& entry : entries_) text << " " << entry.epoch << "=" << entry.bytes;
  if (fenced_) text << " fenced by " << *fenced_;
  for (const auto& [member, progress] : progress_)
    text << " | " << member << " has " << progress.acknowledged << " from " << progress.append_after
         << " config " << progress.config.epoch << "." << progress.config.number
         << (progress.in_flight ? " out" : "") << (progress.diverged ? " differs" : "");
  return text.str();
}

}  // namespace heronvane::copies

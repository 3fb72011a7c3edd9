#include "owner.hpp"

#include <algorithm>
#include <sstream>

#include "defects.hpp"

namespace heronvane::copies {

Owner::Owner(Member self, Epoch epoch, Config config, Position last, Epoch last_epoch, OwnerOptions options)
    : self_(std::move(self)),
      epoch_(std::move(epoch)),
      config_(std::move(config)),
      start_(last),
      base_(last),
      base_epoch_(std::move(last_epoch)),
      options_(options) {
  config_.version.epoch = epoch_;
  for (const auto& h : holders()) progress_[h].from = base_;
  settle();
}

Epoch Owner::epoch_at(Position p) const { return p == base_ ? base_epoch_ : entries_[p - base_ - 1].epoch; }

std::vector<Member> Owner::holders() const {
  std::vector<Member> all = config_.holders;
  for (const auto& m : config_.next)
    if (std::find(all.begin(), all.end(), m) == all.end()) all.push_back(m);
  return all;
}

void Owner::wrote(std::string bytes) {
  bytes_ += bytes.size();
  entries_.push_back({epoch_, std::move(bytes)});
  settle();
}

void Owner::trim(std::uint64_t most) {
  Position all = last();
  for (const auto& [m, p] : progress_) all = std::min(all, p.has);
  while (!entries_.empty() && (base_ < all || bytes_ > most)) {
    base_++, base_epoch_ = entries_.front().epoch;
    bytes_ -= entries_.front().bytes.size();
    entries_.pop_front();
  }
}

bool Owner::needs_snapshot(const Member& holder) const {
  const auto it = progress_.find(holder);
  return it != progress_.end() && !fenced_ && (it->second.differs || it->second.from < base_);
}

std::optional<Letter> Owner::snapshot(const Member& holder) {
  if (!needs_snapshot(holder)) return std::nullopt;
  auto& p = progress_[holder];
  if (p.out) return std::nullopt;
  p.out = true;
  return Letter{holder, say::Snapshot{epoch_, last(), epoch_at(last()), config_}};
}

std::optional<Letter> Owner::next(const Member& holder, bool ask) {
  const auto it = progress_.find(holder);
  if (it == progress_.end() || fenced_ || needs_snapshot(holder)) return std::nullopt;
  auto& p = it->second;
  const bool lacks = p.has < last() || p.config < config_.version;
  if (p.out || (!lacks && !ask)) return std::nullopt;
  say::Append a;
  a.epoch = epoch_;
  a.after = p.from;
  a.after_epoch = epoch_at(p.from);
  const Position until = std::min<Position>(last(), p.from + options_.most_entries);
  a.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(p.from - base_),
                   entries_.begin() + static_cast<std::ptrdiff_t>(until - base_));
  if (p.config < config_.version) a.config = config_;
  p.out = true;
  return Letter{holder, std::move(a)};
}

void Owner::again(const Member& holder) {
  if (const auto it = progress_.find(holder); it != progress_.end()) it->second.out = false;
}

void Owner::hear(const Member& from, const Saying& saying) {
  const auto it = progress_.find(from);
  if (it == progress_.end()) return;
  auto& p = it->second;
  if (const auto* const a = std::get_if<say::Appended>(&saying)) {
    // Of another epoch of this owner's, or beyond what it has: not about this log as it is.
    if (a->epoch != epoch_ || a->last > last()) return;
    p.out = p.differs = false;
    p.has = std::max(p.has, a->last);
    p.from = p.has;
    p.config = std::max(p.config, a->config);
    settle();
  } else if (const auto* const b = std::get_if<say::Behind>(&saying)) {
    if (b->epoch != epoch_) return;
    p.out = false;
    // Less than it told before: a word that comes late, which costs a repeat; or its disk went back.
    p.has = std::min(p.has, b->last);
    p.from = std::min(b->last, last());
    p.differs = b->last > last() || b->last < base_ || epoch_at(b->last) != b->last_epoch;
  } else if (const auto* const r = std::get_if<say::Refused>(&saying)) {
    if (r->promised < epoch_) return;
    fenced_ = std::max(fenced_.value_or(r->promised), r->promised);
  }
}

bool Owner::replace(const Member& old, const Member& fresh) {
  if (changing() || fenced_) return false;
  const auto at = std::find(config_.holders.begin(), config_.holders.end(), old);
  if (at == config_.holders.end() || progress_.count(fresh) > 0 || fresh == self_) return false;
  config_.version.number++;
  config_.next = config_.holders;
  config_.next[static_cast<std::size_t>(at - config_.holders.begin())] = fresh;
  progress_[fresh];  // from the beginning
  settle();
  return true;
}

Position Owner::lag(const Member& holder) const {
  const auto it = progress_.find(holder);
  return it == progress_.end() ? last() : last() - it->second.has;
}

void Owner::settle() {
  if (fenced_) return;
  // What stands: the highest position that enough holders have, of this epoch.
  const Position above = std::max(durable_, start_);
  if (HERONVANE_COPIES_DEFECT("earlier epochs count")) durable_ = above;
  for (Position p = last(); p > above; p--) {
    std::set<Member> have;
    for (const auto& [m, progress] : progress_)
      if (progress.has >= p || HERONVANE_COPIES_DEFECT("own disk is enough")) have.insert(m);
    if (!enough_acks(config_, have, options_.acks)) continue;
    durable_ = p;
    break;
  }
  if (!changing()) return;
  // What earlier epochs made stand is known only once something of this one does.
  const bool known = last() == 0 || durable_ > start_;
  if (!known) return;
  // The change is over when any claimant, of either set, would learn of it, and the new set alone would
  // answer for all that stands. One that is lost for good need not hear of it: a holder of two can be
  // replaced.
  std::set<Member> know, have;
  for (const auto& [m, progress] : progress_) {
    if (progress.config >= config_.version) know.insert(m);
    if (progress.config >= config_.version && progress.has >= durable_) have.insert(m);
  }
  if (!claims_meet(config_, know, options_.acks) && !HERONVANE_COPIES_DEFECT("change unknown to the old"))
    return;
  const Config alone{config_.version, config_.next, {}};
  if (!enough_acks(alone, have, options_.acks) ||
      !std::all_of(config_.next.begin(), config_.next.end(), [&](const Member& m) {
        return have.count(m) > 0 ||
               std::find(config_.holders.begin(), config_.holders.end(), m) != config_.holders.end();
      }))
    return;
  const auto before = config_.holders;
  config_ = {{epoch_, config_.version.number + 1}, config_.next, {}};
  for (const auto& m : before)
    if (std::find(config_.holders.begin(), config_.holders.end(), m) == config_.holders.end())
      progress_.erase(m);
}

std::string Owner::describe() const {
  std::ostringstream out;
  out << epoch_ << " " << config_ << " durable " << durable_ << " from " << start_ << " base " << base_
      << " of " << base_epoch_ << " log";
  for (const auto& e : entries_) out << " " << e.epoch << "=" << e.bytes;
  if (fenced_) out << " fenced by " << *fenced_;
  for (const auto& [m, p] : progress_)
    out << " | " << m << " has " << p.has << " from " << p.from << " config " << p.config.epoch << "."
        << p.config.number << (p.out ? " out" : "") << (p.differs ? " differs" : "");
  return out.str();
}

}  // namespace heronvane::copies

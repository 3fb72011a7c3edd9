#include "send_queue.hpp"

#include <algorithm>

namespace heronvane::dispatch {

SendQueue::SendQueue(const std::vector<std::vector<OrderPhase>>& phases_by_group) {
  for (const auto& phases : phases_by_group) {
    first_phase_.push_back(phase_queues_.size());
    for (std::size_t i = 0; i < phases.size(); i++) {
      PhaseQueue& queue = phase_queues_.emplace_back();
      queue.phase = phases[i];
      if (i + 1 < phases.size()) queue.until = phases[i + 1].from;
    }
  }
}

SendQueue::~SendQueue() = default;

SendQueue::Key SendQueue::key_of(Entry& entry) const {
  switch (phase_queues_[entry.place.phase_].phase.order) {
    case OrderPhase::Order::by_id:
      return {0, entry.id, &entry};
    case OrderPhase::Order::earlier_objective:
      return {entry.objective_at, entry.id, &entry};
    case OrderPhase::Order::later_objective:
      return {-entry.objective_at, entry.id, &entry};
  }
  return {};
}

// Advances the entry from its present phase to the one that contains `at`, and schedules the end of that
// phase.
void SendQueue::enter_phase(Entry& entry, Microseconds at) {
  while (phase_queues_[entry.place.phase_].until <= at - entry.objective_at) entry.place.phase_++;
  const Microseconds until = phase_queues_[entry.place.phase_].until;
  entry.place.phase_ends_at_ = until < kNever ? entry.objective_at + until : kNever;
  if (entry.place.phase_ends_at_ < kNever) phase_changes_.insert({entry.place.phase_ends_at_, &entry});
}

void SendQueue::add(Entry& entry, Microseconds at) {
  entry.place.added_ = true;
  entry.place.phase_ = first_phase_[entry.group];
  enter_phase(entry, at);
  phase_queues_[entry.place.phase_].all.insert(key_of(entry));
  size_++;
}

void SendQueue::remove(Entry& entry) {
  if (!entry.place.added_) return;
  if (entry.place.subqueue_ != nullptr) dequeue(entry);
  if (entry.place.phase_ends_at_ < kNever) phase_changes_.erase({entry.place.phase_ends_at_, &entry});
  phase_queues_[entry.place.phase_].all.erase(key_of(entry));
  entry.place.added_ = false;
  size_--;
}

void SendQueue::enqueue(Entry& entry, const SubqueueKey& key) {
  auto& subqueues = by_destination_[key.destination];
  auto found = std::find_if(subqueues.begin(), subqueues.end(),
                            [&](const auto& subqueue) { return subqueue->key_ == key; });
  if (found == subqueues.end()) {
    found = subqueues.insert(subqueues.end(), std::make_unique<Subqueue>(key));
    subqueue_count_++;
  }
  entry.place.subqueue_ = found->get();
  insert(**found, entry);
}

void SendQueue::dequeue(Entry& entry) {
  Subqueue& subqueue = *entry.place.subqueue_;
  if (entry.place.deferred_) {
    subqueue.deferred_.erase({entry.place.deferred_until_, &entry});
  } else {
    erase(subqueue, entry);
  }
  entry.place.subqueue_ = nullptr;
  entry.place.deferred_ = false;
  drop_if_empty(subqueue);
}

void SendQueue::drop_if_empty(Subqueue& subqueue) {
  if (!subqueue.phases_.empty() || !subqueue.deferred_.empty()) return;
  set_recheck(subqueue, kNever);
  const auto siblings = by_destination_.find(subqueue.key_.destination);
  std::erase_if(siblings->second, [&](const auto& sibling) { return sibling.get() == &subqueue; });
  subqueue_count_--;
  if (siblings->second.empty()) by_destination_.erase(siblings);
}

void SendQueue::advance_phases(Microseconds at) {
  while (!phase_changes_.empty() && phase_changes_.begin()->at <= at) {
    Entry& entry = *phase_changes_.begin()->item;
    phase_changes_.erase(phase_changes_.begin());
    const bool in_subqueue = entry.place.subqueue_ != nullptr && !entry.place.deferred_;
    if (in_subqueue) erase(*entry.place.subqueue_, entry);
    phase_queues_[entry.place.phase_].all.erase(key_of(entry));
    enter_phase(entry, at);
    phase_queues_[entry.place.phase_].all.insert(key_of(entry));
    if (in_subqueue) insert(*entry.place.subqueue_, entry);
  }
}

// The set of heads that holds the subqueue's first entry of the phase; null while the subqueue is blocked.
SendQueue::Keys* SendQueue::heads_of(const Subqueue& subqueue, std::size_t phase) {
  switch (subqueue.eligibility_) {
    case Eligibility::eligible:
      return &phase_queues_[phase].eligible_heads;
    case Eligibility::awaiting_health_check:
      return &phase_queues_[phase].awaiting_heads;
    case Eligibility::blocked:
      break;
  }
  return nullptr;
}

void SendQueue::insert(Subqueue& subqueue, Entry& entry) {
  auto& phases = subqueue.phases_;
  auto phase = std::find_if(phases.begin(), phases.end(),
                            [&](const auto& candidate) { return candidate.phase == entry.place.phase_; });
  if (phase == phases.end()) phase = phases.insert(phase, {entry.place.phase_, {}});
  const Key key = key_of(entry);
  Keys* const heads = heads_of(subqueue, entry.place.phase_);
  if (heads != nullptr && (phase->keys.empty() || key < *phase->keys.begin())) {
    if (!phase->keys.empty()) heads->erase(*phase->keys.begin());
    heads->insert(key);
  }
  phase->keys.insert(key);
}

void SendQueue::erase(Subqueue& subqueue, Entry& entry) {
  auto& phases = subqueue.phases_;
  const auto phase = std::find_if(phases.begin(), phases.end(), [&](const auto& candidate) {
    return candidate.phase == entry.place.phase_;
  });
  const auto position = phase->keys.find(key_of(entry));
  const bool was_head = position == phase->keys.begin();
  Keys* const heads = heads_of(subqueue, entry.place.phase_);
  if (was_head && heads != nullptr) heads->erase(*position);
  phase->keys.erase(position);
  if (phase->keys.empty()) {
    phases.erase(phase);
  } else if (was_head && heads != nullptr) {
    heads->insert(*phase->keys.begin());
  }
}

void SendQueue::erase_heads(const Subqueue& subqueue) {
  for (const auto& phase : subqueue.phases_) {
    if (Keys* const heads = heads_of(subqueue, phase.phase)) heads->erase(*phase.keys.begin());
  }
}

void SendQueue::insert_heads(const Subqueue& subqueue) {
  for (const auto& phase : subqueue.phases_) {
    if (Keys* const heads = heads_of(subqueue, phase.phase)) heads->insert(*phase.keys.begin());
  }
}

void SendQueue::set_recheck(Subqueue& subqueue, Microseconds at) {
  if (subqueue.recheck_at_ < kNever) rechecks_.erase({subqueue.recheck_at_, &subqueue});
  subqueue.recheck_at_ = at;
  if (at < kNever) rechecks_.insert({at, &subqueue});
}

void SendQueue::set_eligibility(Subqueue& subqueue, Eligibility eligibility, Microseconds recheck_at) {
  if (subqueue.eligibility_ != eligibility) {
    erase_heads(subqueue);
    subqueue.eligibility_ = eligibility;
    insert_heads(subqueue);
  }
  // Deferred entries become eligible at their own time, whatever the state of the subqueue.
  if (!subqueue.deferred_.empty()) recheck_at = std::min(recheck_at, subqueue.deferred_.begin()->at);
  if (recheck_at != subqueue.recheck_at_) set_recheck(subqueue, recheck_at);
}

void SendQueue::block(Subqueue& subqueue, Microseconds recheck_at) {
  set_eligibility(subqueue, Eligibility::blocked, recheck_at);
}

void SendQueue::block_until_health_check(Subqueue& subqueue, Microseconds recheck_at) {
  set_eligibility(subqueue, Eligibility::awaiting_health_check, recheck_at);
}

void SendQueue::defer(Entry& entry, Microseconds until) {
  Subqueue& subqueue = *entry.place.subqueue_;
  erase(subqueue, entry);
  entry.place.deferred_ = true;
  entry.place.deferred_until_ = until;
  subqueue.deferred_.insert({until, &entry});
  if (until < subqueue.recheck_at_) set_recheck(subqueue, until);
}

void SendQueue::unblock_due(Microseconds now) {
  while (!rechecks_.empty() && rechecks_.begin()->at <= now) {
    Subqueue& subqueue = *rechecks_.begin()->item;
    Deferred& deferred = subqueue.deferred_;
    while (!deferred.empty() && deferred.begin()->at <= now) restore(subqueue, deferred.begin());
    set_eligibility(subqueue, Eligibility::eligible, kNever);
  }
}

Microseconds SendQueue::next_recheck() const { return rechecks_.empty() ? kNever : rechecks_.begin()->at; }

void SendQueue::unblock(DestinationId destination) {
  unblock_if(destination, [](const Entry&) { return true; });
}

// Puts a deferred entry back into the phases of its subqueue; returns the next deferred entry.
SendQueue::Deferred::iterator SendQueue::restore(Subqueue& subqueue, Deferred::iterator deferred) {
  Entry& entry = *deferred->item;
  entry.place.deferred_ = false;
  insert(subqueue, entry);
  return subqueue.deferred_.erase(deferred);
}

}  // namespace heronvane::dispatch

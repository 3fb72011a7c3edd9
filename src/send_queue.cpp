#include "send_queue.hpp"

#include <algorithm>

namespace heronvane::dispatch {

SendQueue::SendQueue(const std::vector<std::vector<OrderPhase>>& groups) {
  for (const auto& phases : groups) {
    first_phase_.push_back(phase_queues_.size());
    for (std::size_t i = 0; i < phases.size(); i++) {
      PhaseQueue& phase_queue = phase_queues_.emplace_back();
      phase_queue.phase = phases[i];
      if (i + 1 < phases.size()) phase_queue.until = phases[i + 1].from;
    }
  }
}
SendQueue::~SendQueue() = default;

SendQueue::Key SendQueue::key_of(Entry& e) const {
  switch (phase_queues_[e.phase_].phase.order) {
    case OrderPhase::Order::by_id:
      return {0, e.id, &e};
    case OrderPhase::Order::earlier_objective:
      return {e.objective_at, e.id, &e};
    case OrderPhase::Order::later_objective:
      return {-e.objective_at, e.id, &e};
  }
  return {};
}

// Finds its phase_queue from the present one on.
void SendQueue::enter_phase(Entry& e, Microseconds at) {
  while (phase_queues_[e.phase_].until <= at - e.objective_at) e.phase_++;
  const Microseconds until = phase_queues_[e.phase_].until;
  e.phase_ends_at_ = until < kNever ? e.objective_at + until : kNever;
  if (e.phase_ends_at_ < kNever) phase_changes_.emplace(e.phase_ends_at_, &e);
}

void SendQueue::add(Entry& e, Microseconds at) {
  e.added_ = true;
  e.phase_ = first_phase_[e.group];
  enter_phase(e, at);
  phase_queues_[e.phase_].all.insert(key_of(e));
  size_++;
}

void SendQueue::remove(Entry& e) {
  if (!e.added_) return;
  if (e.subqueue_ != nullptr) dequeue(e);
  if (e.phase_ends_at_ < kNever) phase_changes_.erase({e.phase_ends_at_, &e});
  phase_queues_[e.phase_].all.erase(key_of(e));
  e.added_ = false;
  size_--;
}

void SendQueue::enqueue(Entry& e, const SubqueueKey& key) {
  auto& subqueues = by_destination_[key.destination];
  const auto found =
      std::find_if(subqueues.begin(), subqueues.end(), [&](const auto& l) { return l->key == key; });
  Subqueue* subqueue = found == subqueues.end() ? nullptr : found->get();
  if (subqueue == nullptr) {
    subqueue = subqueues.emplace_back(std::make_unique<Subqueue>()).get();
    subqueue->key = key;
    subqueue_count_++;
  }
  e.subqueue_ = subqueue;
  insert(*subqueue, e);
}

void SendQueue::advance_phases(Microseconds at) {
  while (!phase_changes_.empty() && phase_changes_.begin()->first <= at) {
    Entry& e = *phase_changes_.begin()->second;
    phase_changes_.erase(phase_changes_.begin());
    const bool in_subqueue = e.subqueue_ != nullptr && !e.deferred_;
    if (in_subqueue) erase(*e.subqueue_, e);
    phase_queues_[e.phase_].all.erase(key_of(e));
    enter_phase(e, at);
    phase_queues_[e.phase_].all.insert(key_of(e));
    if (in_subqueue) insert(*e.subqueue_, e);
  }
}

// ---- Lanes. ----
void SendQueue::insert(Subqueue& subqueue, Entry& e) {
  auto entries = std::find_if(subqueue.by_phase.begin(), subqueue.by_phase.end(),
                              [&](const PhaseEntries& b) { return b.phase_queue == e.phase_; });
  if (entries == subqueue.by_phase.end()) entries = subqueue.by_phase.insert(entries, {e.phase_, {}});
  const Key key = key_of(e);
  if (subqueue.state != State::blocked && (entries->keys.empty() || key < *entries->keys.begin())) {
    auto& heads = phase_queues_[e.phase_].heads[static_cast<int>(subqueue.state)];
    if (!entries->keys.empty()) heads.erase(*entries->keys.begin());
    heads.insert(key);
  }
  entries->keys.insert(key);
}

void SendQueue::erase(Subqueue& subqueue, Entry& e) {
  const auto entries = std::find_if(subqueue.by_phase.begin(), subqueue.by_phase.end(),
                                    [&](const PhaseEntries& b) { return b.phase_queue == e.phase_; });
  const auto at = entries->keys.find(key_of(e));
  const bool head = at == entries->keys.begin();
  if (head && subqueue.state != State::blocked)
    phase_queues_[e.phase_].heads[static_cast<int>(subqueue.state)].erase(*at);
  entries->keys.erase(at);
  if (entries->keys.empty()) {
    subqueue.by_phase.erase(entries);
  } else if (head && subqueue.state != State::blocked) {
    phase_queues_[e.phase_].heads[static_cast<int>(subqueue.state)].insert(*entries->keys.begin());
  }
}

// Its first ones among those of all subqueues in that state.
void SendQueue::show_heads(Subqueue& subqueue, bool shown) {
  if (subqueue.state == State::blocked) return;
  for (const PhaseEntries& entries : subqueue.by_phase) {
    auto& heads = phase_queues_[entries.phase_queue].heads[static_cast<int>(subqueue.state)];
    shown ? void(heads.insert(*entries.keys.begin())) : void(heads.erase(*entries.keys.begin()));
  }
}

void SendQueue::set_recheck(Subqueue& subqueue, Microseconds at) {
  if (subqueue.recheck_at < kNever) rechecks_.erase({subqueue.recheck_at, &subqueue});
  subqueue.recheck_at = at;
  if (at < kNever) rechecks_.emplace(at, &subqueue);
}

void SendQueue::set_state(Subqueue& subqueue, State state, Microseconds recheck_at) {
  if (subqueue.state != state) {
    show_heads(subqueue, false);
    subqueue.state = state;
    show_heads(subqueue, true);
  }
  // What was set deferred is looked at in its own time, too.
  if (!subqueue.deferred.empty()) recheck_at = std::min(recheck_at, subqueue.deferred.begin()->first);
  if (recheck_at != subqueue.recheck_at) set_recheck(subqueue, recheck_at);
}

void SendQueue::block(Subqueue& subqueue, Microseconds recheck_at) {
  set_state(subqueue, State::blocked, recheck_at);
}
void SendQueue::block_until_health_check(Subqueue& subqueue, Microseconds recheck_at) {
  set_state(subqueue, State::awaiting_health_check, recheck_at);
}

void SendQueue::defer(Entry& e, Microseconds until) {
  Subqueue& subqueue = *e.subqueue_;
  erase(subqueue, e);
  e.deferred_ = true, e.deferred_until_ = until;
  subqueue.deferred.emplace(until, &e);
  if (until < subqueue.recheck_at) set_recheck(subqueue, until);
}

void SendQueue::unblock_due(Microseconds now) {
  while (!rechecks_.empty() && rechecks_.begin()->first <= now) {
    Subqueue& subqueue = *rechecks_.begin()->second;
    while (!subqueue.deferred.empty() && subqueue.deferred.begin()->first <= now)
      undefer(subqueue, subqueue.deferred.begin());
    set_state(subqueue, State::eligible, kNever);
  }
}

SendQueue::Deferred::iterator SendQueue::undefer(Subqueue& subqueue, Deferred::iterator it) {
  Entry& e = *it->second;
  e.deferred_ = false;
  insert(subqueue, e);
  return subqueue.deferred.erase(it);
}

void SendQueue::unblock(DestinationId destination) {
  unblock_if(destination, [](const Entry&) { return true; });
}

void SendQueue::dequeue(Entry& e) {
  Subqueue& subqueue = *e.subqueue_;
  if (e.deferred_)
    subqueue.deferred.erase({e.deferred_until_, &e});
  else
    erase(subqueue, e);
  e.subqueue_ = nullptr, e.deferred_ = false;
  if (!subqueue.by_phase.empty() || !subqueue.deferred.empty()) return;
  set_recheck(subqueue, kNever);
  const auto of = by_destination_.find(subqueue.key.destination);
  std::erase_if(of->second, [&](const auto& l) { return l.get() == &subqueue; });
  subqueue_count_--;
  if (of->second.empty()) by_destination_.erase(of);
}

}  // namespace heronvane::dispatch

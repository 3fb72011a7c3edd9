// The messages that wait, in the order in which they are to go, found without walking them all.
//
// Each message that waits is listed, and may stand in a subqueue: subqueues hold those of one destination
// that pass or fail its gate alike. Which message comes first is asked of the subqueues that are open alone;
// a subqueue that was found shut is opened eligible_again by news of its destination or at a time told when
// it was shut. What is kept of a message costs the logarithm of how many there are, each time that something
// changes for it.
//
// No decision is made here: what is urgent, and whether a subqueue is shut, is the caller's.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "priority.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

class SendQueue {
 public:
  struct Subqueue;
  // A message's place here; the message owns it, and it must stay where it is while it is listed.
  struct Entry {
    MessageId id = 0;
    Microseconds objective_at = 0;
    std::size_t group = 0;

    bool added() const { return added_; }
    Subqueue* subqueue() const {
      return subqueue_;
    }  // which it is in or was set deferred from; null: in none

   private:
    friend class SendQueue;
    bool added_ = false, deferred_ = false;
    Subqueue* subqueue_ = nullptr;
    std::size_t phase_ = 0;
    Microseconds phase_ends_at_ = kNever, deferred_until_ = kNever;
  };
  struct SubqueueKey {
    DestinationId destination = 0;
    int zone = -1;                // only endpoints there may serve it; -1: all may
    bool non_idempotent = false;  // its messages may not run twice
    bool unattempted = false;     // of an earlier life, and no endpoint reached yet
    bool operator==(const SubqueueKey&) const = default;
  };

  // By group, the phases in the order of their times; the first begins before any time.
  explicit SendQueue(const std::vector<std::vector<OrderPhase>>& groups);
  ~SendQueue();

  // `at` is the moment that aims are compared with; it never goes back.
  void add(Entry& e, Microseconds at);
  // Out of all: its subqueue and the list.
  void remove(Entry& e);
  // Into a subqueue, which is opened if it is new. The entry must be listed and in none.
  void enqueue(Entry& e, const SubqueueKey& key);
  // Out of its subqueue, or of what was set deferred there; it stays listed.
  void dequeue(Entry& e);
  // Messages pass into their next phases.
  void advance_phases(Microseconds at);

  // Opens what was to be looked at by now; tells when the next is.
  void unblock_due(Microseconds now);
  Microseconds next_recheck() const { return rechecks_.empty() ? kNever : rechecks_.begin()->first; }
  // Opens all subqueues of a destination, with what was set deferred.
  void unblock(DestinationId destination);
  // Opens them with those alone of what was set deferred that `eligible_again(entry)` tells.
  template <class Again>
  void unblock_if(DestinationId destination, const Again& eligible_again) {
    const auto of = by_destination_.find(destination);
    if (of == by_destination_.end()) return;
    for (const auto& subqueue : of->second) {
      for (auto it = subqueue->deferred.begin(); it != subqueue->deferred.end();)
        it = eligible_again(*it->second) ? undefer(*subqueue, it) : std::next(it);
      set_state(*subqueue, State::eligible, kNever);
    }
  }
  // No message of the subqueue passes before `recheck_at`, or news.
  void block(Subqueue& subqueue, Microseconds recheck_at);
  // The same, but any may pass as soon as a trial call is allowed.
  void block_until_health_check(Subqueue& subqueue, Microseconds recheck_at);
  // This message alone does not pass before `until`, or news; its subqueue stays as it is.
  void defer(Entry& e, Microseconds until);

  std::size_t size() const { return size_; }
  std::size_t subqueues() const { return subqueue_count_; }

  // The most urgent message in open subqueues, of equal ones the lowest id; null where there is none. With
  // `trials` also in subqueues that await one. `urgency(entry)` must be in keeping with the phases.
  template <class Urgency>
  Entry* most_urgent(const Urgency& urgency, bool trials) const {
    Entry* first = nullptr;
    double most = 0;
    for (const PhaseQueue& phase_queue : phase_queues_)
      for (int state = 0; state <= int{trials}; state++)
        if (!phase_queue.heads[state].empty())
          better(*phase_queue.heads[state].begin()->entry, urgency, first, most);
    return first;
  }
  // The same in the open subqueues of one destination alone, but for those in `but`.
  template <class Urgency>
  Entry* most_urgent_for(DestinationId destination, const Urgency& urgency,
                         const std::vector<SubqueueKey>& but) const {
    Entry* first = nullptr;
    double most = 0;
    const auto of = by_destination_.find(destination);
    if (of == by_destination_.end()) return nullptr;
    for (const auto& subqueue : of->second) {
      if (subqueue->state != State::eligible || std::find(but.begin(), but.end(), subqueue->key) != but.end())
        continue;
      for (const PhaseEntries& entries : subqueue->by_phase)
        better(*entries.keys.begin()->entry, urgency, first, most);
    }
    return first;
  }
  // The least urgent of all that are listed, that one first, of equal ones the highest id; `most` at most.
  template <class Urgency>
  std::vector<Entry*> least_urgent(std::size_t most, const Urgency& urgency) const {
    std::vector<Entry*> found;
    std::vector<std::pair<Keys::const_reverse_iterator, Keys::const_reverse_iterator>> ends;
    for (const PhaseQueue& phase_queue : phase_queues_)
      if (!phase_queue.all.empty()) ends.emplace_back(phase_queue.all.rbegin(), phase_queue.all.rend());
    while (found.size() < most && !ends.empty()) {
      std::size_t last = 0;
      double lowest = urgency(*ends[0].first->entry);
      for (std::size_t i = 1; i < ends.size(); i++) {
        const Entry& e = *ends[i].first->entry;
        const double u = urgency(e);
        if (u < lowest || (u == lowest && e.id > ends[last].first->id)) last = i, lowest = u;
      }
      found.push_back(ends[last].first->entry);
      if (++ends[last].first == ends[last].second)
        ends.erase(ends.begin() + static_cast<std::ptrdiff_t>(last));
    }
    return found;
  }

 private:
  struct Key {
    Microseconds rank = 0;
    MessageId id = 0;
    Entry* entry = nullptr;
    bool operator<(const Key& o) const { return rank != o.rank ? rank < o.rank : id < o.id; }
  };
  using Keys = std::set<Key>;
  struct PhaseQueue {  // a phase of a group
    OrderPhase phase;
    Microseconds until = kNever;  // past the aim, when the next phase begins
    Keys all, heads[2];           // of the subqueues that are open, and that await a trial: their first ones
  };
  using Deferred = std::set<std::pair<Microseconds, Entry*>>;
  struct PhaseEntries {  // of a subqueue, what is in one phase_queue
    std::size_t phase_queue = 0;
    Keys keys;
  };
  enum class State { eligible = 0, awaiting_health_check = 1, blocked = 2 };

 public:
  struct Subqueue {
    SubqueueKey key;

   private:
    friend class SendQueue;
    State state = State::eligible;
    Microseconds recheck_at = kNever;
    std::vector<PhaseEntries> by_phase;  // empty ones are dropped
    Deferred deferred;
  };

 private:
  template <class Urgency>
  static void better(Entry& e, const Urgency& urgency, Entry*& first, double& most) {
    const double u = urgency(e);
    if (first == nullptr || u > most || (u == most && e.id < first->id)) first = &e, most = u;
  }
  Key key_of(Entry& e) const;
  Deferred::iterator undefer(Subqueue& subqueue, Deferred::iterator it);
  void enter_phase(Entry& e, Microseconds at);
  void insert(Subqueue& subqueue, Entry& e);
  void erase(Subqueue& subqueue, Entry& e);
  void show_heads(Subqueue& subqueue, bool shown);
  void set_state(Subqueue& subqueue, State state, Microseconds recheck_at);
  void set_recheck(Subqueue& subqueue, Microseconds at);

  std::vector<PhaseQueue> phase_queues_;
  std::vector<std::size_t> first_phase_;  // by group
  std::unordered_map<DestinationId, std::vector<std::unique_ptr<Subqueue>>> by_destination_;
  std::set<std::pair<Microseconds, Subqueue*>> rechecks_;
  std::set<std::pair<Microseconds, Entry*>> phase_changes_;
  std::size_t size_ = 0, subqueue_count_ = 0;
};

}  // namespace heronvane::dispatch

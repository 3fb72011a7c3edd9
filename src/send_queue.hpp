// The requests that wait to be sent, indexed so that the most urgent one is found without a walk over all of
// them.
//
// Each waiting request is added, and may be in one subqueue: a subqueue holds requests of one destination
// that are eligible or blocked together. The most urgent request is searched for among the subqueues that are
// not blocked; a blocked subqueue is rechecked when something happens at its destination, or at the time
// given when it was blocked. Each change costs O(log n) for n waiting requests.
//
// Makes no decision: the caller supplies the urgency of a request and says whether a subqueue is blocked.
//
// Owns the subqueues; the entries belong to the caller and must stay at their addresses while they are added.
// Not synchronised, used on the dispatcher's thread only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "priority.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The requests that are ready to be sent.
class SendQueue {
 public:
  class Subqueue;
  struct Entry;

  // The position of an entry in the queue. Read and written only by the queue.
  class Place {
    friend class SendQueue;
    friend struct Entry;
    bool added_ = false;
    bool deferred_ = false;
    Subqueue* subqueue_ = nullptr;
    std::size_t phase_ = 0;  // index of its phase queue
    Microseconds phase_ends_at_ = kNever;
    Microseconds deferred_until_ = kNever;
  };

  // The part of a request that the queue uses.
  struct Entry {
    MessageId id = 0;
    Microseconds objective_at = 0;  // the moment of its latency objective
    std::size_t group = 0;          // order group
    Place place;

    bool added() const { return place.added_; }
    // The subqueue that it is in or was deferred from; null where it is in none.
    Subqueue* subqueue() const { return place.subqueue_; }
  };

  // What requests of one destination must have in common to be eligible or blocked alike.
  struct SubqueueKey {
    static constexpr int kAnyZone = -1;

    DestinationId destination = 0;
    int zone = kAnyZone;          // only its endpoints may serve the requests
    bool non_idempotent = false;  // the requests must not be executed twice
    bool unattempted = false;     // recovered, and no attempt has reached an endpoint
    bool operator==(const SubqueueKey&) const = default;
  };

  // `phases_by_group`: the phases of each order group, ascending by time; the first begins at -kNever.
  explicit SendQueue(const std::vector<std::vector<OrderPhase>>& phases_by_group);
  SendQueue(const SendQueue&) = delete;
  SendQueue& operator=(const SendQueue&) = delete;
  ~SendQueue();

  // Adds an entry that is not added. `at`, here and in advance_phases, is the moment that latency objectives
  // are compared with; it never goes back.
  void add(Entry& entry, Microseconds at);
  // Takes the entry out of its subqueue and the queue. Does nothing where it is not added.
  void remove(Entry& entry);
  // Puts an added entry, which is in no subqueue, into the one with this key.
  void enqueue(Entry& entry, const SubqueueKey& key);
  // Takes the entry out of its subqueue, deferred or not; it stays added.
  void dequeue(Entry& entry);
  // Moves entries into the phases that have begun by `at`.
  void advance_phases(Microseconds at);

  // Makes all requests of the subqueue ineligible until `recheck_at` or until its destination is unblocked.
  void block(Subqueue& subqueue, Microseconds recheck_at);
  // As block(), but the requests become eligible as soon as a health check is allowed.
  void block_until_health_check(Subqueue& subqueue, Microseconds recheck_at);
  // Makes only this entry ineligible before `until`; the rest of its subqueue is not affected.
  void defer(Entry& entry, Microseconds until);
  // Makes eligible the subqueues and deferred entries whose recheck is due by `now`.
  void unblock_due(Microseconds now);
  // When unblock_due has something to do next; kNever where nothing is due by time alone.
  Microseconds next_recheck() const;
  // Makes all requests of the destination eligible, including deferred ones.
  void unblock(DestinationId destination);
  // Makes the destination's subqueues eligible, and those deferred entries for which `eligible_again(entry)`.
  template <class Predicate>
  void unblock_if(DestinationId destination, const Predicate& eligible_again);

  std::size_t size() const { return size_; }
  std::size_t subqueues() const { return subqueue_count_; }

  // In the functions below `urgency(entry)` is a double, and must order the entries of a group as their phase
  // does.

  // The most urgent eligible entry, of equally urgent ones that with the lowest id; null where there is none.
  // With `health_check_allowed`, entries that wait for a health check are eligible, too.
  template <class Urgency>
  Entry* most_urgent(const Urgency& urgency, bool health_check_allowed) const;
  // The same among the eligible subqueues of one destination, except those with a key in `excluded`.
  template <class Urgency>
  Entry* most_urgent_for(DestinationId destination, const Urgency& urgency,
                         const std::vector<SubqueueKey>& excluded) const;
  // At most `count` of all added entries, the least urgent first, of equally urgent ones the highest id
  // first.
  template <class Urgency>
  std::vector<Entry*> least_urgent(std::size_t count, const Urgency& urgency) const;

 private:
  // An entry's place in its phase queue.
  struct Key {
    Microseconds rank = 0;
    MessageId id = 0;
    Entry* entry = nullptr;
    bool operator<(const Key& other) const { return rank != other.rank ? rank < other.rank : id < other.id; }
  };
  using Keys = std::set<Key>;

  enum class Eligibility { eligible, awaiting_health_check, blocked };

  // All entries of one order group that are in one phase.
  struct PhaseQueue {
    OrderPhase phase;
    Microseconds until = kNever;  // past the latency objective, when the next phase begins
    Keys all;
    // The first entry of each subqueue that is in that state.
    Keys eligible_heads;
    Keys awaiting_heads;
  };

  // An entry or a subqueue, ordered by the moment at which it is due.
  template <class Item>
  struct Timed {
    Microseconds at = 0;
    Item* item = nullptr;
    bool operator<(const Timed& other) const {
      return at != other.at ? at < other.at : std::less<>()(item, other.item);
    }
  };
  using Deferred = std::set<Timed<Entry>>;

  // Keeps the more urgent of `best` and `candidate`.
  template <class Urgency>
  class MostUrgent {
   public:
    explicit MostUrgent(const Urgency& urgency) : urgency_(urgency) {}
    void consider(Entry& candidate);
    Entry* entry() const { return entry_; }

   private:
    const Urgency& urgency_;
    Entry* entry_ = nullptr;
    double highest_urgency_ = 0;
  };

  Key key_of(Entry& entry) const;
  Keys* heads_of(const Subqueue& subqueue, std::size_t phase);
  Deferred::iterator restore(Subqueue& subqueue, Deferred::iterator deferred);
  void enter_phase(Entry& entry, Microseconds at);
  void insert(Subqueue& subqueue, Entry& entry);
  void erase(Subqueue& subqueue, Entry& entry);
  void erase_heads(const Subqueue& subqueue);
  void insert_heads(const Subqueue& subqueue);
  void set_eligibility(Subqueue& subqueue, Eligibility eligibility, Microseconds recheck_at);
  void set_recheck(Subqueue& subqueue, Microseconds at);
  void drop_if_empty(Subqueue& subqueue);

  std::vector<PhaseQueue> phase_queues_;
  std::vector<std::size_t> first_phase_;  // by order group, the index of its first phase queue
  std::unordered_map<DestinationId, std::vector<std::unique_ptr<Subqueue>>> by_destination_;
  std::set<Timed<Subqueue>> rechecks_;
  std::set<Timed<Entry>> phase_changes_;
  std::size_t size_ = 0;
  std::size_t subqueue_count_ = 0;
};

class SendQueue::Subqueue {
 public:
  explicit Subqueue(const SubqueueKey& key) : key_(key) {}
  const SubqueueKey& key() const { return key_; }

 private:
  friend class SendQueue;
  struct PhaseEntries {
    std::size_t phase = 0;
    Keys keys;
  };

  SubqueueKey key_;
  Eligibility eligibility_ = Eligibility::eligible;
  Microseconds recheck_at_ = kNever;
  std::vector<PhaseEntries> phases_;  // those without entries are dropped
  Deferred deferred_;
};

template <class Predicate>
void SendQueue::unblock_if(DestinationId destination, const Predicate& eligible_again) {
  const auto found = by_destination_.find(destination);
  if (found == by_destination_.end()) return;
  for (const auto& subqueue : found->second) {
    auto deferred = subqueue->deferred_.begin();
    while (deferred != subqueue->deferred_.end()) {
      deferred = eligible_again(*deferred->item) ? restore(*subqueue, deferred) : std::next(deferred);
    }
    set_eligibility(*subqueue, Eligibility::eligible, kNever);
  }
}

template <class Urgency>
void SendQueue::MostUrgent<Urgency>::consider(Entry& candidate) {
  const double urgency = urgency_(candidate);
  const bool better = entry_ == nullptr || urgency > highest_urgency_ ||
                      (urgency == highest_urgency_ && candidate.id < entry_->id);
  if (!better) return;
  entry_ = &candidate;
  highest_urgency_ = urgency;
}

template <class Urgency>
SendQueue::Entry* SendQueue::most_urgent(const Urgency& urgency, bool health_check_allowed) const {
  MostUrgent<Urgency> best(urgency);
  for (const PhaseQueue& queue : phase_queues_) {
    if (!queue.eligible_heads.empty()) best.consider(*queue.eligible_heads.begin()->entry);
    if (health_check_allowed && !queue.awaiting_heads.empty())
      best.consider(*queue.awaiting_heads.begin()->entry);
  }
  return best.entry();
}

template <class Urgency>
SendQueue::Entry* SendQueue::most_urgent_for(DestinationId destination, const Urgency& urgency,
                                             const std::vector<SubqueueKey>& excluded) const {
  MostUrgent<Urgency> best(urgency);
  const auto found = by_destination_.find(destination);
  if (found == by_destination_.end()) return nullptr;
  for (const auto& subqueue : found->second) {
    if (subqueue->eligibility_ != Eligibility::eligible) continue;
    if (std::find(excluded.begin(), excluded.end(), subqueue->key_) != excluded.end()) continue;
    for (const auto& phase : subqueue->phases_) best.consider(*phase.keys.begin()->entry);
  }
  return best.entry();
}

template <class Urgency>
std::vector<SendQueue::Entry*> SendQueue::least_urgent(std::size_t count, const Urgency& urgency) const {
  struct Tail {  // the entries of one phase queue that were not taken yet
    Keys::const_reverse_iterator next;
    Keys::const_reverse_iterator end;
  };
  std::vector<Tail> tails;
  for (const PhaseQueue& queue : phase_queues_)
    if (!queue.all.empty()) tails.push_back({queue.all.rbegin(), queue.all.rend()});
  std::vector<Entry*> found;
  while (found.size() < count && !tails.empty()) {
    auto last = tails.begin();
    double lowest = urgency(*last->next->entry);
    for (auto tail = std::next(tails.begin()); tail != tails.end(); ++tail) {
      const Entry& entry = *tail->next->entry;
      const double candidate = urgency(entry);
      if (candidate > lowest || (candidate == lowest && entry.id <= last->next->id)) continue;
      last = tail;
      lowest = candidate;
    }
    found.push_back(last->next->entry);
    if (++last->next == last->end) tails.erase(last);
  }
  return found;
}

}  // namespace heronvane::dispatch

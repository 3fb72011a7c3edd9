// The messages that wait, in the order in which they are to go, found without walking them all.
//
// Each message that waits is listed, and may stand in a lane: lanes hold those of one destination that pass
// or fail its gate alike. Which message comes first is asked of the lanes that are open alone; a lane that
// was found shut is opened again by news of its destination or at a time told when it was shut. What is kept
// of a message costs the logarithm of how many there are, each time that something changes for it.
//
// No decision is made here: what is urgent, and whether a lane is shut, is the caller's.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// From so long past its aim on, messages of one group are urgent in this order: by id, or by their aims
// (equal ones by id).
struct Phase {
  enum class Order { by_id, earlier_aim, later_aim };
  Microseconds from = 0;
  Order order = Order::by_id;
};

class Waiting {
 public:
  struct Lane;
  // A message's place here; the message owns it, and it must stay where it is while it is listed.
  struct Entry {
    MessageId id = 0;
    Microseconds latency_objective = 0;
    std::size_t group = 0;

    bool listed() const { return listed_; }
    Lane* lane() const { return lane_; }  // which it is in or was set aside from; null: in none

   private:
    friend class Waiting;
    bool listed_ = false, aside_ = false;
    Lane* lane_ = nullptr;
    std::size_t cell_ = 0;
    Microseconds step_at_ = kNever, aside_until_ = kNever;
  };
  struct LaneKey {
    DestinationId destination = 0;
    int zone = -1;            // only endpoints there may serve it; -1: all may
    bool unrepeated = false;  // its messages may not run twice
    bool owed = false;        // of an earlier life, and no endpoint reached yet
    bool operator==(const LaneKey&) const = default;
  };

  // By group, the phases in the order of their times; the first begins before any time.
  explicit Waiting(const std::vector<std::vector<Phase>>& groups);
  ~Waiting();

  // `at` is the moment that aims are compared with; it never goes back.
  void list(Entry& e, Microseconds at);
  // Out of all: its lane and the list.
  void remove(Entry& e);
  // Into a lane, which is opened if it is new. The entry must be listed and in none.
  void enter(Entry& e, const LaneKey& key);
  // Out of its lane, or of what was set aside there; it stays listed.
  void leave(Entry& e);
  // Messages pass into their next phases.
  void advance(Microseconds at);

  // Opens what was to be looked at by now; tells when the next is.
  void open_due(Microseconds now);
  Microseconds next_look() const { return looks_.empty() ? kNever : looks_.begin()->first; }
  // Opens all lanes of a destination, with what was set aside.
  void news(DestinationId destination);
  // Opens them with those alone of what was set aside that `again(entry)` tells.
  template <class Again>
  void reopen(DestinationId destination, const Again& again) {
    const auto of = by_destination_.find(destination);
    if (of == by_destination_.end()) return;
    for (const auto& lane : of->second) {
      for (auto it = lane->aside.begin(); it != lane->aside.end();)
        it = again(*it->second) ? take_back(*lane, it) : std::next(it);
      become(*lane, State::open, kNever);
    }
  }
  // No message of the lane passes before `look_at`, or news.
  void shut(Lane& lane, Microseconds look_at);
  // The same, but any may pass as soon as a trial call is allowed.
  void await_trial(Lane& lane, Microseconds look_at);
  // This message alone does not pass before `until`, or news; its lane stays as it is.
  void set_aside(Entry& e, Microseconds until);

  std::size_t size() const { return size_; }
  std::size_t lanes() const { return lane_count_; }

  // The most urgent message in open lanes, of equal ones the lowest id; null where there is none. With
  // `trials` also in lanes that await one. `urgency(entry)` must be in keeping with the phases.
  template <class Urgency>
  Entry* best(const Urgency& urgency, bool trials) const {
    Entry* first = nullptr;
    double most = 0;
    for (const Cell& cell : cells_)
      for (int state = 0; state <= int{trials}; state++)
        if (!cell.heads[state].empty()) better(*cell.heads[state].begin()->entry, urgency, first, most);
    return first;
  }
  // The same in the open lanes of one destination alone, but for those in `but`.
  template <class Urgency>
  Entry* best_of(DestinationId destination, const Urgency& urgency, const std::vector<LaneKey>& but) const {
    Entry* first = nullptr;
    double most = 0;
    const auto of = by_destination_.find(destination);
    if (of == by_destination_.end()) return nullptr;
    for (const auto& lane : of->second) {
      if (lane->state != State::open || std::find(but.begin(), but.end(), lane->key) != but.end()) continue;
      for (const Bucket& bucket : lane->buckets) better(*bucket.keys.begin()->entry, urgency, first, most);
    }
    return first;
  }
  // The least urgent of all that are listed, that one first, of equal ones the highest id; `most` at most.
  template <class Urgency>
  std::vector<Entry*> least(std::size_t most, const Urgency& urgency) const {
    std::vector<Entry*> found;
    std::vector<std::pair<Keys::const_reverse_iterator, Keys::const_reverse_iterator>> ends;
    for (const Cell& cell : cells_)
      if (!cell.all.empty()) ends.emplace_back(cell.all.rbegin(), cell.all.rend());
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
  struct Cell {  // a phase of a group
    Phase phase;
    Microseconds until = kNever;  // past the aim, when the next phase begins
    Keys all, heads[2];           // of the lanes that are open, and that await a trial: their first ones
  };
  using Aside = std::set<std::pair<Microseconds, Entry*>>;
  struct Bucket {  // of a lane, what is in one cell
    std::size_t cell = 0;
    Keys keys;
  };
  enum class State { open = 0, trial = 1, shut = 2 };

 public:
  struct Lane {
    LaneKey key;

   private:
    friend class Waiting;
    State state = State::open;
    Microseconds look_at = kNever;
    std::vector<Bucket> buckets;  // empty ones are dropped
    Aside aside;
  };

 private:
  template <class Urgency>
  static void better(Entry& e, const Urgency& urgency, Entry*& first, double& most) {
    const double u = urgency(e);
    if (first == nullptr || u > most || (u == most && e.id < first->id)) first = &e, most = u;
  }
  Key key_of(Entry& e) const;
  Aside::iterator take_back(Lane& lane, Aside::iterator it);
  void step(Entry& e, Microseconds at);
  void put(Lane& lane, Entry& e);
  void take(Lane& lane, Entry& e);
  void show(Lane& lane, bool shown);
  void become(Lane& lane, State state, Microseconds look_at);
  void look(Lane& lane, Microseconds at);

  std::vector<Cell> cells_;
  std::vector<std::size_t> first_cell_;  // by group
  std::unordered_map<DestinationId, std::vector<std::unique_ptr<Lane>>> by_destination_;
  std::set<std::pair<Microseconds, Lane*>> looks_;
  std::set<std::pair<Microseconds, Entry*>> steps_;
  std::size_t size_ = 0, lane_count_ = 0;
};

}  // namespace heronvane::dispatch

#include "waiting.hpp"

#include <algorithm>

namespace heronvane::dispatch {

Waiting::Waiting(const std::vector<std::vector<Phase>>& groups) {
  for (const auto& phases : groups) {
    first_cell_.push_back(cells_.size());
    for (std::size_t i = 0; i < phases.size(); i++) {
      Cell& cell = cells_.emplace_back();
      cell.phase = phases[i];
      if (i + 1 < phases.size()) cell.until = phases[i + 1].from;
    }
  }
}
Waiting::~Waiting() = default;

Waiting::Key Waiting::key_of(Entry& e) const {
  switch (cells_[e.cell_].phase.order) {
    case Phase::Order::by_id:
      return {0, e.id, &e};
    case Phase::Order::earlier_aim:
      return {e.latency_objective, e.id, &e};
    case Phase::Order::later_aim:
      return {-e.latency_objective, e.id, &e};
  }
  return {};
}

// Finds its cell from the present one on.
void Waiting::step(Entry& e, Microseconds at) {
  while (cells_[e.cell_].until <= at - e.latency_objective) e.cell_++;
  const Microseconds until = cells_[e.cell_].until;
  e.step_at_ = until < kNever ? e.latency_objective + until : kNever;
  if (e.step_at_ < kNever) steps_.emplace(e.step_at_, &e);
}

void Waiting::list(Entry& e, Microseconds at) {
  e.listed_ = true;
  e.cell_ = first_cell_[e.group];
  step(e, at);
  cells_[e.cell_].all.insert(key_of(e));
  size_++;
}

void Waiting::remove(Entry& e) {
  if (!e.listed_) return;
  if (e.lane_ != nullptr) leave(e);
  if (e.step_at_ < kNever) steps_.erase({e.step_at_, &e});
  cells_[e.cell_].all.erase(key_of(e));
  e.listed_ = false;
  size_--;
}

void Waiting::enter(Entry& e, const LaneKey& key) {
  auto& lanes = by_destination_[key.destination];
  const auto found = std::find_if(lanes.begin(), lanes.end(), [&](const auto& l) { return l->key == key; });
  Lane* lane = found == lanes.end() ? nullptr : found->get();
  if (lane == nullptr) {
    lane = lanes.emplace_back(std::make_unique<Lane>()).get();
    lane->key = key;
    lane_count_++;
  }
  e.lane_ = lane;
  put(*lane, e);
}

void Waiting::advance(Microseconds at) {
  while (!steps_.empty() && steps_.begin()->first <= at) {
    Entry& e = *steps_.begin()->second;
    steps_.erase(steps_.begin());
    const bool in_lane = e.lane_ != nullptr && !e.aside_;
    if (in_lane) take(*e.lane_, e);
    cells_[e.cell_].all.erase(key_of(e));
    step(e, at);
    cells_[e.cell_].all.insert(key_of(e));
    if (in_lane) put(*e.lane_, e);
  }
}

// ---- Lanes. ----
void Waiting::put(Lane& lane, Entry& e) {
  auto bucket = std::find_if(lane.buckets.begin(), lane.buckets.end(),
                             [&](const Bucket& b) { return b.cell == e.cell_; });
  if (bucket == lane.buckets.end()) bucket = lane.buckets.insert(bucket, {e.cell_, {}});
  const Key key = key_of(e);
  if (lane.state != State::shut && (bucket->keys.empty() || key < *bucket->keys.begin())) {
    auto& heads = cells_[e.cell_].heads[static_cast<int>(lane.state)];
    if (!bucket->keys.empty()) heads.erase(*bucket->keys.begin());
    heads.insert(key);
  }
  bucket->keys.insert(key);
}

void Waiting::take(Lane& lane, Entry& e) {
  const auto bucket = std::find_if(lane.buckets.begin(), lane.buckets.end(),
                                   [&](const Bucket& b) { return b.cell == e.cell_; });
  const auto at = bucket->keys.find(key_of(e));
  const bool head = at == bucket->keys.begin();
  if (head && lane.state != State::shut) cells_[e.cell_].heads[static_cast<int>(lane.state)].erase(*at);
  bucket->keys.erase(at);
  if (bucket->keys.empty()) {
    lane.buckets.erase(bucket);
  } else if (head && lane.state != State::shut) {
    cells_[e.cell_].heads[static_cast<int>(lane.state)].insert(*bucket->keys.begin());
  }
}

// Its first ones among those of all lanes in that state.
void Waiting::show(Lane& lane, bool shown) {
  if (lane.state == State::shut) return;
  for (const Bucket& bucket : lane.buckets) {
    auto& heads = cells_[bucket.cell].heads[static_cast<int>(lane.state)];
    shown ? void(heads.insert(*bucket.keys.begin())) : void(heads.erase(*bucket.keys.begin()));
  }
}

void Waiting::look(Lane& lane, Microseconds at) {
  if (lane.look_at < kNever) looks_.erase({lane.look_at, &lane});
  lane.look_at = at;
  if (at < kNever) looks_.emplace(at, &lane);
}

void Waiting::become(Lane& lane, State state, Microseconds look_at) {
  if (lane.state != state) {
    show(lane, false);
    lane.state = state;
    show(lane, true);
  }
  // What was set aside is looked at in its own time, too.
  if (!lane.aside.empty()) look_at = std::min(look_at, lane.aside.begin()->first);
  if (look_at != lane.look_at) look(lane, look_at);
}

void Waiting::shut(Lane& lane, Microseconds look_at) { become(lane, State::shut, look_at); }
void Waiting::await_trial(Lane& lane, Microseconds look_at) { become(lane, State::trial, look_at); }

void Waiting::set_aside(Entry& e, Microseconds until) {
  Lane& lane = *e.lane_;
  take(lane, e);
  e.aside_ = true, e.aside_until_ = until;
  lane.aside.emplace(until, &e);
  if (until < lane.look_at) look(lane, until);
}

void Waiting::open_due(Microseconds now) {
  while (!looks_.empty() && looks_.begin()->first <= now) {
    Lane& lane = *looks_.begin()->second;
    while (!lane.aside.empty() && lane.aside.begin()->first <= now) take_back(lane, lane.aside.begin());
    become(lane, State::open, kNever);
  }
}

Waiting::Aside::iterator Waiting::take_back(Lane& lane, Aside::iterator it) {
  Entry& e = *it->second;
  e.aside_ = false;
  put(lane, e);
  return lane.aside.erase(it);
}

void Waiting::news(DestinationId destination) {
  reopen(destination, [](const Entry&) { return true; });
}

void Waiting::leave(Entry& e) {
  Lane& lane = *e.lane_;
  if (e.aside_)
    lane.aside.erase({e.aside_until_, &e});
  else
    take(lane, e);
  e.lane_ = nullptr, e.aside_ = false;
  if (!lane.buckets.empty() || !lane.aside.empty()) return;
  look(lane, kNever);
  const auto of = by_destination_.find(lane.key.destination);
  std::erase_if(of->second, [&](const auto& l) { return l.get() == &lane; });
  lane_count_--;
  if (of->second.empty()) by_destination_.erase(of);
}

}  // namespace heronvane::dispatch

#include "destination.hpp"

#include <algorithm>
#include <array>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace heronvane::lab {

namespace {

constexpr double kBurstFor = 0.25;  // seconds of the limit that may come at once
constexpr Microseconds kRefusalPause = 2'000;

}  // namespace

Destination::Destination(const Destinations& options, const PlannedDestination& planned, std::uint64_t seed)
    : options_(options),
      planned_(planned),
      random_(seed),
      lanes_(planned.routes_apart ? std::max<std::size_t>(1, planned.endpoints.size()) : 1) {
  for (auto& lane : lanes_) lane.tokens = burst(lane, 0);
}

double Destination::warmth(Microseconds now, const Lane& lane) const {
  if (!lane.returned) return 1;
  const double passed = static_cast<double>(std::max<Microseconds>(0, now - *lane.returned));
  return std::min(
      1.0, options_.cold_from + (1 - options_.cold_from) * passed / static_cast<double>(options_.cold));
}

double Destination::burst(const Lane& lane, Microseconds now) const {
  return std::max(1.0, limit_now() * warmth(now, lane) * kBurstFor);
}

Outage Destination::state(Microseconds now, Index lane) {
  auto& l = lane_of(lane);
  settle(now, l);
  return l.fallen_until ? Outage::shut : l.outage();
}

double Destination::capacity(Microseconds now, Index lane) const {
  const auto& l = lane_of(lane);
  if (l.outage() != Outage::none || (l.fallen_until && now < *l.fallen_until)) return 0;
  return limit_now() * warmth(now, l);
}

double Destination::capacity(Microseconds now) const {
  double sum = 0;
  for (Index lane = 0; lane < lanes_.size(); lane++) sum += capacity(now, lane);
  return sum;
}

void Destination::settle(Microseconds now, Lane& lane) {
  if (!lane.fallen_until || now < *lane.fallen_until) return;
  lane.returned = *lane.fallen_until;
  lane.fallen_until.reset();
  lane.recent.clear();
}

void Destination::outage(Microseconds now, Outage kind, std::optional<Index> lane) {
  for (Index i = 0; i < lanes_.size(); i++) {
    if (lane && *lane != i) continue;
    auto& l = lanes_[i];
    settle(now, l);
    if (l.outages.empty()) l.saw.clear();
    l.outages.push_back(kind);
    l.recent.clear();
  }
}

void Destination::over(Microseconds now, Outage kind, std::optional<Index> lane) {
  for (Index i = 0; i < lanes_.size(); i++) {
    if (lane && *lane != i) continue;
    auto& l = lanes_[i];
    const auto one = std::find(l.outages.begin(), l.outages.end(), kind);
    if (one == l.outages.end()) continue;
    l.outages.erase(one);
    if (!l.outages.empty()) continue;
    l.returned = now;
    l.recent.clear();
    l.tokens = 0, l.filled = now;
  }
}

void Destination::saw_failure(Index relay, Index lane) { lane_of(lane).saw.insert(relay); }

void Destination::pushed(Microseconds now, Lane& lane, Index relay, double messages) {
  if (!lane.returned || warmth(now, lane) >= 1) return lane.recent.clear();
  lane.recent.push_back({now, relay, messages});
  while (!lane.recent.empty() && lane.recent.front().at < now - options_.overload_for)
    lane.recent.pop_front();
  // The load stands over the whole time: counted from a return that long ago at the least, and in each part
  // of it.
  if (now - *lane.returned < options_.overload_for) return;
  constexpr std::size_t kParts = 4;
  const Microseconds part =
      std::max<Microseconds>(1, options_.overload_for / static_cast<Microseconds>(kParts));
  std::array<double, kParts> by_part{};
  double sent = 0, saw = 0, took = 0;
  for (const auto& s : lane.recent) {
    sent += s.messages, saw += lane.saw.count(s.relay) > 0 ? s.messages : 0;
    by_part[std::min(kParts - 1, static_cast<std::size_t>((now - s.at) / part))] += s.messages;
  }
  for (std::size_t i = 0; i < kParts; i++) {
    const Microseconds middle = now - part * static_cast<Microseconds>(i) - part / 2;
    // Two messages a second at the least, so that a small one is not knocked over by single calls.
    const double could = std::max(limit_now() * warmth(middle, lane), 2.0) * static_cast<double>(part) / 1e6;
    if (by_part[i] <= options_.fall_multiple * could) return;
    took += could;
  }
  falls_.push_back({now, sent, saw, took});
  lane.fallen_until = now + options_.down_for;
  lane.recent.clear();
}

standins::Fate Destination::call(Microseconds now, Index lane, Index relay, std::size_t messages) {
  auto& l = lane_of(lane);
  settle(now, l);
  const auto count = static_cast<double>(messages);
  const double chance = boost::random::uniform_real_distribution<double>(0, 1)(random_);
  const Outage kind = l.fallen_until ? Outage::shut : l.outage();
  if (kind != Outage::none) l.saw.insert(relay);
  switch (kind) {
    case Outage::none:
      break;
    case Outage::down:
      return standins::fate::Reset{0, false};
    case Outage::silent:
      return standins::fate::Silent{draw_time(), chance < 0.5};
    case Outage::shut:
      return standins::fate::Refuse{};
    case Outage::failing:
      return standins::fate::Fail{draw_time(), chance < 0.5};
  }
  pushed(now, l, relay, count);
  if (l.fallen_until) return standins::fate::Refuse{};
  const double most = burst(l, now);
  l.tokens = std::min(most, l.tokens + capacity(now, lane) * static_cast<double>(now - l.filled) / 1e6);
  l.filled = now;
  // A call with more than may ever come at once goes through when all is there.
  const double price = std::min(most, count);
  if (l.tokens < price) {
    l.tokens = std::max(-most, l.tokens - price * options_.refused_price);
    if (planned_.told_waits) return standins::fate::Wait{options_.wait + kRefusalPause};
    return standins::fate::Refuse{};
  }
  l.tokens -= price;
  return standins::fate::Serve{draw_time()};
}

Microseconds Destination::draw_time() {
  boost::random::normal_distribution<double> normal(0, options_.spread);
  return static_cast<Microseconds>(static_cast<double>(options_.latency) * std::exp(normal(random_)));
}

std::vector<Fall> Destination::take_falls() { return std::exchange(falls_, {}); }

}  // namespace heronvane::lab

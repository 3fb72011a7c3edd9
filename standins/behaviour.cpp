#include "behaviour.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>
#include <string>

namespace heronvane::standins {

namespace {

void check(bool valid, const char* requirement) {
  if (!valid) throw std::invalid_argument(std::string("habits: ") + requirement);
}
double burst(const Habits& h) { return std::max(1.0, h.limit_per_s / 4); }

}  // namespace

Microseconds steady_time() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Microseconds RecurringPeriod::remaining(Microseconds since_start) const {
  if (interval <= 0 || since_start < interval) return 0;
  return std::max<Microseconds>(0, duration - since_start % interval);
}

Behaviour::Behaviour(const Habits& habits, std::uint64_t seed, Microseconds start)
    : habits_(habits), random_(seed), start_(start), refilled_at_(start), tokens_(burst(habits)) {
  check(habits.median >= 0, "median must not be below 0");
  check(habits.spread >= 0 && habits.spread < 5, "spread must be at least 0 and below 5");
  check(habits.limit_per_s >= 0, "limit_per_s must not be below 0");
  for (const double share : {habits.error_share, habits.reset_share})
    check(share >= 0 && share <= 1, "error_share and reset_share must be 0 to 1");
  for (const RecurringPeriod& s : {habits.silent, habits.wait})
    check(s.interval >= 0 && s.duration >= 0 && (s.interval == 0 || s.duration < s.interval),
          "the periods silent and wait must be shorter than their intervals");
}

Fate Behaviour::decide(Microseconds now, std::size_t messages) {
  if (const Microseconds remaining = habits_.wait.remaining(now - start_); remaining > 0)
    return fate::Wait{remaining};
  if (silent(now)) return fate::Silent{draw_time(), draw_bool(0.5)};
  if (habits_.limit_per_s > 0) {
    const auto elapsed = static_cast<double>(std::max<Microseconds>(0, now - refilled_at_));
    tokens_ = std::min(burst(habits_), tokens_ + elapsed * habits_.limit_per_s / 1e6);
    refilled_at_ = std::max(refilled_at_, now);
    // A call larger than the burst is let through when the token bucket is full.
    const double cost = std::min(burst(habits_), static_cast<double>(messages));
    if (tokens_ < cost) return fate::Refuse{};
    tokens_ -= cost;
  }
  const Microseconds latency = draw_time();
  if (draw_bool(habits_.error_share)) return fate::Fail{latency, draw_bool(0.5)};
  if (draw_bool(habits_.reset_share)) return fate::Reset{latency, draw_bool(0.5)};
  return fate::Serve{latency};
}

Microseconds Behaviour::draw_time() {
  if (habits_.median == 0) return 0;
  std::normal_distribution<double> normal;
  return static_cast<Microseconds>(static_cast<double>(habits_.median) *
                                   std::exp(habits_.spread * normal(random_)));
}

bool Behaviour::draw_bool(double share) {
  return share > 0 && std::uniform_real_distribution<double>()(random_) < share;
}

}  // namespace heronvane::standins

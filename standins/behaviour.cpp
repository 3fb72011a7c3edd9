#include "behaviour.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>
#include <string>

namespace heronvane::standins {

namespace {

void check(bool fits, const char* what) {
  if (!fits) throw std::invalid_argument(std::string("habits: ") + what);
}
double burst(const Habits& h) { return std::max(1.0, h.limit_per_s / 4); }

}  // namespace

Microseconds steady_time() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Microseconds Spell::left(Microseconds since_start) const {
  if (every <= 0 || since_start < every) return 0;
  return std::max<Microseconds>(0, lasts - since_start % every);
}

Behaviour::Behaviour(const Habits& habits, std::uint64_t seed, Microseconds start)
    : habits_(habits), random_(seed), start_(start), filled_at_(start), tokens_(burst(habits)) {
  check(habits.median >= 0, "median below 0");
  check(habits.spread >= 0 && habits.spread < 5, "spread must be 0 to 5");
  check(habits.limit_per_s >= 0, "limit_per_s below 0");
  for (const double share : {habits.error_share, habits.reset_share})
    check(share >= 0 && share <= 1, "a share must be 0 to 1");
  for (const Spell& s : {habits.silent, habits.wait})
    check(s.every >= 0 && s.lasts >= 0 && (s.every == 0 || s.lasts < s.every),
          "a spell must end before the next");
}

Fate Behaviour::call(Microseconds now, std::size_t messages) {
  if (const Microseconds left = habits_.wait.left(now - start_); left > 0) return fate::Wait{left};
  if (silent(now)) return fate::Silent{draw_time(), drawn(0.5)};
  if (habits_.limit_per_s > 0) {
    const auto passed = static_cast<double>(std::max<Microseconds>(0, now - filled_at_));
    tokens_ = std::min(burst(habits_), tokens_ + passed * habits_.limit_per_s / 1e6);
    filled_at_ = std::max(filled_at_, now);
    // A call with more than may ever come at once goes through when all is there.
    const double price = std::min(burst(habits_), static_cast<double>(messages));
    if (tokens_ < price) return fate::Refuse{};
    tokens_ -= price;
  }
  const Microseconds after = draw_time();
  if (drawn(habits_.error_share)) return fate::Fail{after, drawn(0.5)};
  if (drawn(habits_.reset_share)) return fate::Reset{after, drawn(0.5)};
  return fate::Serve{after};
}

Microseconds Behaviour::draw_time() {
  if (habits_.median == 0) return 0;
  std::normal_distribution<double> normal;
  return static_cast<Microseconds>(static_cast<double>(habits_.median) *
                                   std::exp(habits_.spread * normal(random_)));
}

bool Behaviour::drawn(double share) {
  return share > 0 && std::uniform_real_distribution<double>()(random_) < share;
}

}  // namespace heronvane::standins

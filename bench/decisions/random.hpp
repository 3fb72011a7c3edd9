// Draws that are the same with every standard library: the engine is the standard's, the distributions are
// ours.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace decisions {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t bits() { return engine_(); }
  // From `least` to `most`, both included.
  std::int64_t between(std::int64_t least, std::int64_t most) {
    if (most <= least) return least;
    return least + static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(most - least + 1));
  }
  // In [0, 1).
  double share() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  bool chance(double probability) { return share() < probability; }
  double real(double least, double most) { return least + (most - least) * share(); }
  template <class T>
  T one_of(const std::vector<T>& choices) {
    return choices[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(choices.size()) - 1))];
  }
  // Skewed to small values: the least of two draws.
  std::int64_t skewed(std::int64_t least, std::int64_t most) {
    const std::int64_t first = between(least, most);
    const std::int64_t second = between(least, most);
    return first < second ? first : second;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace decisions

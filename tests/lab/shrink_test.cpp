#include "lab/shrink.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace heronvane::lab {
namespace {

// Of 40 faults, those in `needed` together make it fail.
std::vector<std::size_t> left_of(const std::set<std::size_t>& needed, std::size_t& runs) {
  std::vector<std::size_t> all(40);
  for (std::size_t i = 0; i < all.size(); i++) all[i] = i;
  return shrink(all, [&](const std::vector<std::size_t>& kept) {
    runs++;
    return std::includes(kept.begin(), kept.end(), needed.begin(), needed.end());
  });
}

TEST(Shrink, LeavesWhatIsNeeded) {
  for (const auto& needed : std::vector<std::set<std::size_t>>{{7}, {0, 39}, {3, 4, 20, 31}}) {
    std::size_t runs = 0;
    const auto left = left_of(needed, runs);
    EXPECT_EQ(std::set<std::size_t>(left.begin(), left.end()), needed);
    EXPECT_LT(runs, 120u);
  }
}

TEST(Shrink, KeepsAllWhereAllAreNeeded) {
  std::set<std::size_t> all;
  for (std::size_t i = 0; i < 40; i++) all.insert(i);
  std::size_t runs = 0;
  EXPECT_EQ(left_of(all, runs).size(), 40u);
}

}  // namespace
}  // namespace heronvane::lab

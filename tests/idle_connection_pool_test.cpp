// The kept of idle connections: the most recently used reusable one is taken, the longest idle one is dropped
// first.
#include "backends/idle_connection_pool.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

namespace heronvane {
namespace {

using Kept = IdleConnectionPool<int>;

std::shared_ptr<int> connection(int n) { return std::make_shared<int>(n); }

TEST(IdleConnectionPool, TheMostRecentlyUsedReusableConnectionIsTaken) {
  Kept kept;
  kept.put("a", connection(1), 10), kept.put("a", connection(2), 20), kept.put("a", connection(3), 30);
  EXPECT_EQ(*kept.take("a", 25), 2);
  EXPECT_EQ(*kept.take("a", 25), 1);
  EXPECT_EQ(kept.take("a", 25), nullptr);
  EXPECT_EQ(kept.longest_idle_since("a"), 30);
  EXPECT_EQ(kept.take("b", 100), nullptr);
  EXPECT_EQ(kept.longest_idle_since("b"), -1);
}

TEST(IdleConnectionPool, TheLongestIdleConnectionOfAllEndpointsIsDroppedFirst) {
  Kept kept;
  kept.put("a", connection(1), 10), kept.put("b", connection(2), 20), kept.put("a", connection(3), 30);
  EXPECT_TRUE(kept.drop_longest_idle());
  EXPECT_EQ(kept.longest_idle_since("a"), 30);
  EXPECT_EQ(kept.drop_idle_since(20), 1u);
  EXPECT_EQ(kept.longest_idle_since("b"), -1);
  EXPECT_EQ(kept.oldest(), 30);
  EXPECT_EQ(kept.drop_all("a"), 1u);
  EXPECT_FALSE(kept.drop_longest_idle());
}

TEST(IdleConnectionPool, RandomOperationsAgreeWithAPlainList) {
  std::mt19937_64 random(1);
  Kept kept;
  struct One {
    std::string endpoint;
    std::shared_ptr<int> connection;
    heronvane::dispatch::Microseconds used;
  };
  std::vector<One> plain;  // longest idle first
  for (heronvane::dispatch::Microseconds now = 1; now < 20'000; now++) {
    const std::string endpoint = "e" + std::to_string(random() % 20);
    const auto of = [&](const One& o) { return o.endpoint == endpoint; };
    switch (random() % 6) {
      case 0:
      case 1:
        plain.push_back({endpoint, connection(static_cast<int>(now)), now});
        kept.put(endpoint, plain.back().connection, now);
        break;
      case 2: {
        const auto until = now - static_cast<heronvane::dispatch::Microseconds>(random() % 40);
        const auto found = std::find_if(plain.rbegin(), plain.rend(),
                                        [&](const One& o) { return of(o) && o.used <= until; });
        const auto taken = kept.take(endpoint, until);
        ASSERT_EQ(taken, found == plain.rend() ? nullptr : found->connection);
        if (taken) plain.erase(std::next(found).base());
        break;
      }
      case 3:
        if (plain.empty()) break;
        ASSERT_TRUE(kept.drop_longest_idle());
        plain.erase(plain.begin());
        break;
      case 4: {
        const auto found = std::find_if(plain.begin(), plain.end(), of);
        if (found == plain.end()) break;
        kept.drop(endpoint, found->connection.get());
        plain.erase(found);
        break;
      }
      default:
        if (random() % 10 == 0) {
          ASSERT_EQ(kept.drop_all(endpoint), std::erase_if(plain, of));
        }
        if (random() % 10 == 0) {
          const auto until = now - 30;
          ASSERT_EQ(kept.drop_idle_since(until),
                    std::erase_if(plain, [&](auto& o) { return o.used <= until; }));
        }
    }
    ASSERT_EQ(kept.size(), plain.size());
  }
}

}  // namespace
}  // namespace heronvane

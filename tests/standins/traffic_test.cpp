#include "standins/traffic.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace heronvane::standins {
namespace {

TrafficPlan plan() {
  TrafficPlan p;
  p.per_s = 150;
  p.classes = {{"load-status", 3, 1'500'000}, {"pay-and-order", 1, 2'500'000}};
  p.tenants = {"north", "south"};
  p.destinations = {{1, 9}, {2, 1}};
  return p;
}

TEST(TrafficTest, EqualSeedsGiveEqualTraffic) {
  Traffic a(plan(), 5), b(plan(), 5), other(plan(), 6);
  for (int i = 0; i < 100; i++) {
    EXPECT_EQ(a.gap(), b.gap());
    const auto x = a.draw(), y = b.draw();
    EXPECT_EQ(x.id, y.id);
    EXPECT_EQ(x.destination, y.destination);
    EXPECT_EQ(x.message_class, y.message_class);
    EXPECT_NE(x.id, other.draw().id);
  }
}

TEST(TrafficTest, RateAndSharesFollowThePlan) {
  Traffic t(plan(), 1);
  std::map<std::string, int> classes, tenants;
  std::map<std::int64_t, int> destinations;
  std::set<std::string> ids;
  Microseconds elapsed = 0;
  for (int i = 0; i < 10'000; i++) {
    elapsed += t.gap();
    const auto m = t.draw();
    classes[m.message_class]++, tenants[m.tenant]++, destinations[m.destination]++;
    EXPECT_EQ(m.deadline, m.message_class == "load-status" ? 1'500'000 : 2'500'000);
    ids.insert(m.id);
  }
  EXPECT_NEAR(static_cast<double>(elapsed) / 1e6, 10'000 / 150.0, 4);
  EXPECT_NEAR(classes["load-status"], 7'500, 300);
  EXPECT_NEAR(tenants["north"], 5'000, 300);
  EXPECT_NEAR(destinations[1], 9'000, 200);
  EXPECT_EQ(ids.size(), 10'000u);
}

TEST(TrafficTest, RejectsAPlanWithoutClassesOrRate) {
  EXPECT_THROW(Traffic(TrafficPlan{}, 1), std::invalid_argument);
  auto p = plan();
  p.per_s = 0;
  EXPECT_THROW(Traffic(p, 1), std::invalid_argument);
}

}  // namespace
}  // namespace heronvane::standins

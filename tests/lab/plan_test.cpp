// What is drawn from a seed.
#include "lab/plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace heronvane::lab {
namespace {

const std::string kText = R"(
title = "t"
length = "20s"
[fleet]
relays = 30
zones = ["a", "b", "c"]
[traffic]
per_s = 300
uneven = 1.0
[destinations]
count = 8
endpoints = [1, 4]
headroom = [1.2, 2.0]
[[fault]]
at = "2s"
kill = "relays:70%"
every = "3s"
times = 3
jitter = "1s"
[[fault]]
at = "5s"
cut = ["zone:a", "zone:b platform"]
for = "1s"
)";

TEST(Plans, EqualSeedsGiveEqualPlans) {
  const auto x = read_experiment(kText, "x");
  const auto a = make_plan(x, 7), b = make_plan(x, 7), c = make_plan(x, 8);
  ASSERT_EQ(a.strikes.size(), 4u);
  for (std::size_t i = 0; i < a.strikes.size(); i++) {
    EXPECT_EQ(a.strikes[i].at, b.strikes[i].at);
    EXPECT_EQ(a.strikes[i].strikes.relays, b.strikes[i].strikes.relays);
  }
  EXPECT_EQ(a.relays[3].per_s, b.relays[3].per_s);
  EXPECT_NE(a.relays[3].per_s, c.relays[3].per_s);
  EXPECT_NE(a.strikes[0].strikes.relays, c.strikes[0].strikes.relays);
}

TEST(Plans, KeepTheirBounds) {
  const auto x = read_experiment(kText, "x");
  for (std::uint64_t seed = 1; seed <= 200; seed++) {
    const auto p = make_plan(x, seed);
    double sum = 0;
    for (const auto& r : p.relays) sum += r.per_s;
    EXPECT_NEAR(sum, 300, 1e-6);
    for (const auto& d : p.destinations) {
      EXPECT_GE(d.endpoints.size(), 1u);
      EXPECT_LE(d.endpoints.size(), 4u);
      EXPECT_GE(d.limit_per_s, std::max(3.0, 1.2 * d.per_s) - 1e-9);
    }
    for (std::size_t i = 1; i < p.strikes.size(); i++) EXPECT_LE(p.strikes[i - 1].at, p.strikes[i].at);
    for (const auto& s : p.strikes) {
      EXPECT_TRUE(std::is_sorted(s.strikes.relays.begin(), s.strikes.relays.end()));
      EXPECT_EQ(s.strikes.relays.size(), s.kind == FaultKind::kill ? 21u : 10u);
    }
  }
}

TEST(Plans, AZoneIsItsRelaysAndEndpoints) {
  const auto x = read_experiment(kText, "x");
  const auto p = make_plan(x, 1);
  const auto cut = std::find_if(p.strikes.begin(), p.strikes.end(),
                                [](const Strike& s) { return s.kind == FaultKind::cut; });
  ASSERT_NE(cut, p.strikes.end());
  EXPECT_EQ(cut->strikes.relays.size(), 10u);
  for (const Index r : cut->strikes.relays) EXPECT_EQ(p.relays[r].zone, 0);
  for (const Index e : cut->strikes.endpoints) EXPECT_EQ(p.endpoints[e].zone, 0);
  EXPECT_TRUE(cut->others.platform);
  EXPECT_FALSE(cut->strikes.platform);
}

// So that a shrunk run strikes the same parties.
TEST(Plans, StrikesThatAreLeftStayAsTheyWere) {
  const auto x = read_experiment(kText, "x");
  const auto whole = make_plan(x, 3);
  const auto part = with_strikes(make_plan(x, 3), {1, 3});
  ASSERT_EQ(part.strikes.size(), 2u);
  EXPECT_EQ(part.strikes[0].strikes.relays, whole.strikes[1].strikes.relays);
  EXPECT_EQ(part.strikes[1].at, whole.strikes[3].at);
}

TEST(Plans, WhatReplacesAnEndpointIsOfItsDestination) {
  const auto x = read_experiment(kText + "[[fault]]\nat = \"1s\"\nreplace = \"endpoints:50%\"\n", "x");
  const auto p = make_plan(x, 1);
  const auto replace = std::find_if(p.strikes.begin(), p.strikes.end(),
                                    [](const Strike& s) { return s.kind == FaultKind::replace; });
  ASSERT_EQ(p.endpoints.size(), p.endpoints_at_start + replace->strikes.endpoints.size());
  for (std::size_t i = 0; i < replace->strikes.endpoints.size(); i++) {
    const auto& fresh = p.endpoints[p.endpoints_at_start + i];
    EXPECT_EQ(fresh.destination, p.endpoints[replace->strikes.endpoints[i]].destination);
  }
}

}  // namespace
}  // namespace heronvane::lab

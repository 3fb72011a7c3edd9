// The platform's list and its turn, on a clock of its own.
#include "lab/catalog.hpp"

#include <gtest/gtest.h>

namespace heronvane::lab {
namespace {

constexpr Microseconds kS = 1'000'000;

class CatalogTest : public ::testing::Test {
 protected:
  CatalogTest() {
    plan.destinations = {{"d0", 1, 1, 10, false, false, {0, 1}}};
    plan.endpoints = {{"e0", 0, 0}, {"e1", 0, 0}, {"e2", 0, 0}};
    plan.endpoints_at_start = 2;
    options.late = kS;
    options.calls_per_s = 10;
    options.longest_wait = kS;
  }
  static std::string address(Index e) { return "127.0.0.1:" + std::to_string(9000 + e); }
  Plan plan;
  PlatformOptions options;
};

TEST_F(CatalogTest, ListsWhatStoodAtTheStart) {
  const Catalog c(options, plan, {"a"});
  EXPECT_EQ(
      c.whole(0, address),
      R"({"index":1,"snapshot":true,"endpoints":[)"
      R"({"name":"e0","address":"127.0.0.1:9000","zone":"a","type":"plain","group":1,"status":"ready","weight":1.0,"since_ms":0},)"
      R"({"name":"e1","address":"127.0.0.1:9001","zone":"a","type":"plain","group":1,"status":"ready","weight":1.0,"since_ms":0}]})");
}
TEST_F(CatalogTest, TellsChangesLate) {
  Catalog c(options, plan, {"a"});
  c.change(5 * kS, 0, Catalog::Status::draining);
  c.change(7 * kS, 0, Catalog::Status::gone);
  c.change(7 * kS, 2, Catalog::Status::ready);
  EXPECT_EQ(c.told(6 * kS - 1), 1);
  EXPECT_EQ(c.told(6 * kS), 2);
  EXPECT_EQ(c.changed(6 * kS, 1).size(), 1u);
  EXPECT_NE(c.changes(6 * kS, 1, address).find(R"("status":"draining")"), std::string::npos);
  // Only the last state of each is told, and what is gone is no part of the whole.
  const auto text = c.changes(8 * kS, 1, address);
  EXPECT_EQ(text.find("draining"), std::string::npos);
  EXPECT_NE(text.find("gone"), std::string::npos);
  EXPECT_NE(text.find("e2"), std::string::npos);
  EXPECT_EQ(c.whole(8 * kS, address).find("e0"), std::string::npos);
}
TEST_F(CatalogTest, WorksThroughCallsInTurnAndTurnsAwayThoseThatWouldWaitTooLong) {
  Catalog c(options, plan, {"a"});
  int admitted = 0;
  Microseconds last = 0;
  for (int i = 0; i < 40; i++)
    if (const auto ready = c.admit(0)) {
      EXPECT_EQ(*ready, last + kS / 10);
      last = *ready;
      admitted++;
    }
  EXPECT_EQ(admitted, 11);
  EXPECT_TRUE(c.admit(kS));
  c.down(true);
  EXPECT_FALSE(c.admit(20 * kS));
}

}  // namespace
}  // namespace heronvane::lab

// Plans of fault injection: what is read, and what is refused with its reason.
#include <gtest/gtest.h>

#include <cerrno>
#include <stdexcept>

#include "faults/plan.hpp"

namespace heronvane::faults {
namespace {

void expect_refused(const std::string& text, const std::string& why) {
  try {
    read_plan(text, "plan.toml");
    ADD_FAILURE() << "was read: " << text;
  } catch (const std::runtime_error& e) {
    const std::string what = e.what();
    EXPECT_EQ(what.rfind("plan.toml", 0), 0u) << what;
    EXPECT_NE(what.find(why), std::string::npos) << what;
  }
}

TEST(FaultPlan, IsRead) {
  const Plan plan = read_plan(R"(
seed = 7
report = "given"
[[error]]
call = "accept"
errno = "ECONNABORTED"
after = 3
times = 2
share = 0.5
from_s = 1
for_s = 2.5
while = "there"
[[short]]
call = "send"
bytes = 4
[[step]]
at_s = 2
by_s = -3600
[[delay]]
ms = 150
)",
                              "plan.toml");
  EXPECT_EQ(plan.seed, 7u);
  EXPECT_EQ(plan.report, "given");
  ASSERT_EQ(plan.errors.size(), 1u);
  EXPECT_EQ(plan.errors[0].error, ECONNABORTED);
  EXPECT_EQ(plan.errors[0].after, 3u);
  EXPECT_EQ(plan.errors[0].times, 2u);
  EXPECT_EQ(plan.errors[0].share, 0.5);
  EXPECT_EQ(plan.errors[0].window.for_s, 2.5);
  EXPECT_EQ(plan.errors[0].window.while_file, "there");
  ASSERT_EQ(plan.shorts.size(), 1u);
  EXPECT_EQ(plan.shorts[0].bytes, 4u);
  ASSERT_EQ(plan.steps.size(), 1u);
  EXPECT_EQ(plan.steps[0].by_s, -3600);
  ASSERT_EQ(plan.delays.size(), 1u);
  EXPECT_EQ(plan.delays[0].ms, 150);
}

TEST(FaultPlan, WhatMakesNoSenseIsRefused) {
  expect_refused("x = ", "plan.toml:1");
  expect_refused("sed = 7", "sed is no key");
  expect_refused("[[error]]\nerrno = \"EIO\"", "needs its call");
  expect_refused("[[error]]\ncall = \"open\"\nerrno = \"EWHAT\"", "EWHAT is no known error");
  expect_refused("[[error]]\ncall = \"open\"\nerrno = \"EIO\"\nshare = 1.5", "share must be from 0 to 1");
  expect_refused("[[error]]\ncall = \"open\"\nerrno = \"EIO\"\nafter = -1", "after must not be negative");
  expect_refused("[[error]]\ncall = \"open\"\nerrno = \"EIO\"\noften = 1", "often is no key");
  expect_refused("[[short]]\ncall = \"send\"\nbytes = 0", "bytes must be 1 or more");
  expect_refused("[error]\ncall = \"open\"", "[[error]]");
}

}  // namespace
}  // namespace heronvane::faults

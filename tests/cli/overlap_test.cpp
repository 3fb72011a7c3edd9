#include "cli/overlap.hpp"

#include <gtest/gtest.h>

namespace heronvane::cli {
namespace {

TEST(Overlap, ReturnsWholeLines) {
  Overlap o(10);
  EXPECT_EQ(o.add("one\ntw"), "one\n");
  EXPECT_EQ(o.add("o\n"), "two\n");
}

TEST(Overlap, CatchesUpAfterABreak) {
  Overlap o(10);
  o.add("two\nthree\nfo");
  EXPECT_EQ(o.remembered(), 2u);
  EXPECT_EQ(o.catch_up("zero\none\ntwo\nthree\nfour\nfi"), "four\n");
  EXPECT_EQ(o.remembered(), 3u);
}

TEST(Overlap, SkipsRememberedLinesOfTheNextStream) {
  Overlap o(10);
  o.add("one\ntwo\n");
  o.catch_up("one\ntwo\n");
  EXPECT_EQ(o.add("on"), "");
  EXPECT_EQ(o.add("e\ntwo\nthree\n"), "three\n");
  EXPECT_EQ(o.add("one\n"), "one\n");  // skipped only once
}

TEST(Overlap, ShowsLinesLoggedBetweenCatchUpAndTheNextStream) {
  Overlap o(10);
  o.add("one\ntwo\n");
  o.catch_up("one\ntwo\n");
  EXPECT_EQ(o.add("two\nthree\n"), "three\n");
  Overlap p(2);
  p.add("one\ntwo\n");
  p.catch_up("one\ntwo\n");
  EXPECT_EQ(p.add("three\nfour\n"), "three\nfour\n");
}

TEST(Overlap, ShowsAllOfALogWithoutOverlap) {
  Overlap o(2);
  o.add("one\ntwo\nthree\n");
  EXPECT_EQ(o.catch_up("seven\neight\n"), "seven\neight\n");
}

TEST(Overlap, RepeatsEqualLinesRatherThanOmitThem) {
  Overlap o(10);
  o.add("a\na\n");
  EXPECT_EQ(o.catch_up("a\na\na\nb\n"), "a\nb\n");
}

TEST(Overlap, ALongLineWithoutAnEndIsShown) {
  Overlap o(10);
  EXPECT_GT(o.add(std::string(70'000, 'x')).size(), 65'000u);
}

}  // namespace
}  // namespace heronvane::cli

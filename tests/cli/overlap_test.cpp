#include "cli/overlap.hpp"

#include <gtest/gtest.h>

namespace heronvane::cli {
namespace {

TEST(Overlap, GivesWholeLines) {
  Overlap o(10);
  EXPECT_EQ(o.add("one\ntw"), "one\n");
  EXPECT_EQ(o.add("o\n"), "two\n");
}

TEST(Overlap, SkipsWhatWasShownAfterABreak) {
  Overlap o(10);
  o.add("one\ntwo\nthree\nfo");
  o.broke();
  EXPECT_EQ(o.add("two\nthr"), "");
  EXPECT_EQ(o.add("ee\nfour\n"), "four\n");
  EXPECT_EQ(o.add("two\n"), "two\n");  // only once is it skipped
}

TEST(Overlap, ShowsAllOfALogThatGoesOnElsewhere) {
  Overlap o(2);
  o.add("one\ntwo\nthree\n");
  o.broke();
  EXPECT_EQ(o.add("seven\neight\n"), "seven\neight\n");
}

TEST(Overlap, ShowsWhatOnlyBeganLikeTheOldLines) {
  Overlap o(10);
  o.add("a\nb\nc\n");
  o.broke();
  EXPECT_EQ(o.add("a\nx\n"), "a\nx\n");
}

TEST(Overlap, LinesThatAreAlikeAreNotShownAgainWhereTheyEndedIt) {
  Overlap o(10);
  o.add("a\na\na\n");
  o.broke();
  EXPECT_EQ(o.add("a\na\nb\n"), "b\n");
}

TEST(Overlap, ALineWithoutAnEndIsNotHeldForEver) {
  Overlap o(10);
  EXPECT_GT(o.add(std::string(70'000, 'x')).size(), 65'000u);
}

}  // namespace
}  // namespace heronvane::cli

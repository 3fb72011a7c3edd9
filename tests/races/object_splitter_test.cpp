// Objects of a stream, however they are laid out and wherever the stream is cut.
#include "core/object_splitter.hpp"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace heronvane::testing {
namespace {

std::vector<std::string> all_of(const std::string& text, std::size_t step) {
  ObjectSplitter splitter;
  std::vector<std::string> found;
  for (std::size_t at = 0; at < text.size(); at += step) {
    splitter.put(std::string_view(text).substr(at, step));
    while (auto one = splitter.next()) found.push_back(*one);
  }
  return found;
}

TEST(ObjectSplitter, ObjectsAreFoundWhereverLinesEnd) {
  const std::string text =
      "{\"a\":1}\n\n  {\n  \"b\": [ {\n} ],\n  \"c\": \"}\\\"{\\\\\"\n}\r\n{}{\"d\":2}\n";
  const std::vector<std::string> want = {"{\"a\":1}", "{\n  \"b\": [ {\n} ],\n  \"c\": \"}\\\"{\\\\\"\n}",
                                         "{}", "{\"d\":2}"};
  for (std::size_t step = 1; step <= text.size(); step++) EXPECT_EQ(all_of(text, step), want) << step;
}

TEST(ObjectSplitter, WhatIsNoObjectComesBackToTheEndOfItsLine) {
  EXPECT_EQ(all_of("oops {\"a\":1}\n{}\n", 3), (std::vector<std::string>{"oops {\"a\":1}\n", "{}"}));
  EXPECT_EQ(all_of("} {}", 1), std::vector<std::string>{}) << "its line is not over";
}

TEST(ObjectSplitter, LinesOutsideOfObjectsAreCountedAndTakeNoRoom) {
  ObjectSplitter splitter;
  splitter.put("\n \n");
  EXPECT_EQ(splitter.next(), std::nullopt);
  EXPECT_EQ(splitter.line_ends(), 2u);
  EXPECT_EQ(splitter.size(), 0u);
  splitter.put("{\n\n");
  EXPECT_EQ(splitter.next(), std::nullopt);
  EXPECT_EQ(splitter.line_ends(), 2u);
  EXPECT_TRUE(splitter.inside());
  splitter.put("}\n");
  EXPECT_EQ(splitter.next(), "{\n\n}");
  EXPECT_FALSE(splitter.inside());
}

// Whatever comes, cut anywhere: the same pieces, nothing made up, all room given back in the end.
TEST(ObjectSplitter, AnyBytesCutAnywhere) {
  std::mt19937 random(7);
  const std::string alphabet = "{}[]\"\\\n a1,:";
  for (int round = 0; round < 3000; round++) {
    std::string text;
    for (auto n = random() % 60; n > 0; n--) text += alphabet[random() % alphabet.size()];
    const auto whole = all_of(text, text.size() + 1);
    for (const std::size_t step : {1, 2, 7}) ASSERT_EQ(all_of(text, step), whole) << text;
    std::string rest = text;
    for (const auto& one : whole) {
      const auto at = rest.find(one);
      ASSERT_NE(at, std::string::npos) << text;
      ASSERT_EQ(rest.substr(0, at).find_first_not_of(" \n"), std::string::npos) << text;
      rest.erase(0, at + one.size());
    }
  }
}

}  // namespace
}  // namespace heronvane::testing

// Splits a stream into JSON objects, regardless of their layout and of how the stream is divided into reads.
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
    while (auto object = splitter.next()) found.push_back(*object);
  }
  return found;
}

TEST(ObjectSplitter, ObjectsAreFoundRegardlessOfLineEnds) {
  const std::string text =
      "{\"a\":1}\n\n  {\n  \"b\": [ {\n} ],\n  \"c\": \"}\\\"{\\\\\"\n}\r\n{}{\"d\":2}\n";
  const std::vector<std::string> want = {"{\"a\":1}", "{\n  \"b\": [ {\n} ],\n  \"c\": \"}\\\"{\\\\\"\n}",
                                         "{}", "{\"d\":2}"};
  for (std::size_t step = 1; step <= text.size(); step++) EXPECT_EQ(all_of(text, step), want) << step;
}

TEST(ObjectSplitter, TextThatIsNotAnObjectIsReturnedUpToTheEndOfItsLine) {
  EXPECT_EQ(all_of("oops {\"a\":1}\n{}\n", 3), (std::vector<std::string>{"oops {\"a\":1}\n", "{}"}));
  EXPECT_EQ(all_of("} {}", 1), std::vector<std::string>{}) << "the line has not ended";
}

TEST(ObjectSplitter, LinesOutsideObjectsAreCountedButNotStored) {
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

// Random input yields the same pieces however it is divided, and every piece is part of the input.
TEST(ObjectSplitter, RandomBytesSplitAnywhere) {
  std::mt19937 random(7);
  const std::string alphabet = "{}[]\"\\\n a1,:";
  for (int round = 0; round < 3000; round++) {
    std::string text;
    for (auto n = random() % 60; n > 0; n--) text += alphabet[random() % alphabet.size()];
    const auto whole = all_of(text, text.size() + 1);
    for (const std::size_t step : {1, 2, 7}) ASSERT_EQ(all_of(text, step), whole) << text;
    std::string rest = text;
    for (const auto& object : whole) {
      const auto at = rest.find(object);
      ASSERT_NE(at, std::string::npos) << text;
      ASSERT_EQ(rest.substr(0, at).find_first_not_of(" \n"), std::string::npos) << text;
      rest.erase(0, at + object.size());
    }
  }
}

}  // namespace
}  // namespace heronvane::testing

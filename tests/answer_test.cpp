// Answers of endpoints, by table: which are whole, which are broken, and what their first line still proves.
#include "answer.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

using State = AnswerReader::State;

// The answer cut into pieces of every size, which must make no difference.
void expect(const std::string& text, State state, bool ok, bool reusable = false) {
  for (std::size_t piece : {text.size(), std::size_t{1}, std::size_t{7}}) {
    AnswerReader reader;
    State got = State::more;
    for (std::size_t at = 0; at < text.size() && got == State::more; at += piece)
      got = reader.put(text.data() + at, std::min(piece, text.size() - at));
    EXPECT_EQ(got, state) << text.substr(0, 80) << " in pieces of " << piece;
    EXPECT_EQ(reader.says_ok(), ok) << text.substr(0, 80) << " in pieces of " << piece;
    EXPECT_EQ(reader.reusable(), reusable) << text.substr(0, 80);
  }
}

TEST(AnswerTest, WholeAnswers) {
  expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", State::whole, true, true);
  expect("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", State::whole, false, true);
  expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", State::whole, true,
         true);
  expect("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", State::whole, true, false);
}

// 1xx answers come ahead of the one that counts; without end they are no answer.
TEST(AnswerTest, AnswersAhead) {
  const std::string ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  expect(ahead + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", State::whole, true, true);
  expect(ahead + "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", State::whole, false, true);
  expect(ahead, State::more, false);
  expect("HTTP/1.1 101 Switch\r\n\r\n", State::broken, false);
  std::string endless;
  for (int i = 0; i < 40; i++) endless += ahead;
  expect(endless, State::broken, false);
  AnswerReader reader;
  EXPECT_EQ(reader.put(ahead.data(), ahead.size()), State::more);
  EXPECT_FALSE(reader.begun());
}

// A 200 line before noise still delivers; any other line before noise proves nothing.
TEST(AnswerTest, BrokenAnswers) {
  const std::string ok = "HTTP/1.1 200 OK\r\n", full = "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 500\r\n";
  for (const std::string& rest :
       {std::string("\x01\x02: \x03\r\n\r\n"), std::string("no colon\r\n\r\n"),
        std::string("Content-Length: 3000000000\r\n\r\nxxxx"), std::string("Content-Length: -1\r\n\r\n"),
        std::string("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        "X-A: " + std::string(20'000, 'a'), std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'a')}) {
    expect(ok + rest, State::broken, true);
    expect(full + rest, State::broken, false);
  }
  expect("\x01\x02 noise\r\n\r\n", State::broken, false);
  expect("HTTP/1.1 2000 OK\r\n\r\n", State::broken, false);
  expect("HTTP/9.9 200 OK\r\n\r\n", State::broken, false);
}

TEST(AnswerTest, AnswersWithoutEnd) {
  expect("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhi", State::more, true);
  expect("HTTP/1.1 200 OK\r\nX-A: b\r\n", State::more, true);
  expect("HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi", State::more, false);
  AnswerReader reader;
  const std::string half = "HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi";
  reader.put(half.data(), half.size());
  EXPECT_EQ(reader.end(), State::broken);
  AnswerReader to_the_end;
  const std::string open = "HTTP/1.1 503 X\r\n\r\nhi";
  EXPECT_EQ(to_the_end.put(open.data(), open.size()), State::more);
  EXPECT_EQ(to_the_end.end(), State::whole);
  EXPECT_FALSE(to_the_end.reusable());
}

// More than the answer: it is good, but what is behind it must not answer the next call.
TEST(AnswerTest, WhatComesBehindEndsTheConnection) {
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& behind : {one, std::string("\x01\x02"), std::string("\r\n")}) {
    AnswerReader reader;
    const std::string text = one + behind;
    EXPECT_EQ(reader.put(text.data(), text.size()), State::whole);
    EXPECT_EQ(reader.body(), "hi");
    EXPECT_FALSE(reader.reusable());
  }
}

TEST(AnswerTest, ReportsAndWaitsThatMakeNoSenseAreNone) {
  std::optional<AnswerReader> reader;
  const auto read = [&reader](const std::string& head) -> const AnswerReader& {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + head + "\r\n\r\n";
    EXPECT_EQ(reader.emplace().put(text.data(), text.size()), State::whole);
    return *reader;
  };
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").report().limit_remaining, 0.4);
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").report().limit_rate, 25);
  for (const std::string& bad : {std::string("nan"), std::string("inf"), std::string("-1"),
                                 std::string("4abc"), std::string(""), std::string("1e999")}) {
    EXPECT_EQ(read("X-Load: x0=" + bad + ",x1=" + bad).report().limit_remaining,
              heronvane::dispatch::LoadReport{}.limit_remaining)
        << bad;
    EXPECT_EQ(read("X-Load: x0=" + bad + ",x1=" + bad).report().limit_rate,
              heronvane::dispatch::LoadReport{}.limit_rate)
        << bad;
    EXPECT_EQ(read("X-Come-Back-Ms: " + bad).told_wait(), 0) << bad;
  }
  EXPECT_EQ(read("X-Come-Back-Ms: 250").told_wait(), 250'000);
}

}  // namespace
}  // namespace heronvane

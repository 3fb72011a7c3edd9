// Table-driven tests of endpoints' answers: which are complete or broken, and what their status line still
// proves.
#include "answer.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

using State = AnswerReader::State;

// Feeds the answer in pieces of several sizes, which must make no difference.
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

// 1xx answers precede the final one; an unlimited number of them is an error.
TEST(AnswerTest, InformationalAnswers) {
  const std::string informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  expect(informational + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", State::whole, true, true);
  expect(informational + "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", State::whole, false, true);
  expect(informational, State::more, false);
  expect("HTTP/1.1 101 Switch\r\n\r\n", State::broken, false);
  std::string endless;
  for (int i = 0; i < 40; i++) endless += informational;
  expect(endless, State::broken, false);
  AnswerReader reader;
  EXPECT_EQ(reader.put(informational.data(), informational.size()), State::more);
  EXPECT_FALSE(reader.begun());
}

// A 200 status line followed by garbage still delivers; any other status line followed by garbage proves
// nothing.
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

TEST(AnswerTest, IncompleteAnswers) {
  expect("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhi", State::more, true);
  expect("HTTP/1.1 200 OK\r\nX-A: b\r\n", State::more, true);
  expect("HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi", State::more, false);
  AnswerReader reader;
  const std::string half = "HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi";
  reader.put(half.data(), half.size());
  EXPECT_EQ(reader.end(), State::broken);
  AnswerReader until_close;
  const std::string open = "HTTP/1.1 503 X\r\n\r\nhi";
  EXPECT_EQ(until_close.put(open.data(), open.size()), State::more);
  EXPECT_EQ(until_close.end(), State::whole);
  EXPECT_FALSE(until_close.reusable());
}

// Extra bytes after a valid answer must not be read as the answer to the next call.
TEST(AnswerTest, ExtraBytesPreventReuse) {
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& extra : {one, std::string("\x01\x02"), std::string("\r\n")}) {
    AnswerReader reader;
    const std::string text = one + extra;
    EXPECT_EQ(reader.put(text.data(), text.size()), State::whole);
    EXPECT_EQ(reader.body(), "hi");
    EXPECT_FALSE(reader.reusable());
  }
}

TEST(AnswerTest, InvalidLoadReportsAndWaitsAreIgnored) {
  std::optional<AnswerReader> reader;
  const auto read = [&reader](const std::string& head) -> const AnswerReader& {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + head + "\r\n\r\n";
    EXPECT_EQ(reader.emplace().put(text.data(), text.size()), State::whole);
    return *reader;
  };
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").report().limit_remaining, 0.4);
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").report().limit_rate, 25);
  for (const std::string& error : {std::string("nan"), std::string("inf"), std::string("-1"),
                                   std::string("4abc"), std::string(""), std::string("1e999")}) {
    EXPECT_EQ(read("X-Load: x0=" + error + ",x1=" + error).report().limit_remaining,
              heronvane::dispatch::LoadReport{}.limit_remaining)
        << error;
    EXPECT_EQ(read("X-Load: x0=" + error + ",x1=" + error).report().limit_rate,
              heronvane::dispatch::LoadReport{}.limit_rate)
        << error;
    EXPECT_EQ(read("X-Come-Back-Ms: " + error).retry_after(), 0) << error;
  }
  EXPECT_EQ(read("X-Come-Back-Ms: 250").retry_after(), 250'000);
}

}  // namespace
}  // namespace heronvane

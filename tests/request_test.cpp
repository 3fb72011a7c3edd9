// What is taken from a client's request, by table: which ones make no sense, and where their end is in doubt.
#include "request.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http/parser.hpp>

#include "framing.hpp"

namespace heronvane {
namespace {

namespace http = boost::beast::http;

class RequestTest : public ::testing::Test {
 protected:
  RequestTest() {
    settings.classes.resize(1);
    settings.classes[0].deadline = 6'000'000;
    names.classes = {{"load-status", 0}};
    names.tenants = {{"acme", 0}};
  }
  // The status: 202 is a message, 400 may also be Beast's word.
  unsigned verdict(const std::string& head, const std::string& first = "POST /load-status HTTP/1.1") {
    http::request_parser<http::string_body> parser;
    boost::system::error_code bad;
    parser.eager(true);
    const std::string text = first + "\r\n" + head + "\r\nabc";
    parser.put(boost::asio::buffer(text), bad);
    if (!parser.is_header_done() || (bad && bad != http::error::need_more)) return 400;
    if (!framing_certain(parser.get(), parser.get().version())) return 499;
    handed = read_message(parser.get(), settings, names);
    return handed.refused > 0 ? handed.refused : 202;
  }
  heronvane::dispatch::Settings settings;
  heronvane::dispatch::adapter::NameTables names;
  Handed handed;
};

const std::string kId = "X-Request-Id: 9b1f\r\n", kTenant = "X-Tenant: acme\r\n",
                  kDeadline = "X-Deadline: 480m\r\n", kDest = "X-Consignee: dest=7\r\n",
                  kLength = "Content-Length: 3\r\n";

TEST_F(RequestTest, AMessageIsRead) {
  ASSERT_EQ(verdict(kId + kTenant + kDeadline + kDest + kLength + "X-Retry: 1\r\n"), 202u);
  EXPECT_EQ(handed.message.id, "9b1f");
  EXPECT_EQ(handed.message.destination, 7);
  EXPECT_EQ(handed.message.body, "abc");
  EXPECT_TRUE(handed.message.repeat);
}

// Guards against a keyed message that its destination can't know again.
TEST_F(RequestTest, AKeyIsTakenAsItStands) {
  const std::string rest = kId + kTenant + kDeadline + kDest + kLength;
  ASSERT_EQ(verdict(rest + "Idempotency-Key: 38d5491b76040bdb\r\n"), 202u);
  EXPECT_EQ(handed.message.idempotency_key, "38d5491b76040bdb");
  ASSERT_EQ(verdict(rest + "idempotency-key: \"a,b\"\r\n"), 202u);
  EXPECT_EQ(handed.message.idempotency_key, "\"a,b\"");
  ASSERT_EQ(verdict(rest), 202u);
  EXPECT_EQ(handed.message.idempotency_key, "") << "of the message before";
  EXPECT_EQ(verdict(rest + "Idempotency-Key: \r\n"), 400u);
  EXPECT_EQ(verdict(rest + "Idempotency-Key: a b\r\n"), 400u);
  EXPECT_EQ(verdict(rest + "Idempotency-Key: \xff\r\n"), 400u) << "no JSON can hold it";
  EXPECT_EQ(verdict(rest + "Idempotency-Key: " + std::string(300, 'a') + "\r\n"), 400u);
  EXPECT_EQ(verdict(rest + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400u);
}

TEST_F(RequestTest, WhatMakesNoSenseIsTurnedDown) {
  const std::string rest = kTenant + kDest + kLength;
  EXPECT_EQ(verdict(rest + kDeadline), 400u) << "no id";
  EXPECT_EQ(verdict(rest + kDeadline + "X-Request-Id: \xff\xfe\r\n"), 400u) << "an id that no JSON can hold";
  EXPECT_EQ(verdict(rest + kDeadline + "X-Request-Id: a b\r\n"), 400u);
  EXPECT_EQ(verdict(rest + kDeadline + "X-Request-Id: " + std::string(300, 'a') + "\r\n"), 400u);
  EXPECT_EQ(verdict(rest + kDeadline + kId + "X-Request-Id: other\r\n"), 400u);
  for (const std::string bad : {"inf", "nan", "-1m", "m", "480", "480s", "1e9m", "12001m", "0x10m", "infm",
                                "nanu", " m", "480m480m", ""})
    EXPECT_EQ(verdict(rest + kId + "X-Deadline: " + bad + "\r\n"), 400u) << bad;
  EXPECT_EQ(verdict(rest + kId), 400u) << "no deadline";
  EXPECT_EQ(verdict(rest + kId + "X-Deadline: 250000u\r\n"), 202u);
  for (const std::string bad : {"dest=", "dest=x", "dest=7x", "dest=99999999999999999999", "7", ""})
    EXPECT_EQ(verdict(kId + kDeadline + kTenant + kLength + "X-Consignee: " + bad + "\r\n"), 400u) << bad;
  EXPECT_EQ(verdict(kId + kDeadline + kDest + kLength + "X-Tenant: stranger\r\n"), 400u);
  EXPECT_EQ(verdict(kId + kDeadline + rest + "X-Class: other\r\n"), 400u);
  EXPECT_EQ(verdict(kId + kDeadline + rest, "POST /other HTTP/1.1"), 404u);
  EXPECT_EQ(verdict(kId + kDeadline + rest, "GET /load-status HTTP/1.1"), 405u);
}

// Guards against a request hidden in the body of another.
TEST_F(RequestTest, FramingInDoubtIsSeen) {
  const std::string rest = kId + kTenant + kDeadline + kDest;
  const auto in_doubt = [&](const std::string& head) {
    const unsigned v = verdict(rest + head);
    return v == 400 || v == 499;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  EXPECT_TRUE(in_doubt(kLength + chunked));
  EXPECT_TRUE(in_doubt(chunked + kLength));
  EXPECT_TRUE(in_doubt(kLength + kLength));
  EXPECT_TRUE(in_doubt(kLength + "Content-Length: 4\r\n"));
  EXPECT_TRUE(in_doubt("Content-Length: 3, 3\r\n"));
  EXPECT_TRUE(in_doubt("Content-Length: -3\r\n"));
  EXPECT_TRUE(in_doubt("Content-Length: 99999999999999999999999\r\n"));
  EXPECT_TRUE(in_doubt("Content-Length: 3x\r\n"));
  EXPECT_TRUE(in_doubt("Content-Length : 3\r\n"));
  EXPECT_TRUE(in_doubt("Transfer-Encoding: gzip\r\n"));
  EXPECT_TRUE(in_doubt("Transfer-Encoding: gzip, chunked\r\n"));
  EXPECT_TRUE(in_doubt("Transfer-Encoding: chunked, identity\r\n"));
  EXPECT_TRUE(in_doubt("Transfer-Encoding: xchunked\r\n"));
  EXPECT_TRUE(in_doubt(chunked + chunked));
  EXPECT_FALSE(in_doubt(chunked));
  EXPECT_FALSE(in_doubt(kLength));
}

}  // namespace
}  // namespace heronvane

// Table-driven tests of clients' requests: which are invalid, and which have ambiguous framing.
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
  // The status: 202 for a message, 499 for ambiguous framing; 400 may come from Beast, too.
  unsigned status_of(const std::string& head, const std::string& first = "POST /load-status HTTP/1.1") {
    http::request_parser<http::string_body> parser;
    boost::system::error_code bad;
    parser.eager(true);
    const std::string text = first + "\r\n" + head + "\r\nabc";
    parser.put(boost::asio::buffer(text), bad);
    if (!parser.is_header_done() || (bad && bad != http::error::need_more)) return 400;
    if (!has_unambiguous_framing(parser.get(), parser.get().version())) return 499;
    parsed = read_message(parser.get(), settings, names);
    return parsed.error_status > 0 ? parsed.error_status : 202;
  }
  heronvane::dispatch::Settings settings;
  heronvane::dispatch::adapter::NameTables names;
  ParsedRequest parsed;
};

const std::string kId = "X-Request-Id: 9b1f\r\n", kTenant = "X-Tenant: acme\r\n",
                  kDeadline = "X-Deadline: 480m\r\n", kDest = "X-Consignee: dest=7\r\n",
                  kLength = "Content-Length: 3\r\n";

TEST_F(RequestTest, AMessageIsRead) {
  ASSERT_EQ(status_of(kId + kTenant + kDeadline + kDest + kLength + "X-Retry: 1\r\n"), 202u);
  EXPECT_EQ(parsed.message.id, "9b1f");
  EXPECT_EQ(parsed.message.destination, 7);
  EXPECT_EQ(parsed.message.body, "abc");
  EXPECT_TRUE(parsed.message.repeat);
}

// Guards against a changed key, by which the destination could not recognise a duplicate.
TEST_F(RequestTest, TheIdempotencyKeyIsReadUnchanged) {
  const std::string rest = kId + kTenant + kDeadline + kDest + kLength;
  ASSERT_EQ(status_of(rest + "Idempotency-Key: 38d5491b76040bdb\r\n"), 202u);
  EXPECT_EQ(parsed.message.idempotency_key, "38d5491b76040bdb");
  ASSERT_EQ(status_of(rest + "idempotency-key: \"a,b\"\r\n"), 202u);
  EXPECT_EQ(parsed.message.idempotency_key, "\"a,b\"");
  ASSERT_EQ(status_of(rest), 202u);
  EXPECT_EQ(parsed.message.idempotency_key, "") << "left over from the message before";
  EXPECT_EQ(status_of(rest + "Idempotency-Key: \r\n"), 400u);
  EXPECT_EQ(status_of(rest + "Idempotency-Key: a b\r\n"), 400u);
  EXPECT_EQ(status_of(rest + "Idempotency-Key: \xff\r\n"), 400u) << "not valid in JSON";
  EXPECT_EQ(status_of(rest + "Idempotency-Key: " + std::string(300, 'a') + "\r\n"), 400u);
  EXPECT_EQ(status_of(rest + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400u);
}

TEST_F(RequestTest, InvalidRequestsAreRejected) {
  const std::string rest = kTenant + kDest + kLength;
  EXPECT_EQ(status_of(rest + kDeadline), 400u) << "no id";
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: \xff\xfe\r\n"), 400u) << "not valid in JSON";
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: a b\r\n"), 400u);
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: " + std::string(300, 'a') + "\r\n"), 400u);
  EXPECT_EQ(status_of(rest + kDeadline + kId + "X-Request-Id: other\r\n"), 400u);
  for (const std::string invalid : {"inf", "nan", "-1m", "m", "480", "480s", "1e9m", "12001m", "0x10m",
                                    "infm", "nanu", " m", "480m480m", ""})
    EXPECT_EQ(status_of(rest + kId + "X-Deadline: " + invalid + "\r\n"), 400u) << invalid;
  EXPECT_EQ(status_of(rest + kId), 400u) << "no deadline";
  EXPECT_EQ(status_of(rest + kId + "X-Deadline: 250000u\r\n"), 202u);
  for (const std::string invalid : {"dest=", "dest=x", "dest=7x", "dest=99999999999999999999", "7", ""})
    EXPECT_EQ(status_of(kId + kDeadline + kTenant + kLength + "X-Consignee: " + invalid + "\r\n"), 400u)
        << invalid;
  EXPECT_EQ(status_of(kId + kDeadline + kDest + kLength + "X-Tenant: stranger\r\n"), 400u);
  EXPECT_EQ(status_of(kId + kDeadline + rest + "X-Class: other\r\n"), 400u);
  EXPECT_EQ(status_of(kId + kDeadline + rest, "POST /other HTTP/1.1"), 404u);
  EXPECT_EQ(status_of(kId + kDeadline + rest, "GET /load-status HTTP/1.1"), 405u);
}

// Guards against request smuggling, a request hidden in the body of another.
TEST_F(RequestTest, AmbiguousFramingIsDetected) {
  const std::string rest = kId + kTenant + kDeadline + kDest;
  const auto is_ambiguous = [&](const std::string& head) {
    const unsigned status = status_of(rest + head);
    return status == 400 || status == 499;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  EXPECT_TRUE(is_ambiguous(kLength + chunked));
  EXPECT_TRUE(is_ambiguous(chunked + kLength));
  EXPECT_TRUE(is_ambiguous(kLength + kLength));
  EXPECT_TRUE(is_ambiguous(kLength + "Content-Length: 4\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 3, 3\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: -3\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 99999999999999999999999\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 3x\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length : 3\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: gzip\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: gzip, chunked\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: chunked, identity\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: xchunked\r\n"));
  EXPECT_TRUE(is_ambiguous(chunked + chunked));
  EXPECT_FALSE(is_ambiguous(chunked));
  EXPECT_FALSE(is_ambiguous(kLength));
}

}  // namespace
}  // namespace heronvane

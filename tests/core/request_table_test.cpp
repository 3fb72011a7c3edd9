#include "core/request_table.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace heronvane {
namespace {

constexpr Microseconds kLifetime = 1'000;

// Returns a reply callback that stores the status that it is called with.
ReplyCallback into(unsigned& status) {
  return [&status](const ClientReply& reply) { status = reply.status; };
}

Message message_of(const std::string& client_id) {
  Message message;
  message.id = client_id;
  return message;
}

TEST(RequestTable, DuplicatesOfAQueuedRequestGetItsReply) {
  RequestTable table(kLifetime);
  unsigned first = 0;
  unsigned second = 0;
  ReplyCallback duplicate = into(second);
  EXPECT_FALSE(table.coalesce("a", duplicate)) << "nothing waits yet";
  ASSERT_TRUE(duplicate) << "it is untouched";

  const ReplyCallback shared = table.shared("a", into(first));
  EXPECT_TRUE(table.coalesce("a", duplicate));
  EXPECT_EQ(second, 0u);
  shared({503, 0});
  EXPECT_EQ(first, 503u);
  EXPECT_EQ(second, 503u);

  ReplyCallback late = into(second);
  EXPECT_FALSE(table.coalesce("a", late)) << "the first one is answered";
}

TEST(RequestTable, QueuedRequestsAreTakenOnceInOrder) {
  RequestTable table(kLifetime);
  table.enqueue(message_of("a"), [](const ClientReply&) {});
  table.enqueue(message_of("b"), [](const ClientReply&) {});
  EXPECT_EQ(table.queued(), 2u);
  const auto queued = table.take_queued();
  ASSERT_EQ(queued.size(), 2u);
  EXPECT_EQ(queued[0].message.id, "a");
  EXPECT_EQ(queued[1].message.id, "b");
  EXPECT_EQ(table.queued(), 0u);
}

TEST(RequestTable, FindsRequestsInFlightByTheirClientId) {
  RequestTable table(kLifetime);
  EXPECT_FALSE(table.find("a").has_value());
  table.add(7, "a");
  EXPECT_EQ(table.find("a"), MessageId{7});
  EXPECT_TRUE(table.is_in_flight("a"));
  table.remove("a");
  EXPECT_FALSE(table.is_in_flight("a"));
}

TEST(RequestTable, RepliesAreTakenOnce) {
  RequestTable table(kLifetime);
  unsigned status = 0;
  table.await_reply(7, into(status));
  table.await_reply(8, into(status));
  EXPECT_FALSE(table.take_reply(9).has_value());
  auto reply = table.take_reply(7);
  ASSERT_TRUE(reply.has_value());
  (*reply)({202, 0});
  EXPECT_EQ(status, 202u);
  EXPECT_FALSE(table.take_reply(7).has_value());
  EXPECT_EQ(table.take_replies().size(), 1u);
  EXPECT_TRUE(table.take_replies().empty());
}

TEST(RequestTable, CompletedRequestsAreRememberedForTheirLifetime) {
  RequestTable table(kLifetime);
  table.cache_completed("a", 0);
  EXPECT_TRUE(table.recently_completed("a"));
  table.cache_completed("b", kLifetime - 1);
  EXPECT_TRUE(table.recently_completed("a"));
  table.cache_completed("c", kLifetime);
  EXPECT_FALSE(table.recently_completed("a"));
  EXPECT_TRUE(table.recently_completed("b"));
}

}  // namespace
}  // namespace heronvane

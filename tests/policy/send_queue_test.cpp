#include "send_queue.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace heronvane::dispatch::testing {
namespace {

// Urgency by id alone: the lower, the more urgent.
double earlier_id_first(const SendQueue::Entry& entry) { return -static_cast<double>(entry.id); }

class SendQueueTest : public ::testing::Test {
 protected:
  SendQueue::Entry& add(MessageId id, const SendQueue::SubqueueKey& key, Microseconds objective_at = 0) {
    SendQueue::Entry& entry = entries_.emplace_back();
    entry.id = id;
    entry.objective_at = objective_at;
    queue_.add(entry, 0);
    queue_.enqueue(entry, key);
    return entry;
  }
  // The id of the most urgent eligible request; 0 where there is none.
  MessageId next(bool health_check_allowed = false) const {
    const auto* entry = queue_.most_urgent(earlier_id_first, health_check_allowed);
    return entry == nullptr ? 0 : entry->id;
  }

  std::deque<SendQueue::Entry> entries_;  // stay at their addresses
  // One order group: by id up to one second past the objective, then the later objective first.
  SendQueue queue_{{{{-kNever, OrderPhase::Order::by_id}, {1'000'000, OrderPhase::Order::later_objective}}}};
};

constexpr SendQueue::SubqueueKey kFirst{1, -1, false, false};
constexpr SendQueue::SubqueueKey kSecond{2, -1, false, false};

TEST_F(SendQueueTest, GivesTheMostUrgentOfAllDestinations) {
  add(5, kFirst);
  SendQueue::Entry& most_urgent = add(3, kSecond);
  add(4, kSecond);
  EXPECT_EQ(next(), 3U);
  queue_.remove(most_urgent);
  EXPECT_EQ(next(), 4U);
  EXPECT_EQ(queue_.size(), 2U);
}

TEST_F(SendQueueTest, ABlockedSubqueueWaitsForItsTimeOrItsDestination) {
  SendQueue::Entry& entry = add(1, kFirst);
  add(2, kSecond);
  queue_.block(*entry.subqueue(), 500);
  EXPECT_EQ(next(), 2U);
  EXPECT_EQ(queue_.next_recheck(), 500);
  queue_.unblock_due(499);
  EXPECT_EQ(next(), 2U);
  queue_.unblock_due(500);
  EXPECT_EQ(next(), 1U);
  EXPECT_EQ(queue_.next_recheck(), kNever);
  queue_.block(*entry.subqueue(), kNever);
  queue_.unblock(kSecond.destination);
  EXPECT_EQ(next(), 2U);
  queue_.unblock(kFirst.destination);
  EXPECT_EQ(next(), 1U);
}

TEST_F(SendQueueTest, ASubqueueThatAwaitsAHealthCheckIsEligibleWhereOneIsAllowed) {
  SendQueue::Entry& entry = add(1, kFirst);
  queue_.block_until_health_check(*entry.subqueue(), kNever);
  EXPECT_EQ(next(false), 0U);
  EXPECT_EQ(next(true), 1U);
}

TEST_F(SendQueueTest, ADeferredRequestLetsTheOthersOfItsSubqueuePass) {
  SendQueue::Entry& deferred = add(1, kFirst);
  add(2, kFirst);
  queue_.defer(deferred, 300);
  EXPECT_EQ(next(), 2U);
  queue_.block(*deferred.subqueue(), 900);
  EXPECT_EQ(queue_.next_recheck(), 300);
  queue_.unblock_due(300);
  EXPECT_EQ(next(), 1U);
}

TEST_F(SendQueueTest, UnblockIfRestoresTheChosenDeferredRequestsAlone) {
  SendQueue::Entry& first = add(1, kFirst);
  SendQueue::Entry& second = add(2, kFirst);
  queue_.defer(first, 300);
  queue_.defer(second, 300);
  queue_.unblock_if(kFirst.destination, [](const SendQueue::Entry& entry) { return entry.id == 2; });
  EXPECT_EQ(next(), 2U);
}

TEST_F(SendQueueTest, ADequeuedRequestStaysAddedAndIsNotGiven) {
  SendQueue::Entry& entry = add(1, kFirst);
  queue_.dequeue(entry);
  EXPECT_TRUE(entry.added());
  EXPECT_EQ(entry.subqueue(), nullptr);
  EXPECT_EQ(next(), 0U);
  EXPECT_EQ(queue_.size(), 1U);
  EXPECT_EQ(queue_.subqueues(), 0U);
}

TEST_F(SendQueueTest, RequestsOfOneDestinationWithDifferentKeysAreBlockedApart) {
  SendQueue::SubqueueKey non_idempotent = kFirst;
  non_idempotent.non_idempotent = true;
  SendQueue::Entry& entry = add(1, non_idempotent);
  add(2, kFirst);
  queue_.block(*entry.subqueue(), kNever);
  EXPECT_EQ(next(), 2U);
  EXPECT_EQ(queue_.subqueues(), 2U);
}

TEST_F(SendQueueTest, TheOrderFollowsThePhaseThatHolds) {
  add(1, kFirst, 100);
  add(2, kFirst, 200);
  const auto by_phase = [](const SendQueue::Entry& entry) { return static_cast<double>(entry.objective_at); };
  queue_.advance_phases(1'000'150);
  EXPECT_EQ(queue_.most_urgent(by_phase, false)->id, 2U);
  queue_.advance_phases(1'000'250);
  EXPECT_EQ(queue_.most_urgent(by_phase, false)->id, 2U);
  EXPECT_EQ(queue_.least_urgent(1, by_phase).front()->id, 1U);
}

TEST_F(SendQueueTest, MostUrgentForSkipsOtherDestinationsAndExcludedKeys) {
  add(1, kSecond);
  add(2, kFirst);
  EXPECT_EQ(queue_.most_urgent_for(kFirst.destination, earlier_id_first, {})->id, 2U);
  EXPECT_EQ(queue_.most_urgent_for(kFirst.destination, earlier_id_first, {kFirst}), nullptr);
  EXPECT_EQ(queue_.most_urgent_for(3, earlier_id_first, {}), nullptr);
}

TEST_F(SendQueueTest, LeastUrgentComesLowestFirstAndOfEqualOnesTheHighestId) {
  for (const MessageId id : {1U, 2U, 3U}) add(id, kFirst);
  queue_.block(*entries_.front().subqueue(), kNever);  // blocked requests count, too
  const auto least = queue_.least_urgent(2, [](const SendQueue::Entry&) { return 1.0; });
  ASSERT_EQ(least.size(), 2U);
  EXPECT_EQ(least[0]->id, 3U);
  EXPECT_EQ(least[1]->id, 2U);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

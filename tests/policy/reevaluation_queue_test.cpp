#include "reevaluation_queue.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

Request with_id(MessageId id) {
  Request request;
  request.id = id;
  return request;
}

TEST(ReevaluationQueue, HoldsARequestOnceAPass) {
  ReevaluationQueue queue;
  Request request = with_id(4);
  queue.add(request);
  queue.add(request);
  EXPECT_EQ(queue.pending(), (std::vector<MessageId>{4}));
  ReevaluationQueue::mark_evaluated(request);
  queue.clear_pending();
  queue.add(request);
  EXPECT_EQ(queue.pending(), (std::vector<MessageId>{4}));
}

TEST(ReevaluationQueue, AddsWhatIsDueInTheOrderOfTimeThenId) {
  ReevaluationQueue queue;
  Request late = with_id(1);
  Request second = with_id(3);
  Request first = with_id(2);
  queue.schedule(late, 900);
  queue.schedule(second, 500);
  queue.schedule(first, 500);
  EXPECT_EQ(queue.next_due(), 500);
  queue.add_due(499);
  EXPECT_TRUE(queue.pending().empty());
  queue.add_due(500);
  EXPECT_EQ(queue.pending(), (std::vector<MessageId>{2, 3}));
  EXPECT_EQ(queue.next_due(), 900);
}

TEST(ReevaluationQueue, ANewMomentReplacesTheOneBefore) {
  ReevaluationQueue queue;
  Request request = with_id(1);
  queue.schedule(request, 500);
  queue.schedule(request, 700);
  EXPECT_EQ(queue.next_due(), 700);
  queue.schedule(request, kNever);
  EXPECT_EQ(queue.next_due(), kNever);
  queue.schedule(request, 800);
  queue.remove(request);
  EXPECT_EQ(queue.next_due(), kNever);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

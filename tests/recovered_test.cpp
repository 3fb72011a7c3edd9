// Tests of messages from an earlier incarnation: what may still be done with them, and when they are
// attempted.
#include "harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

event::RequestRecovered recovered(MessageId id, Class c, int attempts, bool may_have_run,
                                  Microseconds left = 5 * kS) {
  event::RequestRecovered r;
  r.message.id = id, r.message.destination = 1, r.message.message_class = c, r.message.time_left = left;
  r.attempts = attempts, r.tried = attempts > 0;
  if (may_have_run) r.possibly_executed_zone = 0, r.possibly_executed_age = 1 * kS;
  return r;
}
TEST(Recovery, ANonIdempotentMessageThatMayHaveRunFailsAtOnce) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  r.round({recovered(1, kUnsafe, 1, true)});
  EXPECT_EQ(r.failed.count(1), 1u);
  r.run_to(r.now + 10 * kS);
  EXPECT_TRUE(r.sent.empty() && r.refused.empty());
}
TEST(Recovery, ANonIdempotentMessageThatNeverRanIsSent) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  r.round({recovered(1, kUnsafe, 3, false)});
  EXPECT_EQ(r.sends_of(1), 1);
  EXPECT_TRUE(r.failed.empty());
}
TEST(Recovery, AnIdempotentMessageThatMayHaveRunIsSent) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  r.round({recovered(1, kSafe, 1, true)});
  EXPECT_EQ(r.sends_of(1), 1);
}
TEST(Recovery, AttemptsMadeCountToTheLimit) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  r.round({recovered(1, kSafe, 8, true)});
  EXPECT_EQ(r.failed.count(1), 1u);
  EXPECT_TRUE(r.sent.empty());
}
TEST(Recovery, AnOverdueMessageEndsAtOnce) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  r.round({recovered(1, kSafe, 0, false, -1 * kS)});
  EXPECT_EQ(r.failed.count(1), 1u);
  EXPECT_TRUE(r.sent.empty());
}
TEST(Recovery, AKeyedMessageIsResentOnlyWhileItsKeyIsRemembered) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  auto late = recovered(1, kKeyed, 1, true);
  late.possibly_executed_age = 6 * kS;  // the key is remembered for 5 s
  r.round({late, recovered(2, kKeyed, 1, true)});
  EXPECT_EQ(r.failed.count(1), 1u);
  EXPECT_EQ(r.sends_of(1), 0);
  EXPECT_EQ(r.sends_of(2), 1);
}
// Guards against a restart that gives up its backlog without a call, because new messages have a greater
// weight.
TEST(Recovery, UnattemptedMessagesAreNotRejectedInFavourOfNewOnes) {
  auto s = plain();
  s.max_in_flight = 10;
  s.max_concurrent_calls = 1;
  Relay r(s);
  r.list({{.id = "a", .destination = 1}});
  r.arrive(kUnsafe);  // holds the slot
  for (MessageId id = 101; id <= 108; id++) r.round({recovered(id, kSafe, 0, false)});
  r.round({recovered(109, kSafe, 1, false)});
  std::vector<MessageId> fresh;
  for (int i = 0; i < 4; i++) fresh.push_back(r.arrive(kSafe));
  for (MessageId id = 101; id <= 108; id++) EXPECT_EQ(r.refused.count(id), 0u) << id;
  EXPECT_EQ(r.refused.count(109), 1u) << "it was tried, so it is as good as a new one";
  EXPECT_GE(r.refused.size(), 4u) << "room is made all the same";
}
// Also where they have little weight by now and the new messages have much.
TEST(Recovery, UnattemptedMessagesAreSentBeforeNewOnes) {
  auto s = plain();
  s.max_concurrent_calls = 1;
  Relay r(s);
  r.list({{.id = "a", .destination = 1}});
  const auto first = r.arrive(kUnsafe);  // holds the slot
  r.round({recovered(101, kSafe, 0, false, 2 * kS), recovered(102, kSafe, 1, false, 2 * kS)});
  const auto fresh = r.arrive(kUnsafe);
  r.run_to(r.now + 100 * kMs);
  r.end(first, Outcome::served);
  EXPECT_EQ(r.sends_of(101), 1);
  EXPECT_EQ(r.sends_of(fresh), 0);
  r.run_to(r.now + 100 * kMs);
  r.end(101, Outcome::rejected);  // attempted: from now on treated as any other
  r.run_to(r.now + 1 * kS);
  EXPECT_EQ(r.sends_of(fresh), 1);
  EXPECT_EQ(r.sends_of(102), 0) << "it had been tried";
}

// Twenty destinations with a low admission probability, each with one message that an earlier incarnation
// left unattempted: what happens to them in 5 s, over 20 seeds.
struct Tries {
  std::size_t sent = 0;
  int by_second[5] = {};
};
Tries tries(int refusals, Microseconds wait = 0) {
  Tries found;
  for (std::uint64_t seed = 1; seed <= 20; seed++) {
    auto s = plain();
    s.relays = 300;
    s.gossip = true;
    Relay r(s, seed);
    std::vector<Endpoint> endpoints;
    std::vector<Event> earlier;
    for (int d = 1; d <= 20; d++) {
      const std::string id = "e-" + std::to_string(d);
      endpoints.push_back({.id = id, .destination = d});
      event::LearnedStateRestored t;
      t.state.endpoint = id, t.state.destination = d;
      t.state.admission_probability = 0.02, t.state.consecutive_rejections = refusals,
      t.state.retry_after_left = wait;
      earlier.emplace_back(t);
      auto m = recovered(static_cast<MessageId>(100 + d), kSafe, 0, false);
      m.message.destination = d;
      earlier.emplace_back(m);
    }
    r.list(endpoints);
    const Microseconds start = r.now;
    r.round(earlier);
    for (int step = 0; step < 50; step++) {
      r.run_to(r.now + 100 * kMs);
      for (const auto& out : std::vector<Sent>(r.out)) r.end(out.id, Outcome::served);
    }
    found.sent += r.sent.size();
    for (const auto& sent : r.sent) found.by_second[std::min<Microseconds>((sent.at - start) / kS, 4)]++;
  }
  return found;
}
// Guards against a restart that gives up its backlog without a call, because the admission probability is
// that of the whole fleet and allows far less than one call of each restarted relay. Also guards against many
// calls at once.
TEST(Recovery, UnattemptedMessagesGetOneAttemptAtARandomTimeBeforeTheDeadline) {
  const auto found = tries(0);
  EXPECT_EQ(found.sent, 400u);
  for (const int sent : found.by_second) {
    EXPECT_GE(sent, 20);
    EXPECT_LE(sent, 130);
  }
}
TEST(Recovery, NoAttemptIsForcedAfterRejectionsOrARetryAfter) {
  EXPECT_LT(tries(2).sent, 100u);
  const auto waiting = tries(0, 3 * kS);
  EXPECT_EQ(waiting.by_second[0] + waiting.by_second[1] + waiting.by_second[2], 0);
  EXPECT_EQ(waiting.sent, 400u);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

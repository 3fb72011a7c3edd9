#include "standins/behaviour.hpp"

#include <gtest/gtest.h>

#include "standins/endpoint.hpp"
#include "standins/latencies.hpp"

namespace heronvane::standins {
namespace {

constexpr Microseconds kSecond = 1'000'000;

template <class T>
bool is(const Fate& f) {
  return std::holds_alternative<T>(f);
}

TEST(BehaviourTest, EqualSeedsGiveEqualDecisions) {
  Habits h;
  h.error_share = 0.2, h.reset_share = 0.2;
  Behaviour a(h, 7, 0), b(h, 7, 0), other(h, 8, 0);
  bool differs = false;
  for (Microseconds t = 0; t < 200; t++) {
    const auto x = a.decide(t, 1), y = b.decide(t, 1), z = other.decide(t, 1);
    ASSERT_EQ(x.index(), y.index());
    if (const auto* s = std::get_if<fate::Serve>(&x)) {
      ASSERT_EQ(s->latency, std::get<fate::Serve>(y).latency);
    }
    differs = differs || x.index() != z.index();
  }
  EXPECT_TRUE(differs);
}

TEST(BehaviourTest, HalfOfTheLatenciesAreBelowTheMedian) {
  Habits h;
  h.median = 10'000;
  Behaviour b(h, 1, 0);
  int below = 0;
  for (int i = 0; i < 1000; i++) below += std::get<fate::Serve>(b.decide(i, 1)).latency < 10'000;
  EXPECT_GT(below, 400);
  EXPECT_LT(below, 600);
}

TEST(BehaviourTest, ServesAtTheRateLimit) {
  Habits h;
  h.limit_per_s = 20;
  Behaviour b(h, 1, 0);
  int served = 0;
  for (Microseconds t = 0; t < 10 * kSecond; t += 10'000) served += is<fate::Serve>(b.decide(t, 1));
  // 200, and the burst that is available at the start.
  EXPECT_GE(served, 195);
  EXPECT_LE(served, 206);
}

TEST(BehaviourTest, RateLimitCountsTheMessagesOfABundle) {
  Habits h;
  h.limit_per_s = 40;  // a burst of 10
  Behaviour b(h, 1, 0);
  EXPECT_TRUE(is<fate::Serve>(b.decide(0, 8)));
  EXPECT_TRUE(is<fate::Refuse>(b.decide(0, 3)));
  EXPECT_TRUE(is<fate::Serve>(b.decide(0, 2)));
  // A call larger than the burst is let through when the token bucket is full.
  EXPECT_TRUE(is<fate::Refuse>(b.decide(kSecond / 8, 20)));
  EXPECT_TRUE(is<fate::Serve>(b.decide(kSecond / 4, 20)));
}

TEST(BehaviourTest, RecurringPeriodsBeginAndEnd) {
  Habits h;
  h.silent = {20 * kSecond, 3 * kSecond};
  h.wait = {50 * kSecond, 2 * kSecond};
  Behaviour b(h, 1, 5);
  EXPECT_TRUE(is<fate::Serve>(b.decide(5, 1)));
  EXPECT_TRUE(is<fate::Serve>(b.decide(20 * kSecond + 4, 1)));
  EXPECT_TRUE(is<fate::Silent>(b.decide(20 * kSecond + 5, 1)));
  EXPECT_TRUE(b.silent(23 * kSecond + 4));
  EXPECT_FALSE(b.silent(23 * kSecond + 5));
  const auto decision = b.decide(51 * kSecond + 5, 1);
  ASSERT_TRUE(is<fate::Wait>(decision));
  EXPECT_EQ(std::get<fate::Wait>(decision).remaining, kSecond);
}

TEST(BehaviourTest, FailsAndResetsTheConfiguredShares) {
  Habits h;
  h.error_share = 0.3, h.reset_share = 0.5;
  Behaviour b(h, 3, 0);
  int failed = 0, reset = 0, reset_after_effect = 0;
  for (int i = 0; i < 2000; i++) {
    const auto f = b.decide(i, 1);
    failed += is<fate::Fail>(f);
    if (const auto* r = std::get_if<fate::Reset>(&f)) reset++, reset_after_effect += r->took_effect;
  }
  EXPECT_NEAR(failed, 600, 100);
  EXPECT_NEAR(reset, 700, 100);  // half of the 70% of calls that did not fail
  EXPECT_NEAR(reset_after_effect, reset / 2, 80);
}

TEST(BehaviourTest, RejectsHabitsOutOfRange) {
  const auto behaviour_with = [](auto change) {
    Habits h;
    change(h);
    return Behaviour(h, 1, 0);
  };
  EXPECT_THROW(behaviour_with([](Habits& h) { h.error_share = 1.5; }), std::invalid_argument);
  EXPECT_THROW(behaviour_with([](Habits& h) { h.median = -1; }), std::invalid_argument);
  EXPECT_THROW(behaviour_with([](Habits& h) { h.limit_per_s = -1; }), std::invalid_argument);
  EXPECT_THROW(behaviour_with([](Habits& h) { h.silent = {2, 2}; }), std::invalid_argument);
  EXPECT_NO_THROW(behaviour_with([](Habits&) {}));
}

TEST(EffectsTest, CountsByMessage) {
  Effects e;
  e.ran("a"), e.ran("a"), e.ran("b");
  EXPECT_EQ(e.times("a"), 2u);
  EXPECT_EQ(e.times("b"), 1u);
  EXPECT_EQ(e.times("c"), 0u);
  e.forget("a");
  EXPECT_EQ(e.times("a"), 0u);
  EXPECT_EQ(e.messages(), 1u);
}

TEST(LatenciesTest, QuantilesOfTheLastWindow) {
  Latencies l(kSecond);
  EXPECT_EQ(l.quantile(0, 0.5), -1);
  l.add(0, 1'000'000);  // outside the window when the quantile is read
  for (Microseconds i = 1; i <= 100; i++) l.add(kSecond + i, i);
  EXPECT_EQ(l.quantile(kSecond + 100, 0.5), 50);
  EXPECT_EQ(l.quantile(kSecond + 100, 0.99), 99);
  EXPECT_EQ(l.quantile(kSecond + 100, 1), 100);
  EXPECT_EQ(l.quantile(3 * kSecond, 0.5), -1);
}

}  // namespace
}  // namespace heronvane::standins

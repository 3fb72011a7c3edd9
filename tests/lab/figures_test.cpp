// Figures of forged runs.
#include "lab/figures.hpp"

#include <gtest/gtest.h>

namespace heronvane::lab {
namespace {

constexpr Microseconds kMs = 1'000, kS = 1'000'000;

class FiguresTest : public ::testing::Test {
 protected:
  FiguresTest() {
    x.title = "t", x.length = 30 * kS, x.warm = 2 * kS;
    x.traffic.classes = {{"safe", 1, 1, 0, kS, 6 * kS, Effect::safe}};
    plan.relays = {{"n0", 0, 1}};
    plan.destinations = {{"d0", 1, 1, 10, false, false, {0}}};
    plan.endpoints = {{"e0", 0, 0}};
    plan.endpoints_at_start = 1;
    run.end = 30 * kS;
  }
  void message(Microseconds at, Microseconds took) {
    const auto id = "m" + std::to_string(run.history.size());
    const auto add = [&](Microseconds when, Kind kind) -> Event& {
      auto& e = run.history.emplace_back();
      e.at = when, e.kind = kind, e.id = id, e.relay = 0, e.endpoint = 0, e.destination = 0;
      return e;
    };
    auto& sent = add(at, Kind::sent);
    sent.message_class = 0, sent.until = at + 6 * kS, sent.value = 1;
    add(at + kMs, Kind::taken);
    add(at + 2 * kMs, Kind::call);
    if (took > 0) add(at + took, Kind::answered);
  }
  Figures all() {
    std::stable_sort(run.history.begin(), run.history.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    return figures(run, plan, x);
  }
  Experiment x;
  Plan plan;
  RunResult run;
};

TEST_F(FiguresTest, WorthFallsWithTime) {
  message(1 * kS, 500 * kMs);  // 1
  message(2 * kS, 2 * kS);     // half
  message(3 * kS, 3 * kS);     // a quarter
  message(4 * kS, 0);
  const auto f = all();
  EXPECT_DOUBLE_EQ(f.offered_worth, 4);
  EXPECT_NEAR(f.served_worth, 1.75, 1e-9);
  EXPECT_NEAR(f.accept_p50_ms, 1, 0.03);
}

// Full service: worth, p99 and what is held as before, for 2 s.
TEST_F(FiguresTest, FullServiceComesWhenTheBacklogIsGone) {
  for (Microseconds at = 0; at < 30 * kS; at += 20 * kMs) {
    Microseconds took = 50 * kMs;
    if (at >= 10 * kS && at < 14 * kS) took = 14 * kS - at + 50 * kMs;  // nothing is served for 4 s
    message(at, took);
  }
  Strike s;
  s.at = 10 * kS;
  plan.strikes = {s};
  const auto f = all();
  ASSERT_TRUE(f.full_service_s);
  EXPECT_NEAR(*f.full_service_s, 4.5, 0.51);
  EXPECT_NEAR(f.before_worth, 50, 1);
}
TEST_F(FiguresTest, FullServiceMayNotComeBack) {
  for (Microseconds at = 0; at < 30 * kS; at += 20 * kMs)
    message(at, at >= 10 * kS && at % (40 * kMs) == 0 ? 0 : 50 * kMs);
  Strike s;
  s.at = 10 * kS;
  plan.strikes = {s};
  EXPECT_FALSE(all().full_service_s);
}
TEST_F(FiguresTest, ThePeakIsOfCallsOverWhatIsTakenThen) {
  for (int i = 0; i < 30; i++) message(10 * kS + i * 10 * kMs, 20 * kMs);
  for (Microseconds at = 0; at < 30 * kS; at += 100 * kMs) run.samples.push_back({at, {10.0}, 0, 1});
  const auto f = all();
  EXPECT_NEAR(f.peak_over, 3, 0.01);
  EXPECT_EQ(f.peak_at, "d0 at 10 s");
}

}  // namespace
}  // namespace heronvane::lab

#include "send_rate.hpp"

#include <algorithm>

#include "rejections.hpp"

namespace heronvane::dispatch {
namespace {

constexpr double kCutFactor = 0.85;
constexpr double kGrowthPerSecond = 0.15;     // share of the rate
constexpr double kStepPerObjective = 0.25;    // calls a second and second, times the latency objective
constexpr double kMostOfServedRate = 1.25;    // a cut starts from no more than this times the served rate
constexpr double kBurstSeconds = 0.3;         // of the rate, as the most tokens that can be saved up
constexpr double kLeastRaiseSpanSeconds = 1;  // a raise covers no more than this,
constexpr double kRaiseSpanCalls = 2;         // or the time of so many calls at the present rate

}  // namespace

Microseconds SendRate::ready_at() const {
  if (!is_bounded() || tokens_ >= 1) {
    return settled_at_;
  }
  return settled_at_ + microseconds((1 - tokens_) / calls_per_s_) + 1;
}

void SendRate::cut(Microseconds now, double served_per_s, double least_per_s) {
  if (now - cut_at_ < microseconds(kRejectionEventSeconds)) {
    return;
  }
  const double recent = std::max(served_per_s, least_per_s);
  if (is_bounded()) {
    calls_per_s_ = std::max(std::min(calls_per_s_, kMostOfServedRate * recent) * kCutFactor, least_per_s);
  } else {
    tokens_ = 0;
    calls_per_s_ = recent;
  }
  cut_at_ = now;
  raised_at_ = now;
  settled_at_ = now;  // a cut discards the tokens earned since the last call
}

void SendRate::raise(Microseconds now, double shortest_latency_objective_s) {
  if (is_bounded()) {
    const double longest = std::max(kLeastRaiseSpanSeconds, kRaiseSpanCalls / calls_per_s_);
    const double span = std::min(seconds(now - raised_at_), longest);
    settle_tokens(now);
    calls_per_s_ +=
        span * (kGrowthPerSecond * calls_per_s_ + kStepPerObjective / shortest_latency_objective_s);
  }
  raised_at_ = now;
}

void SendRate::consume(Microseconds now) {
  if (!is_bounded()) {
    return;
  }
  settle_tokens(now);
  tokens_ -= 1;
}

void SendRate::restore(Microseconds now, double calls_per_s, bool replaces) {
  if (replaces) {
    calls_per_s_ = kUnbounded;
  }
  if (calls_per_s > 0) {
    calls_per_s_ = std::min(calls_per_s_, calls_per_s);
  }
  tokens_ = 0;
  settled_at_ = now;
  raised_at_ = now;
}

void SendRate::settle_tokens(Microseconds now) {
  const double most = std::max(1.0, calls_per_s_ * kBurstSeconds);
  tokens_ = std::min(tokens_ + calls_per_s_ * seconds(now - settled_at_), most);
  settled_at_ = now;
}

}  // namespace heronvane::dispatch

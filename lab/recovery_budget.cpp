#include "recovery_budget.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace heronvane::lab {
namespace {

constexpr double kSmallBudget = 30;  // calls; below, chance weighs more

double weight_of(const ColdCall& call) {
  const double further = call.messages > 1 ? static_cast<double>(call.messages - 1) : 0;
  return 1 + kFurtherMessageWeight * further;
}

}  // namespace

double most_calls(double allowed) {
  const double slack = allowed < kSmallBudget ? 3 : 2;
  return allowed + slack * std::sqrt(allowed) + slack;
}

double ColdLoad::weight() const {
  double sum = 0;
  for (const ColdCall& call : calls) sum += weight_of(call);
  return sum;
}

double ColdLoad::weight_of_those_who_saw() const {
  double sum = 0;
  for (const ColdCall& call : calls)
    if (call.relay_saw_outage) sum += weight_of(call);
  return sum;
}

std::string text(const ColdLoad& load) {
  std::ostringstream line;
  line << load.calls.size() << " calls of weight " << load.weight() << " where " << most_calls(load.allowed)
       << " may come:";
  for (const ColdCall& call : load.calls) {
    line << " " << call.at / 1000 << "ms/n" << call.relay << "/" << call.messages;
    if (call.relay_saw_outage) line << "/saw";
  }
  return line.str();
}

void RecoveryBudget::returned(Microseconds now) {
  returned_at_ = now;
  calls_.clear();
}

void RecoveryBudget::outage_began() { calls_.clear(); }

bool RecoveryBudget::is_cold(Microseconds now) const { return returned_at_ && warmth(now) < 1; }

double RecoveryBudget::warmth(Microseconds now) const {
  if (!returned_at_) return 1;
  const auto passed = static_cast<double>(std::max<Microseconds>(0, now - *returned_at_));
  const double risen = (1 - options_.cold_from) * passed / static_cast<double>(options_.cold);
  return std::min(1.0, options_.cold_from + risen);
}

double RecoveryBudget::mean_warmth(Microseconds now) const {
  const Microseconds begin = now - options_.overload_for;
  const Microseconds rising_from = std::max(begin, *returned_at_);
  const double rising_part =
      static_cast<double>(now - rising_from) / static_cast<double>(options_.overload_for);
  const double rising_mean = (warmth(rising_from) + warmth(now)) / 2;
  return (1 - rising_part) * options_.cold_from + rising_part * rising_mean;
}

std::optional<ColdLoad> RecoveryBudget::add(const ColdCall& call, double limit_per_s) {
  if (!is_cold(call.at)) {
    calls_.clear();
    return std::nullopt;
  }
  calls_.push_back(call);
  while (calls_.front().at < call.at - options_.overload_for) calls_.pop_front();
  const double window_s = static_cast<double>(options_.overload_for) / 1e6;
  ColdLoad load;
  load.allowed = options_.fall_multiple * limit_per_s * mean_warmth(call.at) * window_s;
  load.calls.assign(calls_.begin(), calls_.end());
  return load;
}

}  // namespace heronvane::lab

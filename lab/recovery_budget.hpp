// How much may be sent to a destination that has returned cold from an outage before it falls over.
//
// The terms count it as a budget (WIRE, fourth rule; the operators' standing test gives the slack): with N,
// the calls that the settings allow in the window, it falls when it gets more than N + 2 * sqrt(N) + 2 calls,
// or of an N under 30 more than N + 3 * sqrt(N) + 3. A call with several messages weighs a little more than
// one with a single message. No I/O and no clock; times are microseconds of the run and never go back.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "plan.hpp"

namespace heronvane::lab {

// The most that may come in a window for which the settings allow `allowed` calls.
double most_calls(double allowed);

// What each further message of a call weighs, of a call with one: the most that the operators' pages name for
// its work.
constexpr double kFurtherMessageWeight = 0.25;

// A call that came to a cold destination.
struct ColdCall {
  Microseconds at = 0;
  Index relay = kNobody;
  std::size_t messages = 0;
  bool relay_saw_outage = false;  // a call of it failed or was refused there during the outage
};

// What came within one window of time.
struct ColdLoad {
  double allowed = 0;  // N
  std::vector<ColdCall> calls;

  // In calls with a single message.
  double weight() const;
  double weight_of_those_who_saw() const;
  // Of what may come, the share that came: over 1, it is too much.
  double share() const { return weight() / most_calls(allowed); }
  double share_of_those_who_saw() const { return weight_of_those_who_saw() / most_calls(allowed); }
};

// For people who read a trace: what may come, and each call with its relay.
std::string text(const ColdLoad& load);

// The calls to one destination, or route, since it returned, as far as they lie in the window that ends now.
class RecoveryBudget {
 public:
  explicit RecoveryBudget(const Destinations& options) : options_(options) {}

  // It returned from an outage: cold, with its calls forgotten.
  void returned(Microseconds now);
  // It is out again.
  void outage_began();
  bool is_cold(Microseconds now) const;
  // The share of its limit that it can take.
  double warmth(Microseconds now) const;
  // A call comes; nothing where it is warm. `limit_per_s`: what it takes when it is warm.
  std::optional<ColdLoad> add(const ColdCall& call, double limit_per_s);

 private:
  // The mean of the warmth in the window that ends now; before its return it counts as at its return.
  double mean_warmth(Microseconds now) const;

  Destinations options_;
  std::optional<Microseconds> returned_at_;
  std::deque<ColdCall> calls_;
};

}  // namespace heronvane::lab

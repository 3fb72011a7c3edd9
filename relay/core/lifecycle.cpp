#include "core/lifecycle.hpp"

#include <array>

namespace heronvane {
namespace {

// In the order of Lifecycle::Phase.
constexpr std::array<Lifecycle::Rules, 3> kRules = {{
    {.reports_ready = true, .decides = true, .may_leave_requests = false},   // running
    {.reports_ready = false, .decides = true, .may_leave_requests = false},  // stopping
    {.reports_ready = false, .decides = false, .may_leave_requests = true},  // awaiting_calls
}};

}  // namespace

Lifecycle::Rules Lifecycle::rules() const { return kRules.at(static_cast<std::size_t>(phase_)); }

bool Lifecycle::begin_stop(Microseconds now) {
  if (phase_ != Phase::running) return false;
  phase_ = Phase::stopping;
  stop_began_ = now;
  return true;
}

bool Lifecycle::advance(Microseconds now) {
  if (phase_ != Phase::stopping || now - stop_began_ < kBeginCallsTime) return false;
  phase_ = Phase::awaiting_calls;
  return true;
}

bool Lifecycle::is_done(Microseconds now, const OpenWork& work) const {
  if (now - stop_began_ >= kShutdownTime) return true;
  const bool upstream_idle = work.calls_in_flight == 0 && !work.notifications_owed &&
                             (work.requests_held == 0 || rules().may_leave_requests);
  const bool clients_gone = accept_time_is_over(now) && work.client_connections == 0 && !work.requests_queued;
  return upstream_idle && clients_gone && !work.writes_pending;
}

}  // namespace heronvane

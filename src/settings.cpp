// Which settings make sense.
#include <stdexcept>
#include <string>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

void validate(const Settings& s) {
  const auto need = [](bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("settings: ") + what);
  };
  need(!s.classes.empty(), "classes: at least one is needed");
  for (const auto& c : s.classes) {
    need(c.latency_objective > 0, "classes.aim: must be above 0");
    need(c.deadline > 0, "classes.deadline: must be above 0");
    need(c.priority_weight >= 0 && c.weight_at_deadline >= 0,
         "classes.worth and late_worth: must not be negative");
    need(c.key_window >= 0, "classes.key_window: must not be negative");
  }
  for (const auto& k : s.kinds) need(k.max_batch_size >= 1, "kinds.bundle_max: must be 1 or more");
  for (const auto& t : s.tenants) need(t.quota_per_s >= 0, "tenants.quota_per_s: must not be negative");
  need(s.relays >= 1, "relays: must be 1 or more");
  need(s.max_concurrent_calls >= 1, "slots: must be 1 or more");
  need(s.max_in_flight >= 1, "open_max: must be 1 or more");
  need(s.max_attempts >= 1, "attempts_max: must be 1 or more");
  need(s.min_decision_interval >= 0, "tick: must not be negative");
  need(s.connect_timeout >= 0, "connect_timeout: must not be negative");
  need(s.connection_idle_timeout >= 0, "connection_idle: must not be negative");
  need(s.drain_grace >= 0 && s.max_poll_interval >= 0 && s.key_quiet_period >= 0 && s.answer_grace >= 0,
       "drain_grace, must_ask_in, settle_after_doubt, answer_slack: must not be negative");
  need(s.collapse_factor > 0, "fall_multiple: must be above 0");
  need(s.collapse_period >= 0 && s.slow_start_window >= 0, "overload_for and cold: must not be negative");
  need(s.slow_start_min_share >= 0 && s.slow_start_min_share <= 1, "cold_from: must lie between 0 and 1");
}

}  // namespace heronvane::dispatch

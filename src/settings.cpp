// Validation of the settings.
#include <stdexcept>
#include <string>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

void validate(const Settings& settings) {
  const auto require = [](bool is_valid, const char* message) {
    if (!is_valid) throw std::invalid_argument(std::string("settings: ") + message);
  };
  require(!settings.classes.empty(), "classes: at least one is needed");
  for (const auto& class_settings : settings.classes) {
    require(class_settings.latency_objective > 0, "classes.aim: must be above 0");
    require(class_settings.deadline > 0, "classes.deadline: must be above 0");
    require(class_settings.priority_weight >= 0 && class_settings.weight_at_deadline >= 0,
            "classes.worth and late_worth: must not be negative");
    require(class_settings.key_window >= 0, "classes.key_window: must not be negative");
  }
  for (const auto& kind : settings.kinds)
    require(kind.max_batch_size >= 1, "kinds.bundle_max: must be 1 or more");
  for (const auto& tenant : settings.tenants)
    require(tenant.quota_per_s >= 0, "tenants.quota_per_s: must not be negative");
  require(settings.relays >= 1, "relays: must be 1 or more");
  require(settings.max_concurrent_calls >= 1, "slots: must be 1 or more");
  require(settings.max_in_flight >= 1, "open_max: must be 1 or more");
  require(settings.max_attempts >= 1, "attempts_max: must be 1 or more");
  require(settings.min_decision_interval >= 0, "tick: must not be negative");
  require(settings.connect_timeout >= 0, "connect_timeout: must not be negative");
  require(settings.connection_idle_timeout >= 0, "connection_idle: must not be negative");
  require(settings.drain_grace >= 0 && settings.max_poll_interval >= 0 && settings.key_quiet_period >= 0 &&
              settings.answer_grace >= 0,
          "drain_grace, must_ask_in, settle_after_doubt, answer_slack: must not be negative");
  require(settings.collapse_factor > 0, "fall_multiple: must be above 0");
  require(settings.collapse_period >= 0 && settings.slow_start_window >= 0,
          "overload_for and cold: must not be negative");
  require(settings.slow_start_min_share >= 0 && settings.slow_start_min_share <= 1,
          "cold_from: must lie between 0 and 1");
}

}  // namespace heronvane::dispatch

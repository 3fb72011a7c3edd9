// What goes into the decision module and what comes out of it, in types of this program's own: the settings,
// events, actions and learned state of one module instance. A binding (binding_*.hpp) converts them to and
// from the module's public API. All times and durations are in microseconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace decisions {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

// The module's enums, by position: each value's number is the one of the module's value.
enum class Idempotency { idempotent, keyed, non_idempotent };
enum class KeyScope { destination, zone, cell };
enum class Decay { linear, half_life };
enum class WeightKind { none, nominal, rough };
enum class Outcome { served, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };
enum class Listing { active, draining, removed };
enum class Health { healthy, ejected, slow_start };

struct ClassSettings {
  double priority_weight = 1;
  double weight_at_deadline = 0;
  Micros latency_objective = 1'000'000;
  Micros deadline = 5'000'000;
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::destination;
  Micros key_window = 0;
  bool ordered = false;
};

struct KindSettings {
  bool separate_endpoints = false;
  int batch_max = 1;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<double> tenant_quotas_per_s;
  std::vector<double> zone_fees;
  Decay decay = Decay::linear;
  WeightKind weights = WeightKind::none;
  double over_quota_weight = 1;
  int relays = 1;
  int relay_index = 0;
  int zone = 0;
  int slots = 1;
  int in_flight_max = 1;
  int attempts_max = 1;
  bool hedging = false;
  bool cancelling = false;
  bool health_checks = false;
  bool gossip = false;
  bool subscribe = false;
  Micros tick = 1'000;
  Micros connect_timeout = 1'000'000;
  Micros connection_idle = 10'000'000;
  Micros retry_after_max = 0;
  Micros answer_slack = 0;
  Micros drain_grace = 0;
  Micros poll_interval_max = 0;
  Micros key_quiet_period = 0;
  double collapse_factor = 2;
  Micros overload_span = 1'000'000;
  double slow_start_share = 0.2;
  Micros slow_start_window = 10'000'000;
};

struct Endpoint {
  std::string id;
  std::int64_t destination = 0;
  int zone = 0;
  int kind = 0;
  Listing listing = Listing::active;
  double weight = 1;
  Micros added_at = 0;
};

// One entry of the state that the module gives out to outlast a restart.
struct LearnedState {
  std::string endpoint;
  std::int64_t destination = 0;
  Health health = Health::healthy;
  Micros health_age = 0;
  double usual_rate = 0;
  double budget = 0;
  int failures_in_row = 0;
  double failure_share = 0;
  bool outcome_unknown = false;
  int batch = 0;
  Micros wait_left = 0;
  double backoff = 0;
  double send_rate = 0;
  int rejections = 0;
  Micros rejected_age = 0;
  double admission = 1;
  bool blank = false;  // by the module's own test; not handed back to it
};

namespace event {
struct ListComplete {
  std::vector<Endpoint> endpoints;
  bool cached = false;
};
struct ListChanges {
  std::vector<Endpoint> endpoints;
};
struct ListFailed {};
struct Arrival {
  RequestId id = 0;
  std::int64_t destination = 0;
  int request_class = 0;
  int tenant = -1;
  Micros time_left = 0;
  std::string order_key;
  bool repeated = false;
};
struct Recovered {
  Arrival request;
  int attempts = 0;
  bool attempted = false;
  std::optional<int> possibly_executed_zone;
  Micros possibly_executed_ago = 0;
};
struct Restored {
  LearnedState state;
  Micros age = 0;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  std::string endpoint;
  Outcome outcome = Outcome::served;
  Micros latency = 0;
  bool closed = false;
  Micros retry_after = 0;
  double limit_left = -1;
  double limit_rate = -1;
};
struct Withdrawn {
  RequestId id = 0;
};
struct TimerDue {
  std::uint64_t token = 0;
};
struct HealthCheckEnded {
  std::string endpoint;
  Outcome outcome = Outcome::served;
  Micros latency = 0;
};
struct Gossip {
  int from = 0;
  std::string body;
};
}  // namespace event

using Event = std::variant<event::ListComplete, event::ListChanges, event::ListFailed, event::Arrival,
                           event::Recovered, event::Restored, event::AttemptEnded, event::Withdrawn,
                           event::TimerDue, event::HealthCheckEnded, event::Gossip>;

namespace action {
struct Send {
  RequestId id = 0;
  std::string endpoint;
  Micros timeout = 0;
  std::optional<Micros> begin_within;
};
struct Reject {
  RequestId id = 0;
  Micros retry_after = 0;
};
struct Fail {
  RequestId id = 0;
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct CloseIdle {
  std::string endpoint;
};
struct SetTimer {
  Micros after = 0;
  std::uint64_t token = 0;
};
struct FetchList {};
struct Subscribe {
  bool on = true;
};
struct HealthCheck {
  std::string endpoint;
};
struct Gossip {
  int to = -1;
  std::string body;
};
struct Log {
  std::string text;
};
}  // namespace action

using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel, action::CloseIdle,
                            action::SetTimer, action::FetchList, action::Subscribe, action::HealthCheck,
                            action::Gossip, action::Log>;

}  // namespace decisions

// The decisions of a relay that delivers requests to endpoints of outside destinations.
//
// A relay feeds one Dispatcher the events it sees and carries out the actions that come back, one
// handle() a round. The dispatcher never blocks, does no input or output, reads no clock and keeps
// no state outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Names (zones, kinds, classes, tenants) do not appear:
// events carry positions in the lists of the settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heronvane::dispatch {

using Microseconds = std::int64_t;
using MessageId = std::uint64_t;
using EndpointId = std::string;
using DestinationId = std::int64_t;

// What a repeated delivery of a request may do: `keyed` is idempotent by its idempotency key.
enum class Idempotency { idempotent, keyed, non_idempotent };
enum class KeyScope { all, zone, cell };         // which endpoints of a destination drop repeats
enum class WeightDecay { linear, half_life };    // how a request's weight falls after the latency objective
enum class WeightKind { none, nominal, rough };  // what Endpoint::weight holds

struct ClassSettings {
  double priority_weight = 1;                  // full weight of a request
  double weight_at_deadline = 0;               // share of it that is left at the deadline
  Microseconds latency_objective = 1'000'000;  // delivered within this time, it earns the full weight
  Microseconds deadline = 5'000'000;           // how long it may be delivered at all
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Microseconds key_window = 0;  // keyed: how long a destination remembers the key
  bool ordered = false;         // requests with the same order key go one at a time
};

struct KindSettings {                // a kind of destination
  bool per_endpoint_limits = false;  // each endpoint has its own limit, send rate and outages
  int max_batch_size = 1;            // requests in one call at most
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second, over all relays
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // may be empty
  std::vector<double> zone_costs;       // price of a route apart, by zone; may be empty
  WeightDecay decay = WeightDecay::linear;
  WeightKind weights = WeightKind::none;
  double over_quota_weight = 1;  // weight beyond a tenant's quota, as a fraction
  int relays = 1;                // how many relays share the destinations
  int relay_index = 0;           // which of them this is
  int zone = 0;                  // where this relay stands
  int max_concurrent_calls = 1;  // calls in flight at once
  int max_in_flight = 1;         // requests held at once
  int max_attempts = 1;          // attempts for one request
  bool hedging = false;          // two attempts of a request may be in flight together
  bool cancellation = false;
  bool health_checks = false;
  bool gossip = false;
  bool list_subscription = false;              // list changes come only to those that subscribed
  Microseconds min_decision_interval = 1'000;  // least time between rounds
  Microseconds connect_timeout = 1'000'000;
  Microseconds connection_idle_timeout = 10'000'000;  // idle connections close by themselves after this
  Microseconds retry_after_max = 0;                   // longest advised absence that a client obeys
  Microseconds answer_grace = 0;                      // final answers are accepted so long past the deadline
  Microseconds drain_grace = 0;
  Microseconds max_poll_interval = 0;           // 0: no such rule
  Microseconds key_quiet_period = 0;            // rest of an order key after an attempt in doubt
  double collapse_factor = 2;                   // times present capacity that topples a cold destination
  Microseconds collapse_period = 1'000'000;     // when kept up for so long
  double slow_start_min_share = 0.2;            // share of capacity right after an outage
  Microseconds slow_start_window = 10'000'000;  // warm after this at the latest
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

enum class Outcome { served, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// Load report of a destination; a negative value was not reported.
struct LoadReport {
  double limit_remaining = -1;  // share of the limit that is left
  double limit_rate = -1;       // calls a second that the limit allows; 0 where there is none
};

enum class Listing { active, draining, gone };

struct Endpoint {
  EndpointId id;
  DestinationId destination = 0;
  int zone = 0;
  int kind = 0;
  Listing listing = Listing::active;
  double weight = 1;
  // When it was added, as the list tells it: by the clock of who wrote the list, compared with nothing but
  // what another list tells. 0: long ago.
  Microseconds since = 0;
};

// ejected: gets health checks by single requests alone; slow_start: back after an outage, perhaps still
// warming up.
enum class Health { healthy, ejected, slow_start };

// What was learned of an endpoint, and of the target it belongs to: its destination, or the route itself
// where routes are apart. The default is what is known of a target never called. Times are reckoned from
// the `now` at which it is given out.
struct LearnedState {
  EndpointId endpoint;
  DestinationId destination = 0;
  // The endpoint. What follows its health is meant only where it is not open.
  Health health = Health::healthy;
  Microseconds time_in_health = 0;              // in it, or closed anew, for so long
  double baseline_rate = 0;                     // calls a second of this relay before the outage
  double slow_start_budget = 0;                 // calls allowed at once, 0 to 1
  int consecutive_failures = 0;                 // failed calls since the last serve
  double failure_rate = 0;                      // share of failing calls, 0 to 1
  bool last_failure_possibly_executed = false;  // the last failed call may have run
  int batch_size = 0;                           // messages trusted to one call; 0: unknown
  // The target.
  Microseconds retry_after_left = 0;     // of a Retry-After
  double backoff_delay = 0;              // in seconds, as aged; 0: none worth keeping
  double send_rate = 0;                  // calls a second of this relay; 0: unbounded
  int consecutive_rejections = 0;        // since the last serve
  Microseconds first_rejection_age = 0;  // how long ago the first of them was
  double admission_probability = 1;      // share of attempts let through after refusals, above 0

  // Nothing is known that is worth keeping: a store can drop its record.
  bool blank() const {
    return health == Health::healthy && retry_after_left <= 0 && backoff_delay <= 0 && send_rate <= 0 &&
           admission_probability >= 1;
  }
};

namespace event {
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;
};  // cached: as last seen
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
struct EndpointListFailed {};
struct RequestArrived {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;
  int tenant = -1;  // -1: none
  Microseconds time_left = 0;
  std::string order_key;  // empty: none
  bool repeat = false;    // the client hands it in again
};
// A request that a previous incarnation of this relay had taken on, with what is known of its attempts. One
// that was not tried yet goes before what comes in now, and is tried in its time where a wait, an outage or a
// pace does not keep it back all along.
struct RequestRecovered {
  RequestArrived message;  // time_left may be below 0
  int attempts = 0;        // made so far; further ones count on from there
  bool tried = false;      // one of them may have reached an endpoint
  // Where one of them may have run (also one whose outcome was never seen): the first such, and how long ago.
  std::optional<int> possibly_executed_zone;
  Microseconds possibly_executed_age = 0;
};
// What a previous incarnation of this relay had learned (Dispatcher::take_changed_state), `age` ago (at least
// 0). Comes after the list that names its endpoint, best in the same round; ignored where the endpoint is not
// listed. Where endpoints share a target and the destination is another now, its part is ignored. Values out
// of range are brought into it.
// - Of the records of a target's endpoints the latest counts for the target, in whatever order they come.
// - Nothing overwrites what is newer: only the first record of an endpoint counts, its part only until a call
//   there has ended, the target's until one at the target has. But a Retry-After holds in any case.
// - In the time that passed waits run off, the delay ages and a ramp goes on. A closed endpoint stays as it
//   was, for nobody looked after it; its next trial comes after a whole jittered delay.
struct LearnedStateRestored {
  LearnedState state;
  Microseconds age = 0;
};
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Microseconds latency = 0;
  bool request_completed = false;  // the message is over
  Microseconds retry_after = 0;    // nothing to that destination for so long, whatever the outcome
  LoadReport load_report;
};
struct RequestWithdrawn {
  MessageId id = 0;
};
struct TimerExpired {
  std::uint64_t token = 0;
};
struct HealthCheckEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Microseconds latency = 0;
  LoadReport load_report;
};
struct GossipReceived {
  int from = 0;
  std::string body;
};
}  // namespace event

using Event = std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListFailed,
                           event::RequestArrived, event::RequestRecovered, event::LearnedStateRestored,
                           event::AttemptEnded, event::RequestWithdrawn, event::TimerExpired,
                           event::HealthCheckEnded, event::GossipReceived>;

namespace action {
// Attempts of a message count from 0 in the order of their sends.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Microseconds timeout = 0;
  // Its call may begin within this alone, for its destination forgets the message's key then: one whose
  // connection is not up by then ends as not sent. Nothing where it may begin whenever.
  std::optional<Microseconds> start_within;
};
struct Reject {
  MessageId id = 0;
  Microseconds retry_after = 0;
};  // final; handing it in again is harmless
struct Fail {
  MessageId id = 0;
};  // final; promises nothing
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
struct CloseIdle {
  EndpointId endpoint;
};
struct SetTimer {
  Microseconds after = 0;
  std::uint64_t token = 0;
};
struct PollEndpointList {};
struct Subscribe {
  bool on = true;
};
struct CheckHealth {
  EndpointId endpoint;
};
struct SendGossip {
  int peer = -1;
  std::string body;
};  // -1: every peer
struct Log {
  std::string text;
};
}  // namespace action

using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel, action::CloseIdle,
                            action::SetTimer, action::PollEndpointList, action::Subscribe,
                            action::CheckHealth, action::SendGossip, action::Log>;

class Dispatcher {
 public:
  // Throws std::invalid_argument where the settings make no sense.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  // One round: all events happen at `now` (which never goes back); the actions take effect at `now`,
  // in order. `actions` is appended to.
  void handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions);

  // What is worth keeping over a restart and has changed since it was last given, one entry an endpoint, at
  // most `most` entries; the rest come with the next call. `now` never goes back, here and in handle().
  // Changes of health and Retry-Afters come at once, all others of an endpoint once a second at most, and
  // only when they are large. What is blank again, or left the list, is given once as blank; that the time
  // of a wait, a delay or a ramp is up comes so too. A change of a target is given for each of its
  // endpoints. Costs what has changed, not what is listed. Changes no decision.
  std::vector<LearnedState> take_changed_state(Microseconds now, std::size_t most);

  // For an observer: what is known now of each endpoint that is listed, in the order of the destinations.
  // Those of which nothing is known (blank) are left out once `most` entries are in `known`; all others
  // once there are four times as many. Changes nothing.
  void endpoint_states(Microseconds now, std::size_t most, std::vector<LearnedState>& known) const;

  // How many messages are ready to go and were not sent.
  std::size_t queued_requests() const;

  // How many endpoints, destinations, messages, order keys, calls and changes to give out are kept: a gauge
  // of memory.
  std::size_t retained_objects() const;

 private:
  friend class DispatcherFactory;  // of the module's own tests
  class State;
  explicit Dispatcher(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace heronvane::dispatch

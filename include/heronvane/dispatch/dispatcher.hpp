// The decisions of a relay that delivers requests to endpoints of outside destinations.
//
// A relay passes the events it sees to one Dispatcher and carries out the actions that it returns; each call
// of handle() is one decision pass. The dispatcher never blocks, does no input or output, reads no clock and
// keeps no state outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Zones, kinds, classes and tenants are given as positions in
// the lists of the settings, not by name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heronvane::dispatch {

// A duration, or a moment on the caller's monotonic clock.
using Microseconds = std::int64_t;
// Names a request for as long as the dispatcher holds it.
using MessageId = std::uint64_t;
// Names an endpoint over all destinations.
using EndpointId = std::string;
// Names a destination: the outside receiver that its endpoints belong to.
using DestinationId = std::int64_t;

// Whether a request may be executed more than once. `keyed`: a repeat is harmless where the destination
// recognizes its idempotency key.
enum class Idempotency { idempotent, keyed, non_idempotent };
// Which endpoints of a destination recognize an idempotency key that one of them has seen.
enum class KeyScope { all, zone, cell };
// How a request's weight falls after the latency objective.
enum class WeightDecay { linear, half_life };
// What Endpoint::weight holds.
enum class WeightKind { none, nominal, rough };

// A class of requests.
struct ClassSettings {
  double priority_weight = 1;                  // full weight of a request
  double weight_at_deadline = 0;               // share of the full weight left at the deadline
  Microseconds latency_objective = 1'000'000;  // a request delivered within this earns the full weight
  Microseconds deadline = 5'000'000;           // longest time until delivery
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Microseconds key_window = 0;  // keyed: how long a destination remembers the key
  bool ordered = false;         // requests with the same order key are sent one at a time
};

// A kind of destination.
struct KindSettings {
  bool per_endpoint_limits = false;  // each endpoint has its own limit, send rate and outages
  int max_batch_size = 1;            // most requests in one call
};

// A tenant, whose requests count against one quota.
struct TenantSettings {
  double quota_per_s = 0;  // requests a second, over all relays
};

// Everything that decisions depend on apart from events and the seed. Constant during a dispatcher's life.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // may be empty
  std::vector<double> zone_costs;  // by zone, the relative extra cost of a call to an endpoint with its own
                                   // limits; may be empty
  WeightDecay decay = WeightDecay::linear;
  WeightKind weights = WeightKind::none;
  double over_quota_weight = 1;  // factor on the weight of requests beyond a tenant's quota
  int relays = 1;                // how many relays share the destinations
  int relay_index = 0;           // this relay's position among them
  int zone = 0;                  // this relay's zone
  int max_concurrent_calls = 1;  // most calls in flight at once
  int max_in_flight = 1;         // most requests held at once
  int max_attempts = 1;          // most attempts for one request
  bool hedging = false;          // two attempts of a request may be in flight together
  bool cancellation = false;
  bool health_checks = false;
  bool gossip = false;
  bool list_subscription = false;              // list changes are sent only to relays that subscribed
  Microseconds min_decision_interval = 1'000;  // least time between two passes
  Microseconds connect_timeout = 1'000'000;
  Microseconds connection_idle_timeout = 10'000'000;  // an idle connection times out after this
  Microseconds retry_after_max = 0;                   // longest Retry-After that a client obeys
  Microseconds answer_grace = 0;                      // how long past the deadline a final answer is accepted
  Microseconds drain_grace = 0;
  Microseconds max_poll_interval = 0;  // longest time between two polls; 0: no limit
  Microseconds key_quiet_period = 0;   // of an order key, after an attempt with an unknown outcome
  double collapse_factor = 2;  // load that collapses a cold destination, in multiples of its present capacity
  Microseconds collapse_period = 1'000'000;     // how long such a load must last
  double slow_start_min_share = 0.2;            // share of the capacity that is there right after an outage
  Microseconds slow_start_window = 10'000'000;  // longest time until it is warm
};

// Throws std::invalid_argument that names the first invalid setting.
void validate(const Settings& settings);

// How an attempt ended. After `rejected`, `connect_failed` or `not_sent` the request was provably not
// executed; after the others it may have been.
enum class Outcome { served, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// Load report of a destination; a negative value was not reported.
struct LoadReport {
  double limit_remaining = -1;  // share of the limit that is left
  double limit_rate = -1;       // calls a second that the limit allows; 0 where there is none
};

// An endpoint's state in the endpoint list. Only active endpoints get new attempts.
enum class Listing { active, draining, gone };

// An entry of the endpoint list.
struct Endpoint {
  EndpointId id;
  DestinationId destination = 0;
  int zone = 0;
  int kind = 0;
  Listing listing = Listing::active;
  double weight = 1;
  // When it was added, by the clock of the list's author: comparable only with the times in other lists. 0
  // means long ago.
  Microseconds since = 0;
};

// `ejected`: gets only single requests, as health checks. `slow_start`: back after an outage, possibly still
// warming up.
enum class Health { healthy, ejected, slow_start };

// What was learned of an endpoint and of its rate-limit scope: its destination, or the endpoint itself where
// limits are per endpoint. The default describes an endpoint that was never called. Durations are relative to
// the `now` for which the state was returned.
struct LearnedState {
  EndpointId endpoint;
  DestinationId destination = 0;
  // Of the endpoint. The fields after `health` are valid only where it is not healthy.
  Health health = Health::healthy;
  Microseconds time_in_health = 0;              // since the health changed or an ejection was confirmed
  double baseline_rate = 0;                     // calls a second of this relay before the outage
  double slow_start_budget = 0;                 // calls allowed at once, 0 to 1
  int consecutive_failures = 0;                 // failed calls since the last served one
  double failure_rate = 0;                      // share of failing calls, 0 to 1
  bool last_failure_possibly_executed = false;  // the last failed call may have been executed
  int batch_size = 0;                           // requests that one call may carry; 0: unknown
  // Of the rate-limit scope.
  Microseconds retry_after_left = 0;     // of a Retry-After
  double backoff_delay = 0;              // in seconds, aged; 0: none worth storing
  double send_rate = 0;                  // calls a second of this relay; 0: unbounded
  int consecutive_rejections = 0;        // since the last served call
  Microseconds first_rejection_age = 0;  // how long ago the first of them was
  double admission_probability = 1;      // share of attempts admitted after rejections, above 0

  // Whether nothing is known that is worth storing; a store can drop the record then.
  bool blank() const {
    return health == Health::healthy && retry_after_left <= 0 && backoff_delay <= 0 && send_rate <= 0 &&
           admission_probability >= 1;
  }
};

namespace event {
// The whole endpoint list; endpoints that it leaves out are gone.
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;  // from a cache, so possibly outdated
};
// Endpoints that are new or have changed.
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
// A poll or a watch of the endpoint list failed.
struct EndpointListFailed {};
// A client submitted a request. Classes and tenants are positions in the settings' lists.
struct RequestArrived {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;
  int tenant = -1;  // -1: none
  Microseconds time_left = 0;
  std::string order_key;  // empty: none
  bool repeat = false;    // the client submits it again
};
// A request that a previous incarnation of this relay had accepted, with what is known of its attempts. A
// request that was not attempted yet is sent before new requests, and before its deadline unless a
// Retry-After, an outage or a send rate blocks it all that time.
struct RequestRecovered {
  RequestArrived message;  // time_left may be below 0
  int attempts = 0;        // made so far; the next one gets this number
  bool tried = false;      // one of them may have reached an endpoint
  // The zone of the first attempt that may have been executed (also one whose outcome was never seen), and
  // how long ago it was sent.
  std::optional<int> possibly_executed_zone;
  Microseconds possibly_executed_age = 0;
};
// What a previous incarnation of this relay had learned (Dispatcher::take_changed_state), `age` ago (at least
// 0). Must follow the list that names its endpoint, preferably in the same pass; ignored where the endpoint
// is not listed. Where the endpoint shares its scope and now belongs to another destination, the scope's part
// is ignored. Values out of range are clamped.
// - Of the records of a scope's endpoints, the newest counts for the scope, in whatever order they arrive.
// - A record never overwrites newer knowledge: only the first record of an endpoint counts, the endpoint's
//   part only until a call to it has ended, the scope's part only until a call to the scope has ended. A
//   Retry-After always counts.
// - Retry-Afters run off, the backoff ages and a slow start goes on during `age`. An ejected endpoint stays
// as it
//   was, because nobody checked its health; its next health check follows after a full jittered delay.
struct LearnedStateRestored {
  LearnedState state;
  Microseconds age = 0;
};
// The end of an attempt that action::Send began.
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Microseconds latency = 0;
  bool request_completed = false;  // the request got its final answer
  Microseconds retry_after = 0;    // no call to the rate-limit scope for so long, whatever the outcome
  LoadReport load_report;
};
// The request ended outside the dispatcher: no further action is decided for it.
struct RequestWithdrawn {
  MessageId id = 0;
};
// A timer that action::SetTimer set.
struct TimerExpired {
  std::uint64_t token = 0;
};
// The end of an action::CheckHealth.
struct HealthCheckEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Microseconds latency = 0;
  LoadReport load_report;
};
// A hint from another relay, which may be lost, late or repeated.
struct GossipReceived {
  int from = 0;  // its Settings::relay_index
  std::string body;
};
}  // namespace event

// What a relay passes to the dispatcher.
using Event = std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListFailed,
                           event::RequestArrived, event::RequestRecovered, event::LearnedStateRestored,
                           event::AttemptEnded, event::RequestWithdrawn, event::TimerExpired,
                           event::HealthCheckEnded, event::GossipReceived>;

namespace action {
// Begin an attempt. Attempts of a request are numbered from 0 in the order of their sends; attempts to one
// endpoint that are decided in one pass may share a call.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Microseconds timeout = 0;
  // The call must begin within this time, because the destination may forget the idempotency key afterwards:
  // an attempt whose connection is not established by then ends as `not_sent`. Empty: no limit.
  std::optional<Microseconds> start_within;
};
// End the request as rejected: submitting it again is harmless, because it was provably not executed or its
// class allows repeats.
struct Reject {
  MessageId id = 0;
  Microseconds retry_after = 0;
};
// End the request as failed: it may have been executed.
struct Fail {
  MessageId id = 0;
};
// Cancel an attempt in flight; its event::AttemptEnded is still to be reported.
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
// Close the idle connections to an endpoint.
struct CloseIdle {
  EndpointId endpoint;
};
// Report event::TimerExpired with this token when `after` has passed since this pass. Earlier timers stay
// set.
struct SetTimer {
  Microseconds after = 0;
  std::uint64_t token = 0;
};
// Ask for the whole endpoint list.
struct PollEndpointList {};
// Begin or end a watch of the endpoint list.
struct Subscribe {
  bool on = true;
};
// Send a health check, where the settings allow them.
struct CheckHealth {
  EndpointId endpoint;
};
// Send a hint to another relay.
struct SendGossip {
  int peer = -1;  // its Settings::relay_index; -1: every peer
  std::string body;
};
// Write a line to the log.
struct Log {
  std::string text;
};
}  // namespace action

// What the dispatcher asks a relay to do.
using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel, action::CloseIdle,
                            action::SetTimer, action::PollEndpointList, action::Subscribe,
                            action::CheckHealth, action::SendGossip, action::Log>;

// Makes all decisions of one relay. Not thread-safe: its owner calls it from one thread.
class Dispatcher {
 public:
  // Throws std::invalid_argument where the settings are invalid; see validate().
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  // Runs one decision pass: all events happen at `now`, which must not decrease; the actions take effect at
  // `now`, in order. Appends to `actions`.
  void handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Returns the learned state that is worth keeping over a restart and has changed since it was last
  // returned: one entry per endpoint, at most `max_entries`; the rest follow with the next call. `now` must
  // not decrease, here and in handle(). Changes of health and Retry-Afters are returned at once; other
  // changes of an endpoint at most once a second, and only when they are large. An endpoint that is blank
  // again or left the list is returned once as blank, also where a Retry-After, a delay or a slow start has
  // merely run out. A change of a scope is returned for each of its endpoints. The cost grows with the number
  // of changes, not of listed endpoints. Does not affect decisions.
  std::vector<LearnedState> take_changed_state(Microseconds now, std::size_t max_entries);

  // For an observer: appends to `states` what is known at `now` of each listed endpoint, in the order of the
  // destinations. Blank endpoints are left out once `states` has `max_entries` entries, the others once it
  // has four times as many. Changes nothing.
  void endpoint_states(Microseconds now, std::size_t max_entries, std::vector<LearnedState>& states) const;

  // The number of requests that are ready to be sent and were not sent yet.
  std::size_t queued_requests() const;

  // The number of endpoints, destinations, requests, order keys, calls and unreturned changes that are kept:
  // a measure of the memory in use.
  std::size_t retained_objects() const;

 private:
  friend class DispatcherFactory;  // of the module's own tests
  class State;
  explicit Dispatcher(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace heronvane::dispatch

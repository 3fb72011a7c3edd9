// The decisions of a relay that delivers requests to endpoints of outside destinations.
//
// A relay feeds one Dispatcher the events it sees and carries out the actions that come back, one
// handle() a decision pass. The dispatcher never blocks, does no input or output, reads no clock and keeps
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

// A duration, or a moment on the caller's monotonic clock.
using Microseconds = std::int64_t;
// Names a request for as long as the dispatcher holds it.
using MessageId = std::uint64_t;
// Names an endpoint over all destinations.
using EndpointId = std::string;
// Names a destination: the outside receiver that its endpoints belong to.
using DestinationId = std::int64_t;

// What a repeated delivery of a request may do: `keyed` is idempotent by its idempotency key.
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
  double weight_at_deadline = 0;               // share of it that is left at the deadline
  Microseconds latency_objective = 1'000'000;  // delivered within this time, it earns the full weight
  Microseconds deadline = 5'000'000;           // how long it may be delivered at all
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Microseconds key_window = 0;  // keyed: how long a destination remembers the key
  bool ordered = false;         // requests with the same order key go one at a time
};

// A kind of destination.
struct KindSettings {
  bool per_endpoint_limits = false;  // each endpoint has its own limit, send rate and outages
  int max_batch_size = 1;            // requests in one call at most
};

// A tenant: whose requests count against one quota.
struct TenantSettings {
  double quota_per_s = 0;  // requests a second, over all relays
};

// All that decisions depend on beside events and the seed. Does not change during a dispatcher's life.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // may be empty
  std::vector<double>
      zone_costs;  // price of a call to an endpoint with limits of its own, by zone; may be empty
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
  Microseconds min_decision_interval = 1'000;  // least time between two passes
  Microseconds connect_timeout = 1'000'000;
  Microseconds connection_idle_timeout = 10'000'000;  // idle connections close by themselves after this
  Microseconds retry_after_max = 0;                   // longest advised absence that a client obeys
  Microseconds answer_grace = 0;                      // final answers are accepted so long past the deadline
  Microseconds drain_grace = 0;
  Microseconds max_poll_interval = 0;  // 0: no such rule
  Microseconds key_quiet_period = 0;   // rest of an order key after an attempt of unknown outcome
  double collapse_factor = 2;          // times the present capacity at which a warming destination collapses
  Microseconds collapse_period = 1'000'000;     // where exceeded for so long
  double slow_start_min_share = 0.2;            // share of capacity right after an outage
  Microseconds slow_start_window = 10'000'000;  // warm after this at the latest
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

// How an attempt ended. Provably not executed: rejected, connect_failed and not_sent; all others may have
// been.
enum class Outcome { served, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// Load report of a destination; a negative value was not reported.
struct LoadReport {
  double limit_remaining = -1;  // share of the limit that is left
  double limit_rate = -1;       // calls a second that the limit allows; 0 where there is none
};

// An endpoint's place in the list; nothing new is sent to one that is not active.
enum class Listing { active, draining, gone };

// An entry of the endpoint list.
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

// What was learned of an endpoint and of its rate-limit scope: its destination, or the endpoint itself where
// limits are per endpoint. The default is what is known of an endpoint never called. Durations count from the
// `now` at which it is given out.
struct LearnedState {
  EndpointId endpoint;
  DestinationId destination = 0;
  // The endpoint. What follows its health is valid only where it is not healthy.
  Health health = Health::healthy;
  Microseconds time_in_health = 0;              // since it changed, or was ejected once more
  double baseline_rate = 0;                     // calls a second of this relay before the outage
  double slow_start_budget = 0;                 // calls allowed at once, 0 to 1
  int consecutive_failures = 0;                 // failed calls since the last serve
  double failure_rate = 0;                      // share of failing calls, 0 to 1
  bool last_failure_possibly_executed = false;  // the last failed call may have run
  int batch_size = 0;                           // messages trusted to one call; 0: unknown
  // The rate-limit scope.
  Microseconds retry_after_left = 0;     // of a Retry-After
  double backoff_delay = 0;              // in seconds, as aged; 0: none worth keeping
  double send_rate = 0;                  // calls a second of this relay; 0: unbounded
  int consecutive_rejections = 0;        // since the last serve
  Microseconds first_rejection_age = 0;  // how long ago the first of them was
  double admission_probability = 1;      // share of attempts admitted after rejections, above 0

  // Nothing is known that is worth keeping: a store can drop its record.
  bool blank() const {
    return health == Health::healthy && retry_after_left <= 0 && backoff_delay <= 0 && send_rate <= 0 &&
           admission_probability >= 1;
  }
};

namespace event {
// The whole endpoint list; endpoints that it leaves out are gone.
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;  // as last seen, not as just told
};
// Endpoints that are new or have changed.
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
// A poll or a watch of the endpoint list failed.
struct EndpointListFailed {};
// A client handed in a request. Classes and tenants are positions in the settings' lists.
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
// that was not attempted yet goes before new requests, and is attempted in its time where no Retry-After,
// outage or send rate holds it back all along.
struct RequestRecovered {
  RequestArrived message;  // time_left may be below 0
  int attempts = 0;        // made so far; further ones count on from there
  bool tried = false;      // one of them may have reached an endpoint
  // Where one of them may have run (also one whose outcome was never seen): the first such, and how long ago.
  std::optional<int> possibly_executed_zone;
  Microseconds possibly_executed_age = 0;
};
// What a previous incarnation of this relay had learned (Dispatcher::take_changed_state), `age` ago (at least
// 0). Comes after the list that names its endpoint, best in the same pass; ignored where the endpoint is not
// listed. Where endpoints share a scope and the destination is another now, its part is ignored. Values out
// of range are brought into it.
// - Of the records of a scope's endpoints the latest counts for the scope, in whatever order they come.
// - Nothing overwrites what is newer: only the first record of an endpoint counts, its part only until a call
//   there has ended, the scope's until one at the scope has. But a Retry-After holds in any case.
// - In the time that passed Retry-Afters run off, the backoff ages and a slow start goes on. An ejected
// endpoint
//   stays as it was, for nobody checked it; its next health check comes after a whole jittered delay.
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
  Microseconds retry_after = 0;    // nothing to that destination for so long, whatever the outcome
  LoadReport load_report;
};
// The request has ended outside: nothing more is to be done for it, and no end is to be told.
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
// A hint of another relay, which may be lost, late or repeated.
struct GossipReceived {
  int from = 0;  // its Settings::relay_index
  std::string body;
};
}  // namespace event

// What a relay feeds the dispatcher.
using Event = std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListFailed,
                           event::RequestArrived, event::RequestRecovered, event::LearnedStateRestored,
                           event::AttemptEnded, event::RequestWithdrawn, event::TimerExpired,
                           event::HealthCheckEnded, event::GossipReceived>;

namespace action {
// Begin an attempt. Attempts of a request count from 0 in the order of their sends; those to one endpoint
// that are decided in one pass may travel as one call.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Microseconds timeout = 0;
  // Its call may begin within this alone, for its destination forgets the idempotency key then: one whose
  // connection is not up by then ends as not sent. Nothing where it may begin whenever.
  std::optional<Microseconds> start_within;
};
// The request ends, provably not executed: handing it in again is harmless.
struct Reject {
  MessageId id = 0;
  Microseconds retry_after = 0;
};
// The request ends, possibly executed.
struct Fail {
  MessageId id = 0;
};
// Give up an attempt that is in flight; its end is still to be reported.
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
// Close the idle connections to an endpoint.
struct CloseIdle {
  EndpointId endpoint;
};
// Report event::TimerExpired with this token, `after` the pass. Earlier timers stay.
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
  // Throws std::invalid_argument where the settings make no sense.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  Dispatcher(Dispatcher&& other) noexcept;
  Dispatcher& operator=(Dispatcher&& other) noexcept;

  // One decision pass: all events happen at `now` (which never goes back); the actions take effect at `now`,
  // in order. `actions` is appended to.
  void handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions);

  // What is worth keeping over a restart and has changed since it was last given, one entry an endpoint, at
  // most `most` entries; the rest come with the next call. `now` never goes back, here and in handle().
  // Changes of health and Retry-Afters come at once, all others of an endpoint once a second at most, and
  // only when they are large. What is blank again, or left the list, is given once as blank; that a
  // Retry-After, a delay or a slow start has run out comes so too. A change of a scope is given for each of
  // its endpoints. Costs what has changed, not what is listed. Changes no decision.
  std::vector<LearnedState> take_changed_state(Microseconds now, std::size_t most);

  // For an observer: what is known now of each endpoint that is listed, in the order of the destinations.
  // Those of which nothing is known (blank) are left out once `most` entries are in `known`; all others
  // once there are four times as many. Changes nothing.
  void endpoint_states(Microseconds now, std::size_t most, std::vector<LearnedState>& known) const;

  // How many requests are ready to go and were not sent.
  std::size_t queued_requests() const;

  // How many endpoints, destinations, requests, order keys, calls and changes to give out are kept: a gauge
  // of memory.
  std::size_t retained_objects() const;

 private:
  friend class DispatcherFactory;  // of the module's own tests
  class State;
  explicit Dispatcher(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace heronvane::dispatch

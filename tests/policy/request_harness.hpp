// The owners of requests and endpoints, for tests of classes that use both.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "call_cancellation.hpp"
#include "call_sender.hpp"
#include "endpoint_selection.hpp"
#include "endpoint_tracker.hpp"
#include "pass_harness.hpp"
#include "request_lifecycle.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch::testing {

// One class, idempotent, with an objective of one second. Two kinds of destination: 0 takes one request a
// call, 1 takes four, and its endpoints have limits of their own.
class RequestHarness : public ::testing::Test {
 protected:
  static constexpr DestinationId kDestination = 1;

  static Settings make_settings() {
    Settings settings;
    settings.classes.resize(1);
    settings.kinds = {{false, 1}, {true, 4}};
    settings.max_concurrent_calls = 8;
    settings.max_in_flight = 100;
    settings.max_attempts = 3;
    settings.cancellation = true;
    settings.zone_costs = {0, 1};
    return settings;
  }

  void list(const EndpointId& id, int kind = 0, int zone = 0, DestinationId destination = kDestination) {
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.destination = destination;
    endpoint.kind = kind;
    endpoint.zone = zone;
    harness_.at(0,
                [&](DecisionPass& pass) { endpoints_.apply(event::EndpointListUpdate{{endpoint}}, pass); });
  }
  EndpointState& endpoint(const EndpointId& id) { return endpoints_.registry().at(id); }

  Request& arrive(MessageId id, Microseconds now = 0, DestinationId destination = kDestination) {
    event::RequestArrived arrived;
    arrived.id = id;
    arrived.destination = destination;
    arrived.time_left = 5 * kSecond;
    harness_.at(now, [&](DecisionPass& pass) { lifecycle_.arrive(arrived, pass); });
    return *state_.requests.find(id);
  }
  SendResult try_send(Request& request, Microseconds now = 0) {
    SendResult result;
    wake_up_at_ = harness_.at(now, [&](DecisionPass& pass) { result = sender_.try_send(request, pass); });
    return result;
  }
  // The endpoint's only call ends.
  void end_call(const EndpointId& id, CallId call, Microseconds sent_at, Microseconds now, Outcome outcome,
                Microseconds retry_after = 0) {
    event::AttemptEnded ended;
    ended.endpoint = id;
    ended.outcome = outcome;
    ended.latency = now - sent_at;
    ended.retry_after = retry_after;
    harness_.at(now, [&](DecisionPass& pass) {
      endpoints_.record_attempt(endpoint(id), ended, {call, sent_at, 1, true, false}, pass);
    });
  }
  // Ends calls of its own at the endpoint until it is ejected.
  void eject(const EndpointId& id, Outcome outcome = Outcome::timeout) {
    for (int i = 0; i < 3; i++) {
      const CallId call = 1'000 + last_call_++;
      harness_.at(0,
                  [&](DecisionPass& pass) { endpoints_.record_call_began(endpoint(id), call, false, pass); });
      end_call(id, call, 0, 0, outcome);
    }
    ASSERT_TRUE(endpoint(id).health.is_ejected());
  }
  std::vector<action::Send> sends() const { return harness_.all<action::Send>(); }

  PassHarness harness_{make_settings(), Random{1}, {}};
  RequestState state_{harness_.settings};
  EndpointTracker endpoints_{harness_.settings, state_.priority.shortest_objective_s()};
  RequestLifecycle lifecycle_{state_, kSecond};
  CallSender sender_{state_, lifecycle_, endpoints_};
  CallCancellation cancellation_{state_, endpoints_};
  Microseconds wake_up_at_ = kNever;  // of the last try_send

 private:
  CallId last_call_ = 0;
};

}  // namespace heronvane::dispatch::testing

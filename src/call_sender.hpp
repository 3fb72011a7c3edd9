// Sends requests: chooses the endpoint, starts a call or joins an open one, and updates the state of all
// owners concerned.
//
// Owns the list of the calls of this pass that more requests may join. Refers to the owners of requests and
// endpoints, which must outlive it. Not synchronised, used on the dispatcher's thread only.
#pragma once

#include <vector>

#include "decision_pass.hpp"
#include "endpoint_selection.hpp"
#include "endpoint_tracker.hpp"
#include "request_lifecycle.hpp"
#include "request_sender.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// Sends requests: starts calls, or adds to those of the same pass.
class CallSender final : public RequestSender {
 public:
  CallSender(RequestState& state, RequestLifecycle& lifecycle, EndpointTracker& endpoints);

  SendResult try_send(Request& request, DecisionPass& pass) override;
  bool is_health_check_allowed(const Settings& settings) const override;
  std::size_t health_checks_in_flight() const override;
  std::vector<EndpointState*> take_open_endpoints() override;

 private:
  void send(Request& request, EndpointState& endpoint, DecisionPass& pass);
  void start_call(const Request& request, EndpointState& endpoint, DecisionPass& pass);
  void unblock_followers(const Request& first, Microseconds now);
  static Microseconds timeout(const Request& request, const EndpointState& endpoint, Microseconds now);

  RequestState& state_;
  RequestLifecycle& lifecycle_;
  EndpointTracker& endpoints_;
  EndpointSelection selection_;
  std::vector<EndpointState*> open_endpoints_;
};

}  // namespace heronvane::dispatch

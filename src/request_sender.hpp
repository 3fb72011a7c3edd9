// The interface through which the scheduler sends requests to endpoints.
#pragma once

#include <cstddef>
#include <vector>

#include "decision_pass.hpp"
#include "request.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

struct EndpointState;

// The result of trying to send a request.
struct SendResult {
  enum class Kind {
    sent,
    // Not sent, for a reason that need not hold in the next pass, in which it is tried again.
    retry_next_pass,
    // This request cannot be sent for a reason of its own; others of its subqueue may.
    request_blocked,
    // No request of its subqueue can be sent.
    subqueue_blocked,
    // The same, until a health check is allowed.
    awaiting_health_check,
  };
  Kind kind = Kind::subqueue_blocked;
  // The result stays the same until then, unless something happens at the destination.
  Microseconds retry_at = kNever;

  bool is_sent() const { return kind == Kind::sent; }
};

// What a scheduler needs of the sending side.
class RequestSender {
 public:
  RequestSender() = default;
  RequestSender(const RequestSender&) = delete;
  RequestSender& operator=(const RequestSender&) = delete;
  virtual ~RequestSender() = default;

  // Sends the request to the endpoint that suits it best, if one may get it now.
  virtual SendResult try_send(Request& request, DecisionPass& pass) = 0;

  // Whether a further endpoint that is ejected or recovering may get a call.
  virtual bool is_health_check_allowed(const Settings& settings) const = 0;

  // Calls in flight to such endpoints.
  virtual std::size_t health_checks_in_flight() const = 0;

  // The endpoints that got a call in this pass which more requests may join, in that order. Each is given
  // once.
  virtual std::vector<EndpointState*> take_open_endpoints() = 0;
};

}  // namespace heronvane::dispatch

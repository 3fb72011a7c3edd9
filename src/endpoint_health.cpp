#include "endpoint_health.hpp"

#include <array>
#include <cstddef>
#include <string>

namespace heronvane::dispatch {
namespace {

struct Transition {
  Health next;
  std::string_view event;
  std::string_view reason;
};

// By HealthChange, in its order.
constexpr std::array<Transition, 8> kTransitions{{
    {Health::ejected, "closed", "no connection"},
    {Health::ejected, "closed", "errors"},
    {Health::ejected, "closed", "silent"},
    {Health::ejected, "closed", "refuses all"},
    {Health::slow_start, "ramp", ""},
    {Health::slow_start, "forgotten", ""},
    {Health::healthy, "warm", ""},
    {Health::slow_start, "ramp", "its destination returned"},
}};

std::string log_text(std::string_view event, const EndpointId& endpoint, std::string_view reason) {
  std::string text(event);
  text += " " + endpoint;
  if (!reason.empty()) text.append(": ").append(reason);
  return text;
}

}  // namespace

void EndpointHealth::apply(DecisionPass& pass, HealthChange change, const EndpointId& endpoint) {
  const Transition& transition = kTransitions.at(static_cast<std::size_t>(change));
  if (state_ != transition.next) pass.actions.log(log_text(transition.event, endpoint, transition.reason));
  state_ = transition.next;
  since_ = pass.now;
}

void EndpointHealth::restore(DecisionPass& pass, Health learned, Microseconds since,
                             const EndpointId& endpoint) {
  state_ = learned;
  since_ = since;
  pass.actions.log(log_text("recalled", endpoint, ""));
}

void EndpointHealth::join(Health of_scope, Microseconds since) {
  state_ = of_scope;
  since_ = since;
}

}  // namespace heronvane::dispatch

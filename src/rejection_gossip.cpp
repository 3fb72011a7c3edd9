#include "rejection_gossip.hpp"

#include <string_view>

namespace heronvane::dispatch {
namespace {

// Version and kind; the endpoint's id follows.
constexpr std::string_view kPrefix = "1r";
// Least mean time between two hints of all relays together: each hint costs work at every relay that receives
// it.
constexpr double kFleetGapSeconds = 0.03;
constexpr int kEveryPeer = -1;

}  // namespace

void RejectionGossip::announce(DecisionPass& pass, const EndpointId& endpoint, Admission& admission) {
  const bool known_to_peers = pass.now - admission.announced_at() < repeat_after_;
  if (!pass.settings.gossip || pass.now < next_at_ || known_to_peers) {
    return;
  }
  pass.actions.add(action::SendGossip{kEveryPeer, std::string(kPrefix) + endpoint});
  next_at_ = pass.now + microseconds(pass.random.jittered(kFleetGapSeconds * pass.settings.relays));
  admission.mark_announced(pass.now);
}

std::optional<EndpointId> RejectionGossip::parse(const std::string& body) {
  if (!body.starts_with(kPrefix)) {
    return std::nullopt;
  }
  return body.substr(kPrefix.size());
}

}  // namespace heronvane::dispatch

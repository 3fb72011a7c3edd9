// The known endpoints and destinations, from the endpoint list and its updates.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "endpoint_state.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Called for each endpoint and destination right before the registry forgets it.
class ForgottenListener {
 public:
  ForgottenListener() = default;
  ForgottenListener(const ForgottenListener&) = delete;
  ForgottenListener& operator=(const ForgottenListener&) = delete;
  virtual ~ForgottenListener() = default;

  virtual void endpoint_forgotten(const EndpointState& endpoint) = 0;
  virtual void destination_forgotten(DestinationId id, const DestinationState& destination) = 0;
};

// All endpoints and destinations.
class EndpointRegistry {
 public:
  // `settings` must outlive it.
  EndpointRegistry(const Settings& settings, const BackoffScale& scale)
      : settings_(settings), scale_(scale) {}

  EndpointState* find(const EndpointId& id);  // null: not known
  DestinationState* find(DestinationId id);   // null: not known
  EndpointState& at(const EndpointId& id) { return endpoints_.at(id); }
  DestinationState& at(DestinationId id) { return destinations_.at(id); }
  // Ordered by id.
  const std::map<DestinationId, DestinationState>& destinations() const { return destinations_; }

  // The result of an entry of the endpoint list.
  struct Applied {
    EndpointState* endpoint = nullptr;
    // For a new endpoint without own limits: the sibling whose health it takes over, because a new endpoint
    // does not bypass an outage of its destination; else null.
    const EndpointState* model = nullptr;
    bool is_new = false;
  };
  Applied apply(const Endpoint& listed, Microseconds now);
  // To be called before and after the entries of a complete list: endpoints that it does not name are gone.
  void begin_snapshot();
  void end_snapshot();

  // Forgets endpoints that left the list once their calls are over and what is known of an outage there is
  // older than `outage_memory`, and destinations with their last endpoint; neither before a Retry-After ends.
  void forget_gone(Microseconds now, Microseconds outage_memory, ForgottenListener& listener);

  // How many endpoints and destinations are kept.
  std::size_t size() const { return endpoints_.size() + destinations_.size(); }

 private:
  DestinationState& find_or_add(DestinationId id);
  void configure(EndpointState& endpoint);
  static const EndpointState* model_among(const std::vector<EndpointState*>& siblings);
  void forget_gone_endpoints(Microseconds now, Microseconds outage_memory, ForgottenListener& listener);
  void forget_empty_destinations(Microseconds now, ForgottenListener& listener);

  const Settings& settings_;
  BackoffScale scale_;
  std::map<EndpointId, EndpointState> endpoints_;
  std::map<DestinationId, DestinationState> destinations_;
  bool has_changed_ = false;                // since forget_gone() last looked
  std::set<EndpointId> gone_;               // from the list, and still kept
  std::set<DestinationId> possibly_empty_;  // perhaps without endpoints
};

}  // namespace heronvane::dispatch

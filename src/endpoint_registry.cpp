#include "endpoint_registry.hpp"

#include <algorithm>
#include <cstddef>

namespace heronvane::dispatch {

EndpointState* EndpointRegistry::find(const EndpointId& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

DestinationState* EndpointRegistry::find(DestinationId id) {
  const auto found = destinations_.find(id);
  return found == destinations_.end() ? nullptr : &found->second;
}

DestinationState& EndpointRegistry::find_or_add(DestinationId id) {
  const auto [destination, is_new] = destinations_.try_emplace(id, scale_);
  if (is_new) possibly_empty_.insert(id);
  return destination->second;
}

EndpointRegistry::Applied EndpointRegistry::apply(const Endpoint& listed, Microseconds now) {
  has_changed_ = true;
  const auto [entry, is_new] = endpoints_.try_emplace(listed.id, scale_);
  EndpointState& endpoint = entry->second;
  const DestinationId previous = is_new ? listed.destination : endpoint.info.destination;
  endpoint.info = listed;
  if (listed.listing == Listing::gone) {
    gone_.insert(listed.id);
  } else {
    gone_.erase(listed.id);
  }
  configure(endpoint);
  std::vector<EndpointState*>& siblings = destinations_.at(listed.destination).endpoints;
  if (previous != listed.destination) {
    std::erase(destinations_.at(previous).endpoints, &endpoint);
    possibly_empty_.insert(previous);
    siblings.push_back(&endpoint);
  }
  if (!is_new) return {&endpoint, nullptr};
  endpoint.batching.reset();
  endpoint.connections.start(settings_.relays);
  endpoint.demand.start(now);
  const EndpointState* const model = endpoint.has_own_limits ? nullptr : model_among(siblings);
  siblings.push_back(&endpoint);
  return {&endpoint, model, true};
}

void EndpointRegistry::configure(EndpointState& endpoint) {
  const std::size_t kinds = settings_.kinds.size();
  const auto listed_kind = static_cast<std::size_t>(std::max(endpoint.info.kind, 0));
  const std::size_t position = std::min(listed_kind, kinds);
  const KindSettings kind = position < kinds ? settings_.kinds[position] : KindSettings{};
  endpoint.own_scope.limits.set_kind(position);
  endpoint.destination_scope = &find_or_add(endpoint.info.destination).scope;
  endpoint.destination_scope->limits.set_kind(position);
  endpoint.has_own_limits = kind.per_endpoint_limits;
  endpoint.batching.set_most(kind.max_batch_size);
}

// The first sibling, where no sibling is healthy; null where one is healthy, or there are none.
const EndpointState* EndpointRegistry::model_among(const std::vector<EndpointState*>& siblings) {
  const EndpointState* model = nullptr;
  for (const EndpointState* const sibling : siblings)
    if (model == nullptr || sibling->health.is_healthy()) model = sibling;
  return model != nullptr && model->health.is_healthy() ? nullptr : model;
}

void EndpointRegistry::begin_snapshot() {
  for (auto& [id, endpoint] : endpoints_) endpoint.info.listing = Listing::gone;
  has_changed_ = true;
}

void EndpointRegistry::end_snapshot() {
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.info.listing == Listing::gone) gone_.insert(id);
}

void EndpointRegistry::forget_gone(Microseconds now, Microseconds outage_memory,
                                   ForgottenListener& listener) {
  if (!has_changed_) return;
  has_changed_ = false;
  forget_gone_endpoints(now, outage_memory, listener);
  forget_empty_destinations(now, listener);
}

void EndpointRegistry::forget_gone_endpoints(Microseconds now, Microseconds outage_memory,
                                             ForgottenListener& listener) {
  for (auto id = gone_.begin(); id != gone_.end();) {
    EndpointState& endpoint = endpoints_.at(*id);
    const bool remembers_outage =
        !endpoint.health.is_healthy() && now < endpoint.health.ends_at(outage_memory);
    const bool has_to_wait = endpoint.own_scope.limits.retry_after_until() > now;
    if (!endpoint.calls.empty() || remembers_outage || has_to_wait) {
      ++id;
      continue;
    }
    std::erase(destinations_.at(endpoint.info.destination).endpoints, &endpoint);
    possibly_empty_.insert(endpoint.info.destination);
    listener.endpoint_forgotten(endpoint);
    endpoints_.erase(*id);
    id = gone_.erase(id);
  }
}

void EndpointRegistry::forget_empty_destinations(Microseconds now, ForgottenListener& listener) {
  for (auto id = possibly_empty_.begin(); id != possibly_empty_.end();) {
    const auto destination = destinations_.find(*id);
    const bool is_empty = destination != destinations_.end() && destination->second.endpoints.empty();
    if (is_empty && destination->second.scope.limits.retry_after_until() > now) {
      ++id;
      continue;
    }
    if (is_empty) {
      listener.destination_forgotten(*id, destination->second);
      destinations_.erase(destination);
    }
    id = possibly_empty_.erase(id);
  }
}

}  // namespace heronvane::dispatch

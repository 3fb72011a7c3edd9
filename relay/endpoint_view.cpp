#include "endpoint_view.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "fail_points.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;
using heronvane::dispatch::Endpoint;
using heronvane::dispatch::Listing;

EndpointView::EndpointView(const Config& config, Committer& committer, DecisionCycle& cycle, Hooks hooks)
    : config_(config),
      committer_(committer),
      cycle_(cycle),
      hooks_(std::move(hooks)),
      unavailable_endpoints_(
          committer.store().facts(), config.known, committer.store().clock().now(),
          [this](const std::string& key, const std::string& value) { return committer_.keep(key, value); }),
      stored_states_(committer.store().facts(), {config.own.store.keep_health, config.own.store.keep_waits},
                     committer.store().clock().now()) {}

void EndpointView::start() {
  directory_.apply(
      unavailable_endpoints_.restrict_configured(config_.known), [](const EndpointId& /*gone*/) {},
      hooks_.located);
  for (const auto& listed : config_.known.endpoints) directory_.add_destination(listed.endpoint.destination);
  cycle_.enqueue(event::EndpointListSnapshot{directory_.all(), true});
  for (const auto& key : stored_states_.outdated_keys()) committer_.store().set_fact(key, {});
}

void EndpointView::restore_learned_state() { restore(directory_.all()); }

void EndpointView::apply(EndpointList list, const std::string& discovery) {
  if (HERONVANE_DEFECT("ignore-drain"))
    for (auto& listed : list.endpoints) listed.endpoint.listing = Listing::active;
  const Microseconds now = committer_.store().clock().now();
  list = unavailable_endpoints_.reconcile(std::move(list), discovery, now);
  const auto changes = directory_.apply(
      list, [&](const EndpointId& id) { unavailable_endpoints_.mark_gone(id, list.index, discovery, now); },
      hooks_.located);
  list_received_ = list_received_ || list.last_part;
  for (const auto& id : changes.inactive) hooks_.inactive(id);
  // While the journal can't be written, the module is not called; resynchronize() passes on one full list
  // later.
  if (committer_.is_writable()) {
    notify(changes.endpoints);
  } else {
    resync_due_ = true;
  }
}

// Passes on the changes in parts: processing thousands at once would hold up clients.
void EndpointView::notify(const std::vector<Endpoint>& endpoints) {
  constexpr std::size_t kMaxEndpointsPerPart = 1'000;
  const bool parts_pending = !parts_.empty();
  for (std::size_t offset = 0; offset == 0 || offset < endpoints.size(); offset += kMaxEndpointsPerPart) {
    const auto first = endpoints.begin() + static_cast<std::ptrdiff_t>(offset);
    const auto size = std::min(kMaxEndpointsPerPart, endpoints.size() - offset);
    parts_.emplace_back(first, first + static_cast<std::ptrdiff_t>(size));
  }
  if (!parts_pending) notify_next_part();
}

void EndpointView::notify_next_part() {
  if (parts_.empty()) return;
  const auto part = std::move(parts_.front());
  parts_.pop_front();
  cycle_.notify(event::EndpointListUpdate{part});
  restore(part);
}

void EndpointView::resynchronize() {
  if (!std::exchange(resync_due_, false)) return;
  parts_.clear();
  const auto all = directory_.all();
  cycle_.notify(event::EndpointListSnapshot{all, false});
  restore(all);
}

void EndpointView::restore(const std::vector<Endpoint>& endpoints) {
  if (stored_states_.size() == 0 || !committer_.is_writable()) return;
  const auto& clock = committer_.store().clock();
  const Microseconds now = clock.now();
  const Microseconds gap = clock.assumed_gap();
  for (const auto& endpoint : endpoints) {
    if (endpoint.listing == Listing::gone) continue;
    if (auto state = stored_states_.take(endpoint.id, now, gap)) cycle_.notify(std::move(*state));
  }
}

void EndpointView::store_learned_state() {
  constexpr std::size_t kMaxStatesPerCycle = 64;  // the rest follow with the next cycle
  // The other half is reserved for the list of draining and removed endpoints, which must not be lost.
  constexpr unsigned kFactsPercent = 50;
  if (!config_.own.store.keep_health && !config_.own.store.keep_waits) return;
  store::Store& store = committer_.store();
  const Microseconds now = store.clock().now();
  for (const auto& state : cycle_.take_changed_state(kMaxStatesPerCycle)) {
    const std::string key = learned_state_key(state.endpoint);
    const std::string value = state.blank() ? std::string() : encode(LearnedStateRecord{state, now});
    // If the new state can't be stored, remove the outdated one.
    if (!store.set_fact(key, value, kFactsPercent)) store.set_fact(key, {});
  }
}

}  // namespace heronvane

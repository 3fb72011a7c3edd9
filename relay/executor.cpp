#include "executor.hpp"

#include <algorithm>
#include <utility>

#include "fail_points.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;
using heronvane::dispatch::Endpoint;
using heronvane::dispatch::Listing;

namespace {

CallLimits call_limits(const Config& config) {
  CallLimits limits;
  limits.max_in_flight = static_cast<std::size_t>(config.settings.max_concurrent_calls);
  limits.connect_timeout = config.settings.connect_timeout;
  limits.endpoint_idle_timeout = config.settings.connection_idle_timeout;
  limits.max_connections = config.endpoint_connections;
  limits.read_load_reports = config.reports_in_answers;
  limits.hedging = config.settings.hedging;
  limits.wait_for_reuse = !config.own.relay.early_rounds;
  return limits;
}

}  // namespace

Executor::Executor(boost::asio::io_context& io, const Config& config, Committer& committer,
                   const Directory& endpoints, Hooks hooks)
    : config_(config),
      committer_(committer),
      endpoints_(endpoints),
      hooks_(std::move(hooks)),
      calls_(io, call_limits(config), hooks_.ended, hooks_.may_begin) {}

std::size_t Executor::batch_size(const Endpoint* endpoint) const {
  const auto kind = endpoint == nullptr ? std::size_t{0} : static_cast<std::size_t>(endpoint->kind);
  const auto& kinds = config_.settings.kinds;
  return static_cast<std::size_t>(kind < kinds.size() ? kinds[kind].max_batch_size : 1);
}

void Executor::plan_attempt(WriteAheadPlan& plan, const heronvane::dispatch::action::Send& send,
                            Microseconds now) {
  store::Store& store = committer_.store();
  const Held* const held = store.find(send.id);
  if (held == nullptr || held->ending) return;
  const Endpoint* const endpoint = endpoints_.find(send.endpoint);
  Outgoing outgoing{send.id,
                    static_cast<int>(held->attempts.size()),
                    send.timeout,
                    0,  // set when the call begins
                    held->message.id,
                    held->message.body,
                    held->message.idempotency_key,
                    send.start_within ? now + *send.start_within : 0};
  store.sent(send.id, store.clock().now(), endpoint == nullptr ? -1 : endpoint->zone);
  const auto [open, is_new] = open_calls_.try_emplace(send.endpoint, plan.calls.size());
  if (!is_new && plan.calls[open->second].messages.size() < batch_size(endpoint)) {
    plan.calls[open->second].messages.push_back(std::move(outgoing));
    return;
  }
  open->second = plan.calls.size();
  plan.calls.push_back({send.endpoint, {}});
  plan.calls.back().messages.push_back(std::move(outgoing));
}

// Checks a planned message right before its call begins, and updates its times: while the call waited for its
// records, the request may have ended or its deadline passed.
bool Executor::may_still_begin(Outgoing& message, Microseconds now) const {
  const Held* const held = committer_.store().find(message.id);
  if (held == nullptr) return false;
  message.time_left = held->message.deadline - now;
  message.timeout = std::min(message.timeout, message.time_left);
  return !held->ending && message.timeout > 0;
}

void Executor::begin(const EndpointId& endpoint, std::vector<Outgoing> messages) {
  HERONVANE_POINT("call.planned");
  const Microseconds now = committer_.store().clock().now();
  // A long list reaches the decision module in parts, but an endpoint's new listing applies at once.
  const Endpoint* const listed = endpoints_.find(endpoint);
  const bool is_active = listed != nullptr && listed->listing == Listing::active;
  std::erase_if(messages, [&](Outgoing& message) {
    if (may_still_begin(message, now) && is_active) return false;
    withdraw_message(endpoint, message);
    return true;
  });
  if (messages.empty()) return;
  if (HERONVANE_DEFECT_NOW("wrong-destination")) {
    for (const auto& other : endpoints_.all())
      if (other.destination != listed->destination) return calls_.send(other.id, std::move(messages));
  }
  if (HERONVANE_DEFECT_NOW("send-twice")) calls_.send(endpoint, std::vector<Outgoing>(messages));
  calls_.send(endpoint, std::move(messages));
}

void Executor::cancel(MessageId id, int attempt) {
  committer_.withdraw(id, attempt);
  calls_.cancel(id, attempt);
}

void Executor::withdraw_message(const EndpointId& endpoint, const Outgoing& message) {
  event::AttemptEnded ended;
  ended.id = message.id;
  ended.attempt = message.attempt;
  ended.endpoint = endpoint;
  ended.outcome = Outcome::not_sent;
  store::Store& store = committer_.store();
  if (store.find(ended.id) != nullptr) {
    store.outcome(ended.id, ended.attempt, ended.outcome);
  } else {
    ended.request_completed = true;
  }
  hooks_.withdrawn(ended);
}

void Executor::withdraw(const EndpointId& endpoint) {
  calls_.abort_unsent(endpoint);
  committer_.withdraw(endpoint);
}

void Executor::withdraw_all() {
  calls_.abort_all_unsent();
  committer_.withdraw_all();
}

void Executor::withdraw_rate_limited(const EndpointId& endpoint) {
  const Endpoint* const listed = endpoints_.find(endpoint);
  if (listed == nullptr) return;
  const auto kind = static_cast<std::size_t>(listed->kind);
  const auto& kinds = config_.settings.kinds;
  if (kind < kinds.size() && kinds[kind].per_endpoint_limits) return withdraw(endpoint);
  // Copied, since the `withdrawn` hook may change the directory.
  const std::vector<EndpointId> sharing = endpoints_.endpoints_of(listed->destination);
  for (const auto& id : sharing) withdraw(id);
}

void Executor::deactivate(const EndpointId& endpoint) {
  withdraw(endpoint);
  calls_.close_idle(endpoint);
  if (endpoints_.find(endpoint) == nullptr) calls_.remove_endpoint(endpoint);
}

}  // namespace heronvane

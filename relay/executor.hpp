// Executes attempts: groups them into calls, begins a call once its records are durable, cancels attempts,
// and withdraws calls that have not begun.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

#include "calls.hpp"
#include "committer.hpp"
#include "config.hpp"
#include "core/directory.hpp"
#include "core/outbox.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Owned by the relay. The relay, `config`, `committer` and `endpoints` outlive it. Called on the event loop's
// thread only, and calls back there.
class Executor {
 public:
  struct Hooks {
    // Called at the end of an attempt that was sent, or that the upstream client could not send.
    Calls::AttemptEndedCallback ended;
    // Called right before a call begins; if it returns false, the call's attempts end as not sent.
    Calls::MayBeginCallback may_begin;
    // Called for a planned attempt that was provably not sent; its outcome is already in the store.
    std::function<void(const heronvane::dispatch::event::AttemptEnded&)> withdrawn;
  };
  Executor(boost::asio::io_context& io, const Config& config, Committer& committer,
           const Directory& endpoints, Hooks hooks);

  // Begins a new plan: attempts share calls only with other attempts of the same plan.
  void begin_plan() { open_calls_.clear(); }
  // Adds an attempt to the plan and its record to the store. Attempts to the same endpoint share a call, up
  // to the batch size of the endpoint's kind. `now` is the start of the decision cycle, on the steady clock.
  void plan_attempt(WriteAheadPlan& plan, const heronvane::dispatch::action::Send& send, Microseconds now);
  // Begins a planned call whose records are durable. Messages that have ended or expired are withdrawn first,
  // and all of them if the endpoint is not active.
  void begin(const EndpointId& endpoint, std::vector<Outgoing> messages);

  void cancel(MessageId id, int attempt);
  // Withdraws a message of a planned call that has not begun: its attempt ends as not sent.
  void withdraw_message(const EndpointId& endpoint, const Outgoing& message);
  // Withdraw the calls to one endpoint, or to all, of which no byte was sent.
  void withdraw(const EndpointId& endpoint);
  void withdraw_all();
  // Called when an endpoint asked to wait (Retry-After): withdraws the calls to all endpoints that share its
  // rate limit.
  void withdraw_rate_limited(const EndpointId& endpoint);

  // Sets the address of an endpoint from the endpoint list.
  void set_address(const ListedEndpoint& member) { calls_.set_address(member.endpoint.id, member.address); }
  // Called when an endpoint is draining or gone: withdraws its calls that have not begun and closes its idle
  // connections.
  void deactivate(const EndpointId& endpoint);
  void close_idle(const EndpointId& endpoint) { calls_.close_idle(endpoint); }

  // The number of calls in flight.
  std::size_t calls_in_flight() const { return calls_.in_flight(); }
  // Reads the answers that have arrived, as the event loop would in its next turn.
  void read_pending_answers() { calls_.read_pending_answers(); }

 private:
  std::size_t batch_size(const heronvane::dispatch::Endpoint* endpoint) const;
  bool may_still_begin(Outgoing& message, Microseconds now) const;

  const Config& config_;
  Committer& committer_;
  const Directory& endpoints_;
  const Hooks hooks_;
  Calls calls_;
  // By endpoint: the index, in the current plan, of the call that may still take attempts.
  std::unordered_map<EndpointId, std::size_t> open_calls_;
};

}  // namespace heronvane

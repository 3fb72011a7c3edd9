// Carries out attempts: plans them as calls, begins these once their records are durable, cancels them, and
// takes back what has not begun.
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

// Owned by the relay, outlived by it, by `config`, `committer` and `endpoints`; called on the event loop's
// thread only, and calls back there.
class Executor {
 public:
  struct Hooks {
    // The end of an attempt that was sent, or that the upstream client could not send.
    Calls::AttemptEndedCallback ended;
    // Asked right before a call begins; false: its attempts end as not sent.
    Calls::MayBeginCallback may_begin;
    // An attempt that was planned and provably not sent; its outcome is in the store already.
    std::function<void(const heronvane::dispatch::event::AttemptEnded&)> withdrawn;
  };
  Executor(boost::asio::io_context& io, const Config& config, Committer& committer,
           const Directory& endpoints, Hooks hooks);

  // Begins a plan: attempts planned from here on share calls with one another, and with none before.
  void begin_plan() { open_calls_.clear(); }
  // Adds an attempt to the plan and its record to the store. Attempts to one endpoint travel as one call, up
  // to the endpoint kind's batch size. `now` is the start of the decision cycle, on the steady clock.
  void plan_attempt(WriteAheadPlan& plan, const heronvane::dispatch::action::Send& send, Microseconds now);
  // Begins a planned call whose records are durable. What need not or must not be sent any more is taken
  // back.
  void begin(const EndpointId& endpoint, std::vector<Outgoing> messages);

  void cancel(MessageId id, int attempt);
  // Takes back a message of a call that was planned and has not begun.
  void withdraw_message(const EndpointId& endpoint, const Outgoing& message);
  // Takes back, to one endpoint or to all, the calls of which no byte has gone out.
  void withdraw(const EndpointId& endpoint);
  void withdraw_all();
  // An endpoint answered with a wait: takes back the calls to all endpoints that share its rate limit.
  void withdraw_rate_limited(const EndpointId& endpoint);

  // Endpoints as the list tells them.
  void set_address(const ListedEndpoint& member) { calls_.set_address(member.endpoint.id, member.address); }
  // The endpoint drains or is gone: no call begins there, and idle connections are closed.
  void deactivate(const EndpointId& endpoint);
  void close_idle(const EndpointId& endpoint) { calls_.close_idle(endpoint); }

  // Calls that are out.
  std::size_t calls_in_flight() const { return calls_.in_flight(); }
  // Reads the answers that are here, as the loop would in its next turn.
  void read_pending_answers() { calls_.read_pending_answers(); }

 private:
  std::size_t batch_size(const heronvane::dispatch::Endpoint* endpoint) const;
  bool may_still_begin(Outgoing& message, Microseconds now) const;

  const Config& config_;
  Committer& committer_;
  const Directory& endpoints_;
  const Hooks hooks_;
  Calls calls_;
  // Of the plan that is made: the call to each endpoint that may still take attempts.
  std::unordered_map<EndpointId, std::size_t> open_calls_;
};

}  // namespace heronvane

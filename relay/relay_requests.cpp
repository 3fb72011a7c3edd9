// The path of a request through the relay: received, decided on, executed, completed.
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <variant>

#include "fail_points.hpp"
#include "log.hpp"
#include "relay_server.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;
namespace action = heronvane::dispatch::action;

namespace {

// Retry-After, in microseconds, of a request that was rejected for lack of capacity.
constexpr Microseconds kRetryAfter = 500'000;
constexpr ClientReply kAccepted{202, 0};
constexpr ClientReply kUnavailable{503, kRetryAfter};
constexpr ClientReply kOutcomeUnknown{504, 0};

template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace

// ---- Requests. ----
// Whether a request with this client id was accepted already and must not be delivered a second time.
bool RelayServer::is_known(const std::string& client_id) const {
  return requests_.is_in_flight(client_id) || store_.remembers(client_id) ||
         requests_.recently_completed(client_id);
}

void RelayServer::on_request(Message message, Microseconds time_left, ReplyCallback reply) {
  if (requests_.coalesce(message.id, reply)) return;
  // A duplicate: the client lost the reply and sent the request again on a new connection.
  if (is_known(message.id)) return reply(kAccepted);
  if (HERONVANE_DEFECT_NOW("forget-message")) return reply(kAccepted);
  if (HERONVANE_DEFECT_NOW("crash")) std::abort();
  if (drain_.draining()) return reject(reply, RejectReason::draining);
  if (!copies_->ready() || copies_->is_under_replicated()) return reject(reply, RejectReason::too_few_copies);
  if (!endpoints_.directory().knows_destination(message.destination)) {
    // Until the first endpoint list has arrived, an unknown destination may turn out to exist.
    if (!endpoints_.list_received()) return reject(reply, RejectReason::no_destination_list);
    return reply({404, 0, "unknown destination"});
  }
  message.deadline = store_.clock().now() + time_left;
  const std::size_t open = requests_.queued() + store_.open();
  if (open >= static_cast<std::size_t>(config_.settings.max_in_flight))
    return reject(reply, RejectReason::in_flight_limit);
  if (!committer_.is_writable()) return reject(reply, RejectReason::store_not_writable);
  if (!store_.admit(message)) return reject(reply, RejectReason::no_capacity);
  reply = requests_.shared(message.id, std::move(reply));
  if (HERONVANE_DEFECT("answer-before-record")) std::exchange(reply, [](const ClientReply&) {})(kAccepted);
  requests_.enqueue(std::move(message), std::move(reply));
  cycle_.schedule(DecisionCycle::Urgency::urgent);
}

// Rejects a request that was not accepted; the client may retry.
void RelayServer::reject(const ReplyCallback& reply, RejectReason reason) {
  status_.rejected(reason);
  reply(kUnavailable);
}

void RelayServer::completed(MessageId id, bool was_acknowledged) {
  const Held* const held = store_.find(id);
  if (held == nullptr) return;
  const std::string client_id = held->message.id;
  requests_.remove(client_id);
  status_.request_removed(id);
  store_.finish(id, was_acknowledged);
  if (was_acknowledged && !store_.remembers(client_id)) requests_.cache_completed(client_id, steady_now());
}

// Ends a request that was not delivered: by the reply if its client still waits for one, else by an outcome
// notification.
void RelayServer::end_request(WriteAheadPlan& plan, MessageId id, const Ending& decided) {
  const Held* const held = store_.find(id);
  if (held == nullptr || held->ending) return;
  const Ending ending = HERONVANE_DEFECT("refuse-in-doubt") ? Ending{true, kRetryAfter} : decided;
  if (auto reply = requests_.take_reply(id)) {
    status_.rejected(ending.deferred ? RejectReason::decided_reject : RejectReason::decided_fail);
    plan.replies.push_back(
        {0, std::move(*reply), ending.deferred ? ClientReply{503, ending.again} : ClientReply{504, 0}});
    return completed(id, false);
  }
  store_.give_up(id, ending);
  plan.notifications.push_back(id);
}

// Ends requests past their deadline while the records of their ends can't be written or are not durable yet:
// clients must be notified in time all the same. After a restart without such a record the request is
// overdue, so that no call is made and the notification is sent once more, which is harmless.
void RelayServer::expire_overdue() {
  const Microseconds now = store_.clock().now();
  std::vector<MessageId> overdue;
  for (const auto& [id, held] : store_.held())
    if (held.message.deadline <= now) overdue.push_back(id);
  for (const MessageId id : overdue) {
    if (!store_.find(id)->ending) {
      store_.give_up(id, {false, 0});
      cycle_.notify(event::RequestWithdrawn{id});
    }
    const Held& held = *store_.find(id);
    platform_.notices().send(id, held.message.id, *held.ending);
  }
}

// ---- The decision cycle. ----
void RelayServer::run_cycle() {
  WriteAheadPlan plan;
  admit_queued();
  if (lifecycle_.rules().decides && committer_.is_writable()) {
    decide(plan);
    endpoints_.store_learned_state();
    endpoints_.notify_next_part();
  }
  for (auto& [id, reply] : requests_.take_replies()) {
    const bool rejects = HERONVANE_DEFECT_NOW("refuse-yet-keep");
    plan.replies.push_back({id, std::move(reply), rejects ? kUnavailable : kAccepted});
  }
  committer_.commit(std::move(plan));
  committer_.compact_if_wanted();
}

// Assigns ids to the queued requests and adds their records to the store.
void RelayServer::admit_queued() {
  for (auto& [message, reply] : requests_.take_queued()) {
    const MessageId id = store_.next_number();
    requests_.add(id, message.id);
    cycle_.enqueue(arrival(id, message));
    requests_.await_reply(id, std::move(reply));
    status_.request_added(id, message.message_class, store_.clock().now());
    store_.accept(id, std::move(message));
  }
}

event::RequestArrived RelayServer::arrival(MessageId id, const Message& message) const {
  event::RequestArrived arrived;
  arrived.id = id;
  arrived.destination = message.destination;
  arrived.message_class = config_.names.classes.at(message.message_class);
  arrived.tenant = heronvane::dispatch::adapter::index_of(config_.names.tenants, message.tenant);
  arrived.time_left = message.deadline - store_.clock().now();
  arrived.repeat = message.repeat;
  return arrived;
}

void RelayServer::decide(WriteAheadPlan& plan) {
  executor_.begin_plan();
  for (const auto& decided : cycle_.decide()) apply(plan, decided);
}

void RelayServer::apply(WriteAheadPlan& plan, const heronvane::dispatch::Action& decided) {
  const Overloaded act{
      [&](const action::Send& send) { executor_.plan_attempt(plan, send, cycle_.started_at()); },
      [&](const action::Reject& end) {
        end_request(plan, end.id, {true, end.retry_after});
      },
      [&](const action::Fail& end) {
        end_request(plan, end.id, {false, 0});
      },
      [&](const action::Cancel& cancel) { executor_.cancel(cancel.id, cancel.attempt); },
      [&](const action::CloseIdle& close) { executor_.close_idle(close.endpoint); },
      [&](const action::SetTimer& timer) { cycle_.set_timer(timer.after, timer.token); },
      [&](const action::PollEndpointList&) { platform_.fetch(); },
      [&](const action::Subscribe& subscribe) {
        if (subscribe.on) {
          platform_.watch();
        } else {
          platform_.unwatch();
        }
      },
      [](const action::CheckHealth&) {},  // a relay's settings turn no health checks on
      [&](const action::SendGossip& gossip) {
        if (peers_) peers_->send(gossip.peer, gossip.body);
      },
      [](const action::Log& line) { log(line.text); },
  };
  std::visit(act, decided);
}

// ---- Outcomes. ----
void RelayServer::on_attempt_ended(const event::AttemptEnded& outcome) {
  event::AttemptEnded ended = outcome;
  if (HERONVANE_DEFECT("resend-in-doubt") &&
      (ended.outcome == Outcome::error || ended.outcome == Outcome::reset)) {
    ended.outcome = Outcome::rejected;
  }
  if (HERONVANE_DEFECT("ignore-wait")) ended.retry_after = 0;
#ifdef HERONVANE_FAIL_POINTS
  if (ended.request_completed && HERONVANE_DEFECT_NOW("end-after-delivery")) notify_late(ended.id, {});
#endif
  HERONVANE_POINT("outcome.came");
  if (ended.request_completed) {
    completed(ended.id);
  } else if (store_.find(ended.id) != nullptr) {
    store_.outcome(ended.id, ended.attempt, ended.outcome);
  }
  committer_.commit_soon();
  cycle_.notify(ended);
  if (cycle_.dispatcher().queued_requests() > 0) cycle_.schedule(DecisionCycle::Urgency::urgent);
  // Withdraws calls whose connections would come up after the endpoint asked to wait.
  if (ended.retry_after > 0) executor_.withdraw_rate_limited(ended.endpoint);
}

void RelayServer::execute(WriteAheadPlan plan) {
  for (auto& pending : plan.replies) {
    HERONVANE_POINT("reply.before");
    pending.callback(pending.reply);
    HERONVANE_POINT("reply.after");
  }
  for (auto& call : plan.calls) executor_.begin(call.endpoint, std::move(call.messages));
  for (const MessageId id : plan.notifications) {
#ifdef HERONVANE_FAIL_POINTS
    if (HERONVANE_DEFECT("no-notice")) continue;
    if (HERONVANE_DEFECT("late-end")) {
      notify_late(id, {});
      continue;
    }
#endif
    if (const Held* const held = store_.find(id))
      platform_.notices().send(id, held->message.id, *held->ending);
  }
}

void RelayServer::reject_uncommitted(const std::vector<WriteAheadPlan::PendingReply>& replies,
                                     CommitFailure why) {
  const ClientReply reply = why == CommitFailure::not_written ? kUnavailable : kOutcomeUnknown;
  for (const auto& pending : replies) {
    HERONVANE_POINT("turn-away.before");
    pending.callback(reply);
    if (pending.id == 0) continue;
    status_.rejected(RejectReason::commit_failed);
    completed(pending.id, false);
    cycle_.notify(event::RequestWithdrawn{pending.id});
  }
}

#ifdef HERONVANE_FAIL_POINTS
// A deliberate defect for tests: sends the notification 1.5 s late.
void RelayServer::notify_late(MessageId id, const Ending& ending) {
  const Held* const held = store_.find(id);
  if (held == nullptr) return;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(1500));
  timer->async_wait([this, timer, id, client_id = held->message.id, ending](boost::system::error_code) {
    platform_.notices().send(id, client_id, ending);
  });
}
#endif

}  // namespace heronvane

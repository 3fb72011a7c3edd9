#include "relay.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "fail_points.hpp"
#include "log.hpp"
#include "startup/start_error.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace event = heronvane::dispatch::event;
namespace action = heronvane::dispatch::action;
using boost::system::error_code;

namespace {

// Share of the memory for bodies that are being read.
constexpr std::size_t kBodyPart = 8;
constexpr Microseconds kComeBack = 500'000;  // what found no room may come again after this

// A list may take a part of the memory; 4 MiB hold 30,000 endpoints.
std::size_t most_list(const Config& c) {
  constexpr std::size_t kLeast = 4 << 20, kPart = 8;
  return std::max<std::size_t>(kLeast, c.memory_bytes / kPart);
}

store::Options store_options(const Config& c) {
  store::Options options;
  options.limit_bytes = c.disk_bytes;
  options.attempts_max = c.settings.max_attempts;
  options.memory_bytes = c.memory_bytes;
  options.remembers = [&c](const Message& m) {
    const auto cls = c.names.classes.find(m.message_class);
    return cls == c.names.classes.end() ||
           c.settings.classes[static_cast<std::size_t>(cls->second)].idempotency !=
               heronvane::dispatch::Idempotency::idempotent;
  };
  options.vital_facts = drain_facts();
  options.log = log;
  options.durability = c.own.store.durability;
  options.remember_window = c.own.store.remember_window;
  return options;
}

Microseconds longest_deadline(const heronvane::dispatch::Settings& s) {
  Microseconds longest = 0;
  for (const auto& c : s.classes) longest = std::max(longest, c.deadline);
  return longest;
}

std::string text_of(const net::ip::tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

std::unique_ptr<store::Disk> locked_folder(const std::string& path) {
  try {
    return store::open_folder(path);
  } catch (const std::exception& error) {
    throw startup::as_start_error(error, startup::Step::folder);
  }
}

// Bound and listening: who connects from now on waits until the intake accepts.
net::ip::tcp::acceptor listening(net::io_context& io, const net::ip::tcp::endpoint& address) {
  try {
    return net::ip::tcp::acceptor(io, address);
  } catch (const boost::system::system_error& e) {
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "listen: " + text_of(address) + ": " + e.code().message());
  }
}

}  // namespace

Relay::Relay(net::io_context& io, const Config& config, Start start)
    : io_(io),
      config_(config),
      start_(std::move(start)),
      folder_(locked_folder(config.state_folder)),
      listener_(listening(io, config.listen)),
      peers_(hear_peers()),
      admin_(open_admin()),
      committer_(io, *folder_, store_options(config), commit_hooks()),
      store_(committer_.store()),
      copies_(open_copies()),
      cycle_(io, config.settings, config.seed,
             CyclePacing(config.settings.min_decision_interval, config.own.relay.early_rounds),
             {[this] { return suspend_monitor_.is_current(); }, [this] { run_cycle(); }}),
      endpoints_(config, committer_, cycle_, endpoint_hooks()),
      executor_(io, config, committer_, endpoints_.directory(), executor_hooks()),
      platform_(
          io, config.discovery, config.names, config.known.index, most_list(config),
          [this](MemberList list) { endpoints_.apply(std::move(list), text_of(platform_.address())); },
          [this] { cycle_.notify(event::EndpointListFailed{}); },
          [this](const std::vector<MessageId>& ids) {
            for (const MessageId id : ids) completed(id);
            committer_.commit();
          }),
      requests_(longest_deadline(config.settings)),
      refused_(io, "messages refused"),
      drain_(io, *folder_, start_.run, read_drain(store_.facts()), drain_hooks()),
      suspend_monitor_(io, config.own.relay.wake, suspend_hooks()),
      generation_(config.generation),
      shutdown_timer_(io) {
  endpoints_.start();
  committer_.listen();
  if (start_.undrain) drain_.end_at_start(*start_.undrain, store_);
  drain_.resume();
  endpoints_.restore_learned_state();
  HERONVANE_POINT("recover.taken-back");
  // With copies, once it is known that the log is still this relay's.
  if (copies_) {
    copies_->start();
  } else {
    without_copies();
    recover();
  }
  HERONVANE_POINT("recover.done");
  // Nothing is under way before: what fails by here leaves no completion behind that would reach this relay.
  if (peers_) peers_->start();
  if (admin_) admin_->start();
  intake_.emplace(
      io, std::move(listener_), config.settings, config.names,
      IntakeLimits{config.client_connections, config.memory_bytes / kBodyPart},
      [this](Message m, Microseconds left, ReplyCallback reply) {
        on_request(std::move(m), left, std::move(reply));
      },
      [this] { return ready(); });
  suspend_monitor_.start();
  drain_.check_complete();
  log("listening as " + config.name);
}

std::unique_ptr<Peers> Relay::hear_peers() {
  const auto& s = config_.settings;
  if (!s.gossip || !config_.peer_listen) return nullptr;
  const auto heard = [this](int from, std::string body) {
    // They would pile up while the module is not asked; any may be lost.
    if (!committer_.is_writable() || !lifecycle_.rules().decides) return;
    cycle_.notify(event::GossipReceived{from, std::move(body)});
  };
  try {
    return std::make_unique<Peers>(io_, *config_.peer_listen, config_.peers, config_.peers_all, s.relay_index,
                                   heard);
  } catch (const boost::system::system_error& e) {
    const auto& address = *config_.peer_listen;
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "peer_listen: " + address.address().to_string() + ":" +
                                  std::to_string(address.port()) + ": " + e.code().message());
  }
}

// The copies refer to the store and to all that hears of them.
Relay::~Relay() { copies_.reset(); }

Committer::Hooks Relay::commit_hooks() {
  Committer::Hooks hooks;
  hooks.execute = [this](WriteAheadPlan plan) { execute(std::move(plan)); };
  hooks.reject = [this](std::vector<WriteAheadPlan::PendingReply> replies, CommitFailure why) {
    reject(std::move(replies), why);
  };
  hooks.withdrawn = [this](const EndpointId& endpoint, const Outgoing& message) {
    executor_.take_back(endpoint, message);
  };
  hooks.plans_wait = [this] {
    if (copies_) copies_->hurry();
  };
  hooks.writable_again = [this] {
    endpoints_.resynchronize();
    cycle_.schedule();  // what came meanwhile is decided on now
  };
  hooks.expire_overdue = [this] { expire_overdue(); };
  return hooks;
}

Executor::Hooks Relay::executor_hooks() {
  Executor::Hooks hooks;
  hooks.ended = [this](const event::AttemptEnded& outcome) { ended(outcome); };
  hooks.may_begin = [this] { return suspend_monitor_.is_current(); };
  hooks.withdrawn = [this](const event::AttemptEnded& outcome) { cycle_.notify(outcome); };
  return hooks;
}

EndpointView::Hooks Relay::endpoint_hooks() {
  EndpointView::Hooks hooks;
  hooks.located = [this](const Member& member) { executor_.locate(member); };
  hooks.unfit = [this](const EndpointId& endpoint) { executor_.abandon(endpoint); };
  return hooks;
}

event::RequestArrived Relay::arrival(MessageId id, const Message& m) const {
  event::RequestArrived a;
  a.id = id;
  a.destination = m.destination;
  a.message_class = config_.names.classes.at(m.message_class);
  a.tenant = heronvane::dispatch::adapter::position(config_.names.tenants, m.tenant);
  a.time_left = m.deadline - store_.clock().now();
  a.repeat = m.repeat;
  return a;
}

bool Relay::ready() const {
  if (HERONVANE_DEFECT("never-ready-again") && HERONVANE_SECOND_LIFE()) return false;
  return lifecycle_.rules().reports_ready && !drain_.draining() && committer_.is_writable() && copied() &&
         store_.trouble().empty() && endpoints_.directory().any_active();
}

// ---- What comes in. ----
// Whether a request of that id was taken on already: it must not be sent a second time.
bool Relay::is_known(const std::string& client_id) const {
  return requests_.is_in_flight(client_id) || store_.remembers(client_id) ||
         requests_.completed_lately(client_id);
}

void Relay::on_request(Message message, Microseconds left, ReplyCallback reply) {
  if (requests_.coalesce(message.id, reply)) return;
  // Sent again on a new connection, since the reply was lost.
  if (is_known(message.id)) return reply({202, 0});
  if (HERONVANE_DEFECT_NOW("forget-message")) return reply({202, 0});
  if (HERONVANE_DEFECT_NOW("crash")) std::abort();
  if (drain_.draining()) return refuse(reply, "draining");
  if (!copied()) return refuse(reply, "too few copies");
  // Before discovery has told its list, an unknown destination may only be unknown yet.
  if (!endpoints_.directory().knows(message.destination))
    return endpoints_.list_received() ? reply({404, 0, "unknown destination"})
                                      : refuse(reply, "no list of destinations yet");
  message.deadline = store_.clock().now() + left;
  const std::size_t open = requests_.queued() + store_.open();
  if (open >= static_cast<std::size_t>(config_.settings.max_in_flight))
    return refuse(reply, "open messages at their bound");
  if (!committer_.is_writable()) return refuse(reply, "the folder can't be written");
  if (!store_.admit(message)) return refuse(reply, "no room in the folder or memory");
  reply = requests_.shared(message.id, std::move(reply));
  if (HERONVANE_DEFECT("answer-before-record")) std::exchange(reply, [](const ClientReply&) {})({202, 0});
  requests_.enqueue(std::move(message), std::move(reply));
  cycle_.schedule(DecisionCycle::Urgency::urgent);
}

// Nothing was taken on; the client may come again.
void Relay::refuse(const ReplyCallback& reply, const char* why) {
  refused_.add(why);
  reply({503, kComeBack});
}

void Relay::ended(const event::AttemptEnded& outcome) {
  event::AttemptEnded e = outcome;
  if (HERONVANE_DEFECT("resend-in-doubt") && (e.outcome == Outcome::error || e.outcome == Outcome::reset))
    e.outcome = Outcome::rejected;
  if (HERONVANE_DEFECT("ignore-wait")) e.retry_after = 0;
#ifdef HERONVANE_FAIL_POINTS
  if (e.request_completed && HERONVANE_DEFECT_NOW("end-after-delivery")) tell_late(e.id, {});
#endif
  HERONVANE_POINT("outcome.came");
  if (e.request_completed)
    completed(e.id);
  else if (store_.find(e.id) != nullptr)
    store_.outcome(e.id, e.attempt, e.outcome);
  committer_.commit_soon();
  cycle_.notify(e);
  if (cycle_.dispatcher().queued_requests() > 0) cycle_.schedule(DecisionCycle::Urgency::urgent);
  // Guards against calls whose connections come up after the wait was told.
  if (e.retry_after > 0) executor_.withdraw_rate_limited(e.endpoint);
}

// ---- The decision cycle. ----
void Relay::run_cycle() {
  WriteAheadPlan plan;
  for (auto& [message, reply] : requests_.take_queued()) {
    const MessageId id = store_.next_number();
    requests_.add(id, message.id);
    cycle_.enqueue(arrival(id, message));
    requests_.await_reply(id, std::move(reply));
    if (admin_) gauge_.taken(id, message.message_class, store_.clock().now());
    store_.take(id, std::move(message));
  }
  if (lifecycle_.rules().decides && committer_.is_writable()) {
    decide(plan);
    endpoints_.store_learned_state();
    endpoints_.notify_next_part();
  }
  for (auto& [id, reply] : requests_.take_replies()) {
    const bool refused = HERONVANE_DEFECT_NOW("refuse-yet-keep");
    plan.replies.push_back(
        {id, std::move(reply), refused ? ClientReply{503, kComeBack} : ClientReply{202, 0}});
  }
  committer_.commit(std::move(plan));
  committer_.compact_if_wanted();
}

void Relay::decide(WriteAheadPlan& plan) {
  executor_.begin_plan();
  for (const auto& a : cycle_.decide()) {
    if (const auto* x = std::get_if<action::Send>(&a))
      executor_.plan_attempt(plan, *x, cycle_.started_at());
    else if (const auto* r = std::get_if<action::Reject>(&a))
      finish(plan, r->id, {true, r->retry_after});
    else if (const auto* f = std::get_if<action::Fail>(&a))
      finish(plan, f->id, {false, 0});
    else if (const auto* c = std::get_if<action::Cancel>(&a))
      executor_.cancel(c->id, c->attempt);
    else if (const auto* i = std::get_if<action::CloseIdle>(&a))
      executor_.close_idle(i->endpoint);
    else if (const auto* t = std::get_if<action::SetTimer>(&a))
      cycle_.set_timer(t->after, t->token);
    else if (std::holds_alternative<action::PollEndpointList>(a))
      platform_.fetch();
    else if (const auto* s = std::get_if<action::Subscribe>(&a))
      s->on ? platform_.watch() : platform_.unwatch();
    else if (const auto* n = std::get_if<action::SendGossip>(&a))
      peers_ ? peers_->tell(n->peer, n->body) : void();
    else if (const auto* l = std::get_if<action::Log>(&a))
      log(l->text);
  }
}

// An end that is not a delivery: told in the answer where the client still waits for it, else by a notice.
void Relay::finish(WriteAheadPlan& plan, MessageId id, const Ending& decided) {
  const Held* const held = store_.find(id);
  if (held == nullptr || held->ending) return;
  const Ending ending = HERONVANE_DEFECT("refuse-in-doubt") ? Ending{true, kComeBack} : decided;
  if (auto reply = requests_.take_reply(id)) {
    refused_.add(ending.deferred ? "turned away by the decisions" : "failed by the decisions");
    plan.replies.push_back(
        {0, std::move(*reply), ending.deferred ? ClientReply{503, ending.again} : ClientReply{504, 0}});
    return completed(id, false);
  }
  store_.ending(id, ending);
  plan.notifications.push_back(id);
}

void Relay::completed(MessageId id, bool was_taken_on) {
  const Held* const held = store_.find(id);
  if (held == nullptr) return;
  const std::string client_id = held->message.id;
  requests_.remove(client_id);
  gauge_.over(id);
  store_.over(id, was_taken_on);
  if (was_taken_on && !store_.remembers(client_id)) requests_.cache_completed(client_id, steady_now());
}

// Ends that are due while their records can't be written, or don't last yet: they are owed in time all the
// same. A restart that finds no record of such an end finds the message overdue, makes no call, and tells the
// end once more, which does no harm.
void Relay::expire_overdue() {
  const Microseconds now = store_.clock().now();
  std::vector<MessageId> overdue;
  for (const auto& [id, held] : store_.held())
    if (held.message.deadline <= now) overdue.push_back(id);
  for (const MessageId id : overdue) {
    if (!store_.find(id)->ending) {
      store_.ending(id, {false, 0});
      cycle_.notify(event::RequestWithdrawn{id});
    }
    const Held& held = *store_.find(id);
    platform_.notice(id, held.message.id, *held.ending);
  }
}

void Relay::reject(std::vector<WriteAheadPlan::PendingReply> replies, CommitFailure why) {
  const bool not_written = why == CommitFailure::not_written;
  const ClientReply reply = not_written ? ClientReply{503, kComeBack} : ClientReply{504, 0};
  for (auto& pending : replies) {
    HERONVANE_POINT("turn-away.before");
    pending.callback(reply);
    if (pending.id == 0) continue;
    refused_.add("its record could not be written in time");
    completed(pending.id, false);
    cycle_.notify(event::RequestWithdrawn{pending.id});
  }
}

void Relay::execute(WriteAheadPlan plan) {
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
      tell_late(id, {});
      continue;
    }
#endif
    if (const Held* const held = store_.find(id)) platform_.notice(id, held->message.id, *held->ending);
  }
}

#ifdef HERONVANE_FAIL_POINTS
// A defect to be found: a notice, a second and a half late.
void Relay::tell_late(MessageId id, const Ending& ending) {
  const Held* const held = store_.find(id);
  if (held == nullptr) return;
  const auto timer = std::make_shared<net::steady_timer>(io_, std::chrono::milliseconds(1500));
  timer->async_wait(
      [this, timer, id, name = held->message.id, ending](error_code) { platform_.notice(id, name, ending); });
}
#endif

// ---- A new configuration. ----
void Relay::reconfigure(const Config& config) {
  log("configuration read again: discovery at " + text_of(config.discovery));
  platform_.move(config.discovery);
  generation_ = config.generation;
  if (copies_ && config.own.copies.on) copies_->members(config.own.copies.members);
}

}  // namespace heronvane

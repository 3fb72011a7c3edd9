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
using heronvane::dispatch::Listing;

namespace {

// Share of the memory for bodies that are being read.
constexpr std::size_t kBodyPart = 8;
constexpr Microseconds kComeBack = 500'000;                  // what found no room may come again after this
constexpr auto kStallRetry = std::chrono::milliseconds(50);  // until the store is tried again
constexpr auto kCompactRetry = std::chrono::milliseconds(250);  // where compaction found no room

std::chrono::microseconds span(Microseconds t) {
  return std::chrono::microseconds(std::max<Microseconds>(t, 0));
}

CallLimits call_limits(const Config& c) {
  CallLimits limits;
  limits.slots = static_cast<std::size_t>(c.settings.max_concurrent_calls);
  limits.connect_timeout = c.settings.connect_timeout;
  limits.idle = c.settings.connection_idle_timeout;
  limits.connections = c.endpoint_connections;
  limits.reports = c.reports_in_answers;
  limits.wait_for_rest = !c.own.relay.early_rounds;
  return limits;
}

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
    throw startup::to_start_error(error, startup::Step::state_folder);
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
      sync_thread_(sync_thread()),
      store_(*folder_, store_options(config), sync_thread_.get()),
      copies_(open_copies()),
      unavailable_endpoints_(
          store_.facts(), config.known, store_.clock().now(),
          [this](const std::string& key, const std::string& value) { return keep(key, value); }),
      known_(unavailable_endpoints_.restrict_configured(config.known)),
      restored_states_(store_.facts(), {config.own.store.keep_health, config.own.store.keep_waits},
                       store_.clock().now()),
      dispatcher_(config.settings, config.seed),
      calls_(
          io, call_limits(config), [this](const event::AttemptEnded& e) { ended(e); },
          [this] { return suspend_monitor_.is_current(); }),
      platform_(
          io, config.discovery, config.names, config.known.index, most_list(config),
          [this](EndpointList list) { listed(std::move(list)); },
          [this] { happened(event::EndpointListFailed{}); },
          [this](const std::vector<MessageId>& ids) {
            for (const MessageId id : ids) completed(id);
            settle();
          }),
      requests_(longest_deadline(config.settings)),
      refused_(io, "messages refused"),
      round_gap_(config.settings.min_decision_interval, config.own.relay.early_rounds),
      drain_(io, *folder_, start_.run, read_drain(store_.facts()), drain_hooks()),
      suspend_monitor_(io, config.own.relay.wake, suspend_hooks()),
      generation_(config.generation),
      round_timer_(io),
      module_timer_(io),
      stall_timer_(io),
      shutdown_timer_(io),
      compact_timer_(io) {
  directory_.apply(
      known_, [](const EndpointId&) {},
      [this](const ListedEndpoint& m) { calls_.locate(m.endpoint.id, m.address); });
  for (const auto& m : config.known.endpoints) directory_.add_destination(m.endpoint.destination);
  events_.push_back(event::EndpointListSnapshot{directory_.all(), true});
  for (const auto& key : restored_states_.outdated_keys()) store_.keep(key, {});
  store_.on_sync([this] { synced(); });
  if (start_.undrain) drain_.end_at_start(*start_.undrain, store_);
  drain_.resume();
  recall(directory_.all());
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
    if (unwritten_ || !lifecycle_.rules().decides) return;
    happened(event::GossipReceived{from, std::move(body)});
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

// Syncs that are under way need the store's files.
Relay::~Relay() {
  copies_.reset();
  sync_thread_.reset();
}

std::unique_ptr<store::SyncThread> Relay::sync_thread() {
  if (config_.own.store.durability != store::Durability::machine) return nullptr;
  return std::make_unique<store::SyncThread>(
      *folder_, [this](std::function<void()> done) { net::post(io_, std::move(done)); });
}

event::RequestArrived Relay::arrival(MessageId id, const Message& m) const {
  event::RequestArrived a;
  a.id = id;
  a.destination = m.destination;
  a.message_class = config_.names.classes.at(m.message_class);
  a.tenant = heronvane::dispatch::adapter::index_of(config_.names.tenants, m.tenant);
  a.time_left = m.deadline - store_.clock().now();
  a.repeat = m.repeat;
  return a;
}

bool Relay::ready() const {
  if (HERONVANE_DEFECT("never-ready-again") && HERONVANE_SECOND_LIFE()) return false;
  return lifecycle_.rules().reports_ready && !drain_.draining() && !unwritten_ && copied() &&
         store_.trouble().empty() && directory_.any_active();
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
  if (!directory_.knows_destination(message.destination))
    return list_told_ ? reply({404, 0, "unknown destination"}) : refuse(reply, "no list of destinations yet");
  message.deadline = store_.clock().now() + left;
  const std::size_t open = requests_.queued() + store_.open();
  if (open >= static_cast<std::size_t>(config_.settings.max_in_flight))
    return refuse(reply, "open messages at their bound");
  if (unwritten_) return refuse(reply, "the folder can't be written");
  if (!store_.admit(message)) return refuse(reply, "no room in the folder or memory");
  reply = requests_.shared(message.id, std::move(reply));
  if (HERONVANE_DEFECT("answer-before-record")) std::exchange(reply, [](const ClientReply&) {})({202, 0});
  requests_.enqueue(std::move(message), std::move(reply));
  schedule(true);
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
  settle_soon();
  happened(e);
  if (dispatcher_.queued_requests() > 0) schedule(true);
  // Guards against calls whose connections come up after the wait was told.
  if (e.retry_after > 0) hold_back(e.endpoint);
}

void Relay::hold_back(const EndpointId& endpoint) {
  const auto* const told = directory_.find(endpoint);
  if (told == nullptr) return;
  const auto kind = static_cast<std::size_t>(told->kind);
  const bool apart = kind < config_.settings.kinds.size() && config_.settings.kinds[kind].per_endpoint_limits;
  if (apart) return keep_from(endpoint);
  for (const auto& id : std::vector<EndpointId>(directory_.endpoints_of(told->destination))) keep_from(id);
}

// Nothing that has not begun goes there now.
void Relay::keep_from(const EndpointId& endpoint) {
  calls_.hold_back(endpoint);
  outbox_.withdraw(endpoint, [this](const EndpointId& to, const Outgoing& m) { take_back(to, m); });
}

void Relay::listed(EndpointList list) {
  if (HERONVANE_DEFECT("ignore-drain"))
    for (auto& m : list.endpoints) m.endpoint.listing = Listing::active;
  const std::string discovery = text_of(platform_.address());
  const Microseconds now = store_.clock().now();
  list = unavailable_endpoints_.reconcile(std::move(list), discovery, now);
  const auto changes = directory_.apply(
      list, [&](const EndpointId& id) { unavailable_endpoints_.mark_gone(id, list.index, discovery, now); },
      [this](const ListedEndpoint& m) { calls_.locate(m.endpoint.id, m.address); });
  list_told_ = list_told_ || list.last_part;
  for (const auto& id : changes.inactive) {
    keep_from(id);
    calls_.close_idle(id);
    if (directory_.find(id) == nullptr) calls_.forget(id);
  }
  // One whole list later, rather than all that was told while the module can't be asked.
  if (unwritten_)
    list_missed_ = true;
  else
    tell_listed(changes.endpoints);
}

// In parts: a module that is told of thousands at once would hold up clients.
void Relay::tell_listed(const std::vector<heronvane::dispatch::Endpoint>& endpoints) {
  constexpr std::size_t kMost = 1'000;
  const bool others = !listed_later_.empty();
  for (std::size_t at = 0; at == 0 || at < endpoints.size(); at += kMost)
    listed_later_.emplace_back(
        endpoints.begin() + static_cast<std::ptrdiff_t>(at),
        endpoints.begin() + static_cast<std::ptrdiff_t>(std::min(at + kMost, endpoints.size())));
  if (!others) tell_next_listed();
}

void Relay::tell_next_listed() {
  if (listed_later_.empty()) return;
  const auto part = std::move(listed_later_.front());
  listed_later_.pop_front();
  happened(event::EndpointListUpdate{part});
  recall(part);
}

// While nothing can be written only the last value of each key waits: lists may go on changing for long.
bool Relay::keep(const std::string& key, const std::string& value) {
  if (!unwritten_) return store_.keep(key, value);
  if (value.empty() && store_.facts().count(key) == 0)
    kept_meanwhile_.erase(key);
  else
    kept_meanwhile_[key] = value;
  return true;
}

// The next round; `urgent` where something may be sent at once.
void Relay::schedule(bool urgent) {
  const Microseconds at = last_round_ + (urgent ? round_gap_.urgent() : round_gap_.usual());
  if (round_due_ && round_at_ <= at) return;
  round_due_ = true, round_at_ = at;
  round_timer_.set(span(at - steady_now()), [this] { round(); });
}

// ---- The round. ----
void Relay::round() {
  round_due_ = false;
  if (!suspend_monitor_.is_current()) return;
  last_round_ = steady_now();
  WriteAheadPlan plan;
  for (auto& [message, reply] : requests_.take_queued()) {
    const MessageId id = store_.next_number();
    requests_.add(id, message.id);
    events_.push_back(arrival(id, message));
    requests_.await_reply(id, std::move(reply));
    if (admin_) gauge_.taken(id, message.message_class, store_.clock().now());
    store_.take(id, std::move(message));
  }
  if (lifecycle_.rules().decides && !unwritten_) {
    decide(plan);
    remember_targets();
    tell_next_listed();
  }
  for (auto& [id, reply] : requests_.take_replies()) {
    const bool refused = HERONVANE_DEFECT_NOW("refuse-yet-keep");
    plan.replies.push_back(
        {id, std::move(reply), refused ? ClientReply{503, kComeBack} : ClientReply{202, 0}});
  }
  settle(std::move(plan));
  if (store_.wants_compaction()) compact();
  round_gap_.ran(steady_now() - last_round_);
}

void Relay::decide(WriteAheadPlan& plan) {
  std::vector<heronvane::dispatch::Action> actions;
  filling_.clear();
  const auto events = std::exchange(events_, {});
  dispatcher_.handle(last_round_, events, actions);
  for (const auto& a : actions) {
    if (const auto* x = std::get_if<action::Send>(&a))
      send(plan, *x);
    else if (const auto* r = std::get_if<action::Reject>(&a))
      finish(plan, r->id, {true, r->retry_after});
    else if (const auto* f = std::get_if<action::Fail>(&a))
      finish(plan, f->id, {false, 0});
    else if (const auto* c = std::get_if<action::Cancel>(&a))
      cancel(c->id, c->attempt);
    else if (const auto* i = std::get_if<action::CloseIdle>(&a))
      calls_.close_idle(i->endpoint);
    else if (const auto* t = std::get_if<action::SetTimer>(&a))
      set_timer(t->after, t->token);
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

void Relay::send(WriteAheadPlan& plan, const action::Send& a) {
  const Held* const held = store_.find(a.id);
  const auto* const endpoint = directory_.find(a.endpoint);
  if (held == nullptr || held->ending) return;
  const int zone = endpoint == nullptr ? -1 : endpoint->zone;
  const auto kind = endpoint == nullptr ? std::size_t{0} : static_cast<std::size_t>(endpoint->kind);
  const auto& kinds = config_.settings.kinds;
  const auto most = static_cast<std::size_t>(kind < kinds.size() ? kinds[kind].max_batch_size : 1);
  Outgoing one{a.id,
               static_cast<int>(held->attempts.size()),
               a.timeout,
               held->message.id,
               held->message.body,
               held->message.idempotency_key,
               a.start_within ? last_round_ + *a.start_within : 0};
  store_.sent(a.id, store_.clock().now(), zone);
  // Sends of one round to one endpoint travel as one call, up to so many.
  const auto [open, first] = filling_.try_emplace(a.endpoint, plan.calls.size());
  if (!first && plan.calls[open->second].second.size() < most) {
    plan.calls[open->second].second.push_back(std::move(one));
    return;
  }
  open->second = plan.calls.size();
  plan.calls.emplace_back(a.endpoint, std::vector<Outgoing>{});
  plan.calls.back().second.push_back(std::move(one));
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

void Relay::cancel(MessageId id, int attempt) {
  outbox_.withdraw(id, attempt, [this](const EndpointId& to, const Outgoing& m) { take_back(to, m); });
  calls_.cancel(id, attempt);
}

// A call that was planned and has not begun.
void Relay::take_back(const EndpointId& endpoint, const Outgoing& message) {
  event::AttemptEnded e;
  e.id = message.id, e.attempt = message.attempt, e.endpoint = endpoint, e.outcome = Outcome::not_sent;
  if (store_.find(e.id) != nullptr)
    store_.outcome(e.id, e.attempt, e.outcome);
  else
    e.request_completed = true;
  happened(e);
}

// Once for all outcomes that come in one turn of the loop.
void Relay::settle_soon() {
  if (std::exchange(settle_due_, true)) return;
  net::post(io_, [this] {
    if (std::exchange(settle_due_, false)) settle();
  });
}

// Writes the records, then does what waited for them.
void Relay::settle(WriteAheadPlan plan) {
  settle_due_ = false;
  outbox_.put(std::move(plan));
  HERONVANE_POINT("commit.before");
  if (!store_.commit()) return not_written();
  HERONVANE_POINT("commit.after");
  outbox_.written(store_.written());
  if (std::exchange(unwritten_, false)) {
    for (const auto& [key, value] : std::exchange(kept_meanwhile_, {})) store_.keep(key, value);
    if (std::exchange(list_missed_, false)) {
      listed_later_.clear();
      const auto all = directory_.all();
      happened(event::EndpointListSnapshot{all, false});
      recall(all);
    }
    schedule();  // what came meanwhile is decided on now
  }
  if (copies_ && !outbox_.empty()) copies_->hurry();
  carry_out();
  // Their records may stand after all, so nothing is promised.
  if (store_.sync_hangs()) turn_away(outbox_.take_replies(), 504);
  if (!store_.trouble().empty() || !outbox_.empty()) retry_later();
}

// Nothing that was planned goes as it was planned: by the time the store can be written the module is asked
// anew.
void Relay::not_written() {
  unwritten_ = true;
  HERONVANE_POINT("not-written");
  // Their clients wait only so long: what stands in no record was not taken on. Others wait for their sync.
  turn_away(outbox_.take_unwritten_replies(), 503);
  if (store_.sync_hangs()) turn_away(outbox_.take_replies(), 504);
  outbox_.withdraw_all([this](const EndpointId& to, const Outgoing& m) { take_back(to, m); });
  retry_later();
}

// Durability for the machine: records stand, or a disk is in trouble and clients wait only so long.
void Relay::synced() {
  carry_out();
  if (!store_.trouble().empty()) {
    // Their records may stand after all, so nothing is promised.
    turn_away(outbox_.take_replies(), 504);
    retry_later();
  }
  if (store_.wants_compaction()) compact();
}

void Relay::retry_later() {
  stall_timer_.set(kStallRetry, [this] {
    settle();
    if (unwritten_ || !outbox_.empty()) tell_overdue();
    if (store_.wants_compaction()) compact();
  });
}

// Ends that are due while their records can't be written, or don't last yet: they are owed in time all the
// same. A restart that finds no record of such an end finds the message overdue, makes no call, and tells the
// end once more, which does no harm.
void Relay::tell_overdue() {
  const Microseconds now = store_.clock().now();
  std::vector<MessageId> overdue;
  for (const auto& [id, held] : store_.held())
    if (held.message.deadline <= now) overdue.push_back(id);
  for (const MessageId id : overdue) {
    if (!store_.find(id)->ending) {
      store_.ending(id, {false, 0});
      happened(event::RequestWithdrawn{id});
    }
    const Held& held = *store_.find(id);
    platform_.notice(id, held.message.id, *held.ending);
  }
}

void Relay::turn_away(std::vector<WriteAheadPlan::PendingReply> answers, unsigned status) {
  for (auto& a : answers) {
    HERONVANE_POINT("turn-away.before");
    a.callback({status, status == 503 ? kComeBack : 0});
    if (a.id == 0) continue;
    refused_.add("its record could not be written in time");
    completed(a.id, false);
    happened(event::RequestWithdrawn{a.id});
  }
}

void Relay::carry_out() {
  while (auto plan = outbox_.next(store_.durable())) {
    for (auto& r : plan->replies) {
      HERONVANE_POINT("reply.before");
      r.callback(r.reply);
      HERONVANE_POINT("reply.after");
    }
    for (auto& [endpoint, messages] : plan->calls) begin(endpoint, std::move(messages));
    for (const MessageId id : plan->notifications) {
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

void Relay::begin(const EndpointId& endpoint, std::vector<Outgoing> messages) {
  HERONVANE_POINT("call.planned");
  const Microseconds now = store_.clock().now();
  // A long list reaches the module part by part: what it says of an endpoint binds at once.
  const auto* const told = directory_.find(endpoint);
  const bool fit = told != nullptr && told->listing == Listing::active;
  std::erase_if(messages, [&](Outgoing& m) {
    const Held* const held = store_.find(m.id);
    // It may have waited for its records, and its message have been given up meanwhile.
    if (held != nullptr) m.timeout = std::min(m.timeout, held->message.deadline - now);
    if (fit && held != nullptr && !held->ending && m.timeout > 0) return false;
    take_back(endpoint, m);
    return true;
  });
  if (messages.empty()) return;
  if (HERONVANE_DEFECT_NOW("wrong-destination"))
    for (const auto& other : directory_.all())
      if (other.destination != told->destination) return calls_.send(other.id, std::move(messages));
  if (HERONVANE_DEFECT_NOW("send-twice")) calls_.send(endpoint, std::vector<Outgoing>(messages));
  calls_.send(endpoint, std::move(messages));
}

// ---- Timers of the module. ----
void Relay::set_timer(Microseconds after, std::uint64_t token) {
  timers_.emplace(last_round_ + after, token);
  arm_timers();
}

void Relay::arm_timers() {
  if (timers_.empty()) return;
  module_timer_.set(span(timers_.begin()->first - steady_now()), [this] {
    const Microseconds now = steady_now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      happened(event::TimerExpired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    arm_timers();
  });
}

void Relay::compact() {
  if (std::exchange(compacting_, true)) return;
  net::post(io_, [this] {
    const auto step = store_.compact();
    compacting_ = step == store::Store::Step::blocked;
    if (step == store::Store::Step::more) return compact();
    if (!compacting_) return;
    // Guards against a full disk that keeps a core busy.
    compact_timer_.set(kCompactRetry, [this] {
      compacting_ = false;
      if (store_.wants_compaction()) compact();
    });
  });
}

// ---- A new configuration. ----
void Relay::reconfigure(const Config& config) {
  log("configuration read again: discovery at " + text_of(config.discovery));
  platform_.move(config.discovery);
  generation_ = config.generation;
  if (copies_ && config.own.copies.on) copies_->members(config.own.copies.members);
}

}  // namespace heronvane

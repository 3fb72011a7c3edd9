#include "day.hpp"

#include <algorithm>
#include <stdexcept>
#include <type_traits>

namespace decisions {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kMaxRounds = 30'000;

}  // namespace

Day::Day(std::uint64_t seed, Recorder& recorder)
    : random_(seed), recorder_(recorder), day_(draw_scenario(random_)), receivers_(day_, random_) {
  now_ = day_.begin;
  next_arrival_ = now_;
  next_incident_ = now_ + day_.incident_gap;
}

void Day::run() {
  probe_settings();
  start_module();
  while (round()) {
  }
  observe();
}

// ---- The module's instances. ----

void Day::probe_settings() {
  const int probe = static_cast<int>(random_.between(0, setting_probes() - 1));
  bool accepted = true;
  std::string reason;
  try {
    const Binding binding(probed_settings(day_.settings, probe), 1);
  } catch (const std::invalid_argument& e) {
    accepted = false;
    reason = e.what();
  }
  recorder_.add_validation(probe, accepted, reason);
}

void Day::start_module() {
  module_ =
      std::make_unique<Binding>(day_.settings, day_.module_seed + static_cast<std::uint64_t>(restarts_));
  if (random_.chance(0.2))
    enqueue(now_, event::ListFailed{});
  else
    enqueue(now_, event::ListComplete{receivers_.listed(), random_.chance(0.4)});
}

void Day::restart() {
  if (restarts_ >= day_.restarts) return;
  restarts_++;
  queue_.clear();
  last_end_.reset();
  receivers_.forget_calls();
  now_ += random_.one_of<Micros>({0, 50 * kMillisecond, 1 * kSecond, 8 * kSecond});
  next_arrival_ = std::max(next_arrival_, now_);
  start_module();
  for (Event& e : learned_.restored(now_, random_))
    enqueue(now_ + (random_.chance(0.8) ? 0 : random_.between(0, 5 * kSecond)), std::move(e));
  for (event::Recovered& r : requests_.restart(now_)) enqueue(now_, std::move(r));
}

// An instance that is moved goes on as if it had stayed.
void Day::move_module_at_times() {
  if (rounds_ % 1'000 != 0) return;
  Binding elsewhere(day_.settings, 0);
  elsewhere = std::move(*module_);
  module_ = std::make_unique<Binding>(std::move(elsewhere));
}

// ---- Rounds. ----

Micros Day::next_moment() const {
  Micros next = std::min(next_arrival_, next_incident_);
  if (!queue_.empty()) next = std::min(next, queue_.begin()->first.at);
  return next;
}

bool Day::round() {
  const Micros least = now_ + (random_.chance(0.02) ? 0 : day_.settings.tick);
  now_ = std::max(next_moment(), least);
  if (random_.chance(0.002)) now_ += random_.between(0, 400) * kMillisecond;  // the relay was held up
  if (now_ > day_.begin + day_.length || rounds_++ > kMaxRounds) return false;
  while (next_arrival_ <= now_) arrive();
  while (next_incident_ <= now_) incident();
  const std::vector<Event> events = due_events();
  std::vector<Action> actions;
  move_module_at_times();
  recorder_.begin_round(now_, events.size());
  module_->handle(now_, events, actions);
  calls_of_round_.clear();
  for (const Action& action : actions) recorder_.add(action);
  for (const Action& action : actions) std::visit([this](const auto& a) { carry_out(a); }, action);
  if (rounds_ % static_cast<std::uint64_t>(day_.learned_every) == 0) {
    const auto learned = module_->learned(now_, static_cast<std::size_t>(day_.learned_most));
    if (!learned.empty()) recorder_.add_states("learned", learned);
    learned_.keep(learned, now_);
  }
  if (rounds_ % static_cast<std::uint64_t>(day_.observed_every) == 0) observe();
  return true;
}

void Day::observe() {
  recorder_.add_states("observed", module_->observed(now_, static_cast<std::size_t>(day_.observed_most)));
  recorder_.add_gauges(module_->waiting(), module_->kept());
}

std::vector<Event> Day::due_events() {
  std::vector<Event> events;
  while (!queue_.empty() && queue_.begin()->first.at <= now_) {
    Event event = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    if (accept(event)) events.push_back(std::move(event));
  }
  return events;
}

// Brings the world's own tables in line with an event that the module is about to get. False: drop it.
bool Day::accept(const Event& event) {
  if (const auto* arrival = std::get_if<event::Arrival>(&event)) {
    if (requests_.holds(arrival->id)) return false;
    requests_.add(*arrival, now_);
  }
  if (const auto* ended = std::get_if<event::AttemptEnded>(&event)) {
    if (!requests_.end_attempt(*ended)) return true;  // told twice
    receivers_.end_call(ended->endpoint);
    last_end_ = *ended;
  }
  if (const auto* withdrawn = std::get_if<event::Withdrawn>(&event)) requests_.complete(withdrawn->id);
  return true;
}

Day::QueueKey Day::enqueue(Micros at, Event event) {
  const QueueKey key{at, order_++};
  queue_.emplace(key, std::move(event));
  return key;
}

// ---- Clients. ----

void Day::arrive() {
  enqueue(next_arrival_, draw_arrival());
  if (random_.chance(day_.burst_share)) return;
  const double per_s = day_.requests_per_s * load_ * (1 - day_.burst_share);
  next_arrival_ += static_cast<Micros>(random_.real(0, 2) / per_s * 1e6) + 1;
}

event::Arrival Day::draw_arrival() {
  constexpr std::uint64_t kPrime = 1'000'003;
  constexpr std::uint64_t kStep = 7'919;
  event::Arrival a;
  a.id = ++arrivals_ * kStep % kPrime;  // each once, in no order
  a.destination = random_.skewed(1, day_.destinations + (random_.chance(0.02) ? 2 : 0));
  a.request_class =
      static_cast<int>(random_.between(0, static_cast<std::int64_t>(day_.settings.classes.size()) - 1));
  a.tenant = static_cast<int>(
      random_.between(-1, static_cast<std::int64_t>(day_.settings.tenant_quotas_per_s.size())));
  a.time_left = day_.settings.classes[static_cast<std::size_t>(a.request_class)].deadline;
  if (random_.chance(0.1)) a.time_left = a.time_left * random_.between(0, 100) / 100;
  if (random_.chance(0.5)) a.order_key = "k" + std::to_string(random_.between(1, day_.order_keys));
  return a;
}

void Day::maybe_hand_in_again(RequestId id, Micros after) {
  const Request* request = requests_.find(id);
  if (request == nullptr || !random_.chance(0.3)) return;
  event::Arrival again = request->arrival;
  again.repeated = true;
  again.time_left = request->deadline - now_ - after;
  if (again.time_left > 0) enqueue(now_ + after + random_.between(0, 10'000), std::move(again));
}

// ---- Incidents. ----

void Day::incident() {
  next_incident_ += random_.skewed(1, 3 * day_.incident_gap);
  switch (random_.between(0, 19)) {
    case 0:
    case 1:
      return receivers_.fail_endpoint(now_);
    case 2:
    case 3:
      return receivers_.fail_destination(now_);
    case 4:
      return receivers_.reject_all(now_);
    case 5:
    case 6:
      return receivers_.change_limit();
    case 7:
      return receivers_.slow_down(now_);
    case 8:
      return receivers_.limit_connections();
    case 9:
      return receivers_.change_failure_share();
    case 10:
    case 11:
      load_ = random_.one_of<double>({0.05, 0.3, 1, 1, 3, 8});
      return;
    case 12:
    case 13:
    case 14:
      return change_list();
    case 15:
      return gossip_comes();
    case 16:
      return withdraw();
    case 17:
      return repeat_an_end();
    case 18:
      return uncommon_events();
    default:
      return restart();
  }
}

void Day::change_list() {
  const std::vector<Endpoint> changed = receivers_.change_list(now_);
  if (random_.chance(0.3))
    enqueue(now_ + day_.list_delay, event::ListComplete{receivers_.listed(), false});
  else
    enqueue(now_ + day_.list_delay, event::ListChanges{changed});
  if (random_.chance(0.2))
    enqueue(now_ + day_.list_delay, LearnedStore::made_up(changed.front().id, random_));
}

void Day::gossip_comes() {
  constexpr int kNotes = 6;
  for (int i = 0; i < kNotes; i++) {
    std::string body = "1r s-1";  // names no endpoint
    if (random_.chance(0.1)) body = random_.one_of<std::string>({"", "1", "2rs-1", "1x"});
    if (random_.chance(0.6)) body = "1rs-" + std::to_string(random_.between(1, 20));
    if (!gossip_bodies_.empty() && random_.chance(0.4)) body = random_.one_of(gossip_bodies_);
    const int from = static_cast<int>(random_.between(0, day_.settings.relays - 1));
    enqueue(now_ + random_.between(0, 2 * kSecond), event::Gossip{from, std::move(body)});
  }
}

void Day::withdraw() {
  constexpr int kWithdrawn = 3;
  for (int i = 0; i < kWithdrawn; i++) {
    const Request* request = requests_.at_or_after(random_.bits() % 1'000'003);
    if (request != nullptr) enqueue(now_, event::Withdrawn{request->arrival.id});
  }
  enqueue(now_, event::Withdrawn{2'000'000});  // of a request that was never there
}

void Day::uncommon_events() {
  enqueue(now_, event::HealthCheckEnded{"s-1", Outcome::served, kMillisecond});
  enqueue(now_, event::ListFailed{});
  constexpr int kRecords = 3;
  for (int i = 0; i < kRecords; i++) {
    const std::string endpoint = "s-" + std::to_string(random_.between(1, 30));
    enqueue(now_ + random_.between(0, kSecond), LearnedStore::made_up(endpoint, random_));
  }
}

void Day::repeat_an_end() {
  if (last_end_) enqueue(now_, *last_end_);
}

// ---- What the relay does with the module's actions. ----

void Day::carry_out(const action::Send& a) {
  Request* request = requests_.find(a.id);
  if (request == nullptr) return;
  const auto begun = calls_of_round_.find(a.endpoint);
  const bool joins = begun != calls_of_round_.end() && receivers_.batches(a.endpoint) && random_.chance(0.9);
  Reply reply = joins ? begun->second : receivers_.call(a, now_);
  reply.latency = std::min(reply.latency, std::max<Micros>(a.timeout, 0));
  if (!joins) calls_of_round_[a.endpoint] = reply;
  event::AttemptEnded ended;
  ended.id = a.id;
  ended.attempt = request->attempts++;
  ended.endpoint = a.endpoint;
  ended.outcome = reply.outcome;
  ended.latency = reply.latency;
  ended.closed = reply.closed;
  ended.retry_after = reply.retry_after;
  ended.limit_left = reply.limit_left;
  ended.limit_rate = reply.limit_rate;
  const Micros at = now_ + reply.latency;
  const QueueKey key = enqueue(at, ended);
  request->out[ended.attempt] = {a.endpoint, receivers_.zone_of(a.endpoint), now_, key.at, key.order};
}

void Day::carry_out(const action::Reject& a) {
  maybe_hand_in_again(a.id, a.retry_after);
  requests_.complete(a.id);
}
void Day::carry_out(const action::Fail& a) { requests_.complete(a.id); }

// Most are cut short; the end of some was on its way already.
void Day::carry_out(const action::Cancel& a) {
  Request* request = requests_.find(a.id);
  if (request == nullptr || !random_.chance(0.85)) return;
  const auto it = request->out.find(a.attempt);
  if (it == request->out.end()) return;
  Attempt& attempt = it->second;
  const auto queued = queue_.find({attempt.ends, attempt.order});
  if (queued == queue_.end()) return;
  event::AttemptEnded ended = std::get<event::AttemptEnded>(queued->second);
  queue_.erase(queued);
  const Micros at = now_ + random_.between(0, 2'000);
  ended.outcome = Outcome::cancelled;
  ended.latency = at - attempt.sent;
  ended.closed = false;
  const QueueKey key = enqueue(at, ended);
  attempt.ends = key.at;
  attempt.order = key.order;
}

void Day::carry_out(const action::CloseIdle& a) { receivers_.close_idle(a.endpoint, now_); }
void Day::carry_out(const action::SetTimer& a) {
  enqueue(now_ + std::max<Micros>(a.after, 0), event::TimerDue{a.token});
}
void Day::carry_out(const action::FetchList&) { list_answer(); }
void Day::carry_out(const action::Subscribe&) { list_answer(); }
void Day::carry_out(const action::HealthCheck& a) {
  enqueue(now_ + kMillisecond, event::HealthCheckEnded{a.endpoint, Outcome::served, kMillisecond});
}
void Day::carry_out(const action::Gossip& a) {
  if (gossip_bodies_.size() < 100) gossip_bodies_.push_back(a.body);
}

void Day::list_answer() {
  if (random_.chance(0.4))
    enqueue(now_ + day_.list_delay, event::ListFailed{});
  else
    enqueue(now_ + day_.list_delay, event::ListComplete{receivers_.listed(), false});
}

}  // namespace decisions

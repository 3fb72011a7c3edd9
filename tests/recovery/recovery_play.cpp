#include "recovery_play.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace heronvane::recovery {
namespace {

using namespace heronvane::dispatch;

constexpr Microseconds kSecond = 1'000'000;
constexpr Microseconds kAnswerTime = 160'000;
constexpr Microseconds kRefusalTime = 1'000;
constexpr Microseconds kErrorTime = 30'000;
constexpr double kQuietSeconds = 12;
constexpr double kAfterSeconds = 20;
constexpr double kDrainSeconds = 3;
constexpr DestinationId kDestination = 1;
constexpr DestinationId kFirstSound = 100;
constexpr int kSoundDestinations = 9;
constexpr int kLoadStatus = 0;
constexpr int kPayAndOrder = 1;
constexpr double kLoadStatusShare = 0.59;

Microseconds us(double seconds) { return static_cast<Microseconds>(seconds * 1e6); }

Settings settings_of(const Scenario& scenario) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[kLoadStatus].deadline = 6 * kSecond;
  ClassSettings& order = settings.classes[kPayAndOrder];
  order.priority_weight = 3;
  order.weight_at_deadline = 0.3;
  order.latency_objective = 2 * kSecond;
  order.deadline = 24 * kSecond;
  order.idempotency = Idempotency::non_idempotent;
  settings.kinds = {{scenario.own_limits, 1}, {false, 1}};
  settings.decay = WeightDecay::half_life;
  settings.relays = scenario.relays;
  settings.max_concurrent_calls = scenario.slots;
  settings.max_in_flight = 250;
  settings.max_attempts = 8;
  settings.hedging = true;
  settings.cancellation = true;
  settings.min_decision_interval = 5'000;
  settings.connect_timeout = 1'500'000;
  settings.connection_idle_timeout = 5 * kSecond;
  settings.retry_after_max = 2 * kSecond;
  settings.answer_grace = 20'000;
  settings.collapse_period = 2 * kSecond;
  settings.slow_start_min_share = 0.17;
  settings.slow_start_window = 9'200'000;
  return settings;
}

// One limit: that of the destination, or of one endpoint.
struct Limit {
  double capacity = 1;
  double tokens = 0;
  Microseconds filled_at = 0;
  std::deque<std::pair<Microseconds, int>> calls;  // since the return, with their relay
  std::set<int> told;                              // relays that saw a call fail during the outage

  bool admit(Microseconds now) {
    tokens = std::min(capacity, tokens + capacity * static_cast<double>(now - filled_at) / 1e6);
    filled_at = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
};

class Play {
 public:
  explicit Play(const Scenario& scenario)
      : scenario_(scenario),
        settings_(settings_of(scenario)),
        random_(scenario.seed),
        outage_at_(us(kQuietSeconds)),
        return_at_(us(kQuietSeconds + scenario.outage_s)),
        end_at_(return_at_ + us(kAfterSeconds)) {
    for (int i = 0; i < scenario.relays; i++) {
      relays_.push_back(std::make_unique<Relay>());
      relays_.back()->dispatcher = std::make_unique<Dispatcher>(settings_, scenario.seed * 1'000 + i);
    }
  }

  Result run() {
    list_first();
    schedule_faults();
    arrive_next();
    while (!events_.empty() && events_.top().at <= end_at_ + 25 * kSecond) {
      const auto next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.run();
    }
    result_.served_share = counted_ == 0 ? 1 : static_cast<double>(served_) / counted_;
    return result_;
  }

 private:
  struct Relay {
    std::unique_ptr<Dispatcher> dispatcher;
    std::map<MessageId, int> attempts;
    struct Out {
      MessageId id;
      int attempt;
      EndpointId endpoint;
      Microseconds sent_at;
    };
    std::map<std::pair<MessageId, int>, Out> out;
  };
  struct Scheduled {
    Microseconds at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Message {
    bool is_counted = false;
    bool is_served = false;
  };

  void at(Microseconds moment, std::function<void()> run) {
    events_.push({moment, order_++, std::move(run)});
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Endpoint entry(int number, Listing listing = Listing::active) const {
    Endpoint endpoint;
    endpoint.id = "s-" + std::to_string(number);
    endpoint.destination = kDestination;
    endpoint.listing = listing;
    return endpoint;
  }

  void list_first() {
    event::EndpointListSnapshot list;
    for (int i = 0; i < scenario_.endpoints; i++) list.endpoints.push_back(entry(i));
    for (int i = 0; i < 2 * kSoundDestinations; i++) {
      Endpoint endpoint;
      endpoint.id = "o-" + std::to_string(i);
      endpoint.destination = kFirstSound + i / 2;
      endpoint.kind = 1;
      list.endpoints.push_back(endpoint);
    }
    tell_all(list);
  }

  void tell_all(const Event& event) {
    for (std::size_t i = 0; i < relays_.size(); i++) handle(static_cast<int>(i), {event});
  }

  void schedule_faults() {
    if (scenario_.outage_s > 0) at(return_at_, [this] { come_back(); });
    if (scenario_.replaced == 0) return;
    const Microseconds replaced_at = return_at_ + us(scenario_.replaced_at_s);
    at(replaced_at - us(kDrainSeconds), [this] { change(Listing::draining); });
    at(replaced_at, [this] { change(Listing::gone); });
  }

  void change(Listing listing) {
    event::EndpointListUpdate update;
    for (int i = 0; i < scenario_.replaced; i++) {
      update.endpoints.push_back(entry(i, listing));
      if (listing == Listing::gone) update.endpoints.push_back(entry(scenario_.endpoints + i));
    }
    tell_all(update);
  }

  void arrive_next() {
    const double total = scenario_.rate + scenario_.other_rate;
    arrival_at_ += us(std::exponential_distribution<double>(total)(random_));
    if (arrival_at_ > end_at_) return;
    at(arrival_at_, [this, total] {
      arrive(uniform() * total < scenario_.rate);
      arrive_next();
    });
  }

  void arrive(bool is_struck) {
    event::RequestArrived arrived;
    arrived.id = ++last_id_;
    arrived.destination =
        is_struck ? kDestination : kFirstSound + static_cast<DestinationId>(uniform() * kSoundDestinations);
    arrived.message_class = uniform() < kLoadStatusShare ? kLoadStatus : kPayAndOrder;
    arrived.time_left = settings_.classes[static_cast<std::size_t>(arrived.message_class)].deadline;
    const bool is_counted =
        is_struck && (scenario_.outage_s == 0 || scenario_.endpoints_out > 0 || now_ >= return_at_);
    messages_[arrived.id].is_counted = is_counted;
    result_.taken += is_struck ? 1 : 0;
    counted_ += is_counted ? 1 : 0;
    handle(static_cast<int>(uniform() * scenario_.relays), {arrived});
  }

  void handle(int relay, const std::vector<Event>& events) {
    std::vector<Action> actions;
    relays_[static_cast<std::size_t>(relay)]->dispatcher->handle(now_, events, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<action::Send>(&action)) {
        begin(relay, *send);
      } else if (const auto* timer = std::get_if<action::SetTimer>(&action)) {
        const std::uint64_t token = timer->token;
        at(now_ + timer->after, [this, relay, token] { handle(relay, {event::TimerExpired{token}}); });
      } else if (const auto* cancel = std::get_if<action::Cancel>(&action)) {
        const auto key = std::make_pair(cancel->id, cancel->attempt);
        at(now_ + kRefusalTime, [this, relay, key] { end(relay, key, Outcome::cancelled); });
      }
    }
  }

  void begin(int relay, const action::Send& send) {
    Relay& sender = *relays_[static_cast<std::size_t>(relay)];
    const auto key = std::make_pair(send.id, sender.attempts[send.id]++);
    sender.out[key] = {send.id, key.second, send.endpoint, now_};
    at(now_ + send.timeout, [this, relay, key] { end(relay, key, Outcome::timeout); });
    if (send.endpoint[0] == 'o') return answer(relay, key, kAnswerTime, Outcome::served);
    receive(relay, key, send.endpoint);
  }

  void answer(int relay, std::pair<MessageId, int> key, Microseconds after, Outcome outcome) {
    at(now_ + after, [this, relay, key, outcome] { end(relay, key, outcome); });
  }

  bool is_out(const EndpointId& endpoint) const {
    const bool is_time =
        scenario_.outage_s > 0 && now_ >= outage_at_ && (now_ < return_at_ || scenario_.endpoints_out > 0);
    const int number = std::stoi(endpoint.substr(2));
    return is_time && (scenario_.endpoints_out == 0 || number < scenario_.endpoints_out);
  }

  void receive(int relay, std::pair<MessageId, int> key, const EndpointId& endpoint) {
    if (is_out(endpoint)) {
      switch (scenario_.symptom) {
        case Symptom::silent:
        case Symptom::held:
          unanswered_.push_back({relay, key});
          return;
        case Symptom::refused:
          return answer(relay, key, kRefusalTime, Outcome::connect_failed);
        case Symptom::errors:
          return answer(relay, key, kErrorTime, Outcome::error);
        case Symptom::most_failing:
          if (uniform() < 0.8) return answer(relay, key, kErrorTime, Outcome::error);
          return answer(relay, key, kAnswerTime, Outcome::served);
      }
    }
    if (scenario_.outage_s > 0 && scenario_.endpoints_out == 0 && now_ >= return_at_) count(relay, endpoint);
    if (scenario_.background_failures > 0 && uniform() < scenario_.background_failures)
      return answer(relay, key, kErrorTime, Outcome::reset);
    if (!limit_of(endpoint).admit(now_)) return answer(relay, key, kRefusalTime, Outcome::rejected);
    answer(relay, key, kAnswerTime, Outcome::served);
  }

  Limit& limit_of(const EndpointId& endpoint) {
    const auto [limit, is_new] = limits_.try_emplace(scenario_.own_limits ? endpoint : EndpointId());
    if (is_new) {
      const double share = scenario_.own_limits ? scenario_.endpoints : 1;
      limit->second.capacity = scenario_.rate * scenario_.headroom / share;
      limit->second.tokens = limit->second.capacity;
    }
    return limit->second;
  }

  // A cold destination collapses above N + 3 root N + 3 calls (N + 2 root N + 2 from 30 on) in a period, N
  // being the collapse factor times what it can handle then.
  void count(int relay, const EndpointId& endpoint) {
    Limit& limit = limit_of(endpoint);
    limit.calls.emplace_back(now_, relay);
    const Microseconds from = std::max(return_at_, now_ - settings_.collapse_period);
    while (limit.calls.front().first < from) limit.calls.pop_front();
    if (now_ > return_at_ + settings_.slow_start_window) return;
    const double middle = static_cast<double>(from - return_at_ + settings_.collapse_period / 2) / 1e6;
    const double window = static_cast<double>(settings_.slow_start_window) / 1e6;
    const double coldest = settings_.slow_start_min_share;
    const double share = std::min(1.0, coldest + (1 - coldest) * middle / window);
    const double period = static_cast<double>(settings_.collapse_period) / 1e6;
    const double n = share * settings_.collapse_factor * limit.capacity * period;
    const double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    const auto calls = static_cast<double>(limit.calls.size());
    const auto by_told =
        static_cast<double>(std::count_if(limit.calls.begin(), limit.calls.end(), [&](const auto& call) {
          return limit.told.contains(call.second);
        }));
    if (by_told <= calls * 2 / 3) return;
    result_.largest_load = std::max(result_.largest_load, calls / most);
    result_.has_collapsed = result_.has_collapsed || calls > most;
  }

  void come_back() {
    if (scenario_.endpoints_out > 0) return;
    const auto outcome = scenario_.symptom == Symptom::held ? Outcome::served : Outcome::reset;
    for (const auto& [relay, key] : std::exchange(unanswered_, {})) end(relay, key, outcome);
  }

  void end(int relay, std::pair<MessageId, int> key, Outcome outcome) {
    Relay& sender = *relays_[static_cast<std::size_t>(relay)];
    const auto found = sender.out.find(key);
    if (found == sender.out.end()) return;
    const Relay::Out call = found->second;
    sender.out.erase(found);
    Message& message = messages_[call.id];
    event::AttemptEnded ended;
    ended.id = call.id;
    ended.attempt = call.attempt;
    ended.endpoint = call.endpoint;
    ended.outcome = outcome;
    ended.latency = now_ - call.sent_at;
    ended.request_completed = outcome == Outcome::served;
    if (outcome == Outcome::served && !message.is_served) {
      message.is_served = true;
      served_ += message.is_counted ? 1 : 0;
    }
    const bool has_failed = outcome != Outcome::served;
    if (has_failed && call.endpoint[0] == 's' && now_ >= outage_at_ && now_ < return_at_)
      limit_of(call.endpoint).told.insert(relay);
    handle(relay, {ended});
  }

  const Scenario scenario_;
  const Settings settings_;
  std::mt19937_64 random_;
  const Microseconds outage_at_;
  const Microseconds return_at_;
  const Microseconds end_at_;
  Microseconds now_ = 0;
  Microseconds arrival_at_ = 0;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::priority_queue<Scheduled> events_;
  std::uint64_t order_ = 0;
  MessageId last_id_ = 0;
  std::map<MessageId, Message> messages_;
  std::map<EndpointId, Limit> limits_;
  std::vector<std::pair<int, std::pair<MessageId, int>>> unanswered_;
  int counted_ = 0;
  int served_ = 0;
  Result result_;
};

}  // namespace

Result play(const Scenario& scenario) { return Play(scenario).run(); }

}  // namespace heronvane::recovery

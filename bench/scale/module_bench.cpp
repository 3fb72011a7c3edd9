// What the decisions cost by size. Run under callgrind, which counts what `measured_` functions do (run.sh).
//
//   module_bench rounds DESTINATIONS HELD ROUNDS EACH   messages to good destinations beside HELD to dead
//   ones module_bench changes DESTINATIONS CHANGES           one changed entry of the list a round
//   module_bench memory DESTINATIONS                    heap for destinations with two endpoints, never
//   called module_bench churn DESTINATIONS HOURS               the same, after names that come and go for so
//   long
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/directory.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

using namespace heronvane::dispatch;

namespace {

constexpr Microseconds kMs = 1'000, kS = 1'000'000;
constexpr std::size_t kMostGood = 1'000;

Settings settings(std::size_t held) {
  Settings s;
  s.classes = {{.priority_weight = 1,
                .weight_at_deadline = 0.2,
                .latency_objective = kS,
                .deadline = 7'200 * kS,
                .idempotency = Idempotency::idempotent},
               {.priority_weight = 3,
                .weight_at_deadline = 0.3,
                .latency_objective = 2 * kS,
                .deadline = 7'200 * kS,
                .idempotency = Idempotency::non_idempotent}};
  s.kinds = {{}};
  s.max_concurrent_calls = 256;
  s.max_in_flight = static_cast<int>(2 * held + 10'000);
  s.max_attempts = 1'000'000;
  s.min_decision_interval = 5 * kMs;
  s.cancellation = true;
  return s;
}

Endpoint endpoint(std::size_t destination, int which) {
  Endpoint e;
  e.id = "partner-" + std::to_string(destination) + "-" + std::to_string(which);
  e.destination = static_cast<DestinationId>(destination);
  return e;
}

// Good destinations answer in the next round; dead ones refuse to connect.
class World {
 public:
  World(std::size_t destinations, std::size_t held) : dispatcher_(settings(held), 1) {
    dead_ = held == 0 ? 0 : std::max<std::size_t>(1, destinations / 10);
    good_ = std::min(kMostGood, destinations - dead_);
    event::EndpointListSnapshot whole;
    for (std::size_t d = 0; d < destinations; d++)
      for (int i = 0; i < 2; i++) whole.endpoints.push_back(endpoint(d, i));
    events_.emplace_back(std::move(whole));
    round(0);
    for (std::size_t i = 0; i < held; i++) {
      arrive(i % dead_);
      if (i % 500 == 499) round(0);
    }
    for (int i = 0; i < 2'000; i++) round(2);
  }

  void round(std::size_t each) {
    for (std::size_t i = 0; i < each; i++) arrive(dead_ + random_() % good_);
    actions_.clear();
    dispatcher_.handle(now_, events_, actions_);
    events_.clear();
    for (const auto& a : actions_)
      if (const auto* s = std::get_if<action::Send>(&a)) {
        event::AttemptEnded e;
        e.id = s->id, e.endpoint = s->endpoint, e.latency = 2 * kMs;
        e.attempt = attempts_[s->id]++;
        const bool dead = std::strtoull(s->endpoint.c_str() + 8, nullptr, 10) < dead_;
        e.outcome = dead ? Outcome::connect_failed : Outcome::served;
        e.request_completed = !dead;
        if (!dead) served_++, attempts_.erase(s->id);
        events_.emplace_back(std::move(e));
      }
    now_ += 5 * kMs;
  }
  std::uint64_t served() const { return served_; }

 private:
  void arrive(std::size_t destination) {
    event::RequestArrived a;
    a.id = ++last_, a.destination = static_cast<DestinationId>(destination);
    a.message_class = static_cast<int>(last_ % 2);
    a.time_left = 7'200 * kS;
    events_.emplace_back(std::move(a));
  }

  Dispatcher dispatcher_;
  std::mt19937_64 random_{1};
  std::size_t dead_ = 0, good_ = 0;
  Microseconds now_ = kS;
  MessageId last_ = 0;
  std::uint64_t served_ = 0;
  std::unordered_map<MessageId, int> attempts_;
  std::vector<Event> events_;
  std::vector<Action> actions_;
};

[[gnu::noinline]] void measured_rounds(World& world, int rounds, std::size_t each) {
  for (int i = 0; i < rounds; i++) world.round(each);
}

heronvane::ListedEndpoint member(std::size_t destination, int which) {
  heronvane::ListedEndpoint m;
  m.endpoint = endpoint(destination, which);
  return m;
}

[[gnu::noinline]] void measured_changes(heronvane::Directory& directory, Dispatcher& dispatcher,
                                        std::size_t destinations, int changes) {
  std::vector<Action> actions;
  for (int i = 0; i < changes; i++) {
    heronvane::EndpointList list;
    list.endpoints.push_back(member(static_cast<std::size_t>(i) * 7 % destinations, 0));
    list.endpoints[0].endpoint.listing = i % 2 == 0 ? Listing::draining : Listing::active;
    const auto told = directory.apply(
        list, [](const EndpointId&) {}, [](const heronvane::ListedEndpoint&) {});
    actions.clear();
    dispatcher.handle(kS + i * 5 * kMs, {event::EndpointListUpdate{told.endpoints}}, actions);
  }
}

std::size_t heap() { return mallinfo2().uordblks; }

heronvane::EndpointList all(std::size_t destinations) {
  heronvane::EndpointList list;
  list.snapshot = true;
  for (std::size_t d = 0; d < destinations; d++)
    for (int i = 0; i < 2; i++) list.endpoints.push_back(member(d, i));
  return list;
}

void memory(std::size_t destinations) {
  const std::size_t empty = heap();
  heronvane::Directory directory;
  Dispatcher dispatcher(settings(0), 1);
  std::size_t after_directory = 0;
  {
    auto told = directory.apply(
        all(destinations), [](const EndpointId&) {}, [](const heronvane::ListedEndpoint&) {});
    std::vector<Endpoint>().swap(told.endpoints);
    after_directory = heap();
  }
  std::vector<Action> actions;
  {
    std::vector<Event> events{event::EndpointListSnapshot{directory.all(), false}};
    dispatcher.handle(kS, events, actions);
  }
  malloc_trim(0);
  std::printf("%zu destinations: directory %.0f, module %.0f bytes each\n", destinations,
              static_cast<double>(after_directory - empty) / static_cast<double>(destinations),
              static_cast<double>(heap() - after_directory) / static_cast<double>(destinations));
}

// Partners come and go: each minute of the hour one in a hundred is replaced by a new name, called and
// served.
void churn(std::size_t destinations, int hours) {
  heronvane::Directory directory;
  Dispatcher dispatcher(settings(0), 1);
  std::vector<Action> actions;
  const auto nothing = [](const auto&) {};
  directory.apply(all(destinations), nothing, nothing);
  dispatcher.handle(kS, {event::EndpointListSnapshot{directory.all(), false}}, actions);
  std::size_t oldest = 0, newest = destinations;
  Microseconds now = 2 * kS;
  MessageId id = 0;
  for (int minute = 0; minute < 60 * hours; minute++) {
    for (std::size_t i = 0; i < destinations / 100; i++, oldest++, newest++) {
      heronvane::EndpointList list;
      for (int w = 0; w < 2; w++) {
        list.endpoints.push_back(member(oldest, w));
        list.endpoints.back().endpoint.listing = Listing::gone;
        list.endpoints.push_back(member(newest, w));
      }
      const auto told = directory.apply(list, nothing, nothing);
      event::RequestArrived a;
      a.id = ++id, a.destination = static_cast<DestinationId>(newest), a.time_left = 60 * kS;
      actions.clear();
      dispatcher.handle(now += 5 * kMs, {event::EndpointListUpdate{told.endpoints}, a}, actions);
      std::vector<Event> events;
      for (const auto& action : actions)
        if (const auto* s = std::get_if<action::Send>(&action)) {
          event::AttemptEnded e;
          e.id = s->id, e.endpoint = s->endpoint, e.latency = kMs, e.request_completed = true;
          events.emplace_back(std::move(e));
        }
      actions.clear();
      dispatcher.handle(now += 5 * kMs, events, actions);
    }
    now += 30 * kS;
    if ((minute + 1) % (15 * hours) == 0)
      std::printf("%zu destinations, quarter %d: %.0f bytes each, %zu kept by the module\n", destinations,
                  (minute + 1) / (15 * hours),
                  static_cast<double>(heap()) / static_cast<double>(destinations),
                  dispatcher.retained_objects());
  }
}

std::size_t number(const char* text) { return std::strtoull(text, nullptr, 10); }

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "rounds" && argc == 6) {
    World world(number(argv[2]), number(argv[3]));
    const std::uint64_t before = world.served();
    measured_rounds(world, std::atoi(argv[4]), number(argv[5]));
    std::printf("served %llu\n", static_cast<unsigned long long>(world.served() - before));
  } else if (what == "changes" && argc == 4) {
    const std::size_t destinations = number(argv[2]);
    heronvane::Directory directory;
    Dispatcher dispatcher(settings(0), 1);
    std::vector<Action> actions;
    directory.apply(
        all(destinations), [](const EndpointId&) {}, [](const heronvane::ListedEndpoint&) {});
    dispatcher.handle(0, {event::EndpointListSnapshot{directory.all(), false}}, actions);
    measured_changes(directory, dispatcher, destinations, std::atoi(argv[3]));
  } else if (what == "memory" && argc == 3) {
    memory(number(argv[2]));
  } else if (what == "churn" && argc == 4) {
    churn(number(argv[2]), std::atoi(argv[3]));
  } else {
    std::fputs(
        "module_bench rounds DESTINATIONS HELD ROUNDS EACH | changes DESTINATIONS CHANGES |\n"
        "             memory DESTINATIONS | churn DESTINATIONS HOURS\n",
        stderr);
    return 2;
  }
}

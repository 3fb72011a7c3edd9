// A random stream of events as a relay would see them: messages, outcomes, endpoint lists, Retry-Afters,
// gossip, recovered messages.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::testing {

// The seed determines settings, endpoints and traffic.
class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed);
  const Settings& settings() const { return settings_; }

  // The next round: its time, which may be as late as `timer` but not later, and what comes in it.
  struct Round {
    Microseconds at = 0;
    std::vector<Event> events;
    bool timer_alone = false;  // the only event is a timer that is due
  };
  Round next(Microseconds timer);
  // Takes the actions decided in the round.
  void decided(const std::vector<Action>& actions);
  bool done() const { return rounds_ >= most_rounds_; }
  std::size_t sends() const { return sends_; }

 private:
  struct Call {
    MessageId id = 0;
    int attempt = 0;
    EndpointId endpoint;
    Microseconds sent = 0, ends = 0;
    Outcome outcome = Outcome::served;
  };
  std::uint64_t roll(std::uint64_t sides) { return sides == 0 ? 0 : random_() % sides; }
  bool chance(int percent) { return roll(100) < static_cast<std::uint64_t>(percent); }
  Endpoint endpoint(std::size_t i);
  void arrivals(std::vector<Event>& events);
  void lists(std::vector<Event>& events);
  void others(std::vector<Event>& events);
  event::RequestArrived arrival();

  std::mt19937_64 random_;
  Settings settings_;
  std::vector<Endpoint> endpoints_;
  std::vector<int> ways_;  // of each endpoint: percent that fail
  std::size_t destinations_ = 1;
  std::vector<Call> calls_;
  std::map<MessageId, int> attempts_;  // of messages that are not over
  Microseconds now_ = 0;
  MessageId last_id_ = 0;
  int rounds_ = 0, most_rounds_ = 0, busy_ = 0, burst_ = 0;
  std::size_t sends_ = 0;
};

}  // namespace heronvane::dispatch::testing

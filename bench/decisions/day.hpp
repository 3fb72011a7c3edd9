// A day: one module instance after the other in a closed loop with clients, receivers, the platform's list
// and peers. The loop is deterministic: equal seeds and equal decisions give equal days.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "binding.hpp"
#include "digest.hpp"
#include "learned_store.hpp"
#include "random.hpp"
#include "receivers.hpp"
#include "request_table.hpp"
#include "scenario.hpp"

namespace decisions {

class Day {
 public:
  Day(std::uint64_t seed, Recorder& recorder);

  void run();

 private:
  struct QueueKey {
    Micros at = 0;
    std::uint64_t order = 0;
    auto operator<=>(const QueueKey&) const = default;
  };

  void probe_settings();
  void start_module();
  void restart();
  void move_module_at_times();
  bool round();
  Micros next_moment() const;
  std::vector<Event> due_events();
  bool accept(const Event& event);
  void observe();

  QueueKey enqueue(Micros at, Event event);
  void arrive();
  event::Arrival draw_arrival();
  void incident();
  void change_list();
  void gossip_comes();
  void withdraw();
  void uncommon_events();
  void repeat_an_end();
  void list_answer();
  void maybe_hand_in_again(RequestId id, Micros after);

  void carry_out(const action::Send& a);
  void carry_out(const action::Reject& a);
  void carry_out(const action::Fail& a);
  void carry_out(const action::Cancel& a);
  void carry_out(const action::CloseIdle& a);
  void carry_out(const action::SetTimer& a);
  void carry_out(const action::FetchList& a);
  void carry_out(const action::Subscribe& a);
  void carry_out(const action::HealthCheck& a);
  void carry_out(const action::Gossip& a);
  void carry_out(const action::Log&) {}

  Random random_;
  Recorder& recorder_;
  Scenario day_;
  Receivers receivers_;
  RequestTable requests_;
  LearnedStore learned_;
  std::unique_ptr<Binding> module_;
  std::map<QueueKey, Event> queue_;
  // The fate that the requests of one call share: those sent to one endpoint in one round, where it batches.
  std::map<std::string, Reply> calls_of_round_;
  std::optional<event::AttemptEnded> last_end_;
  std::vector<std::string> gossip_bodies_;
  std::uint64_t order_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t rounds_ = 0;
  int restarts_ = 0;
  double load_ = 1;  // times the day's usual load
  Micros now_ = 0;
  Micros next_arrival_ = 0;
  Micros next_incident_ = 0;
};

}  // namespace decisions

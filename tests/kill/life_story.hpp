// A scenario: clients hand messages to a relay, which is killed at chosen points, restarted and finally
// allowed to finish. It is checked from outside alone, by what clients, endpoints and the platform received.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "relay_harness.hpp"

namespace heronvane::testing {

using SteadyTime = std::chrono::steady_clock::time_point;
using Counts = std::map<std::string, std::uint64_t>;  // number of points passed, by name

// Where a relay process is killed: at the n-th point, of that name if there is one; 0: not at a point.
struct KillPoint {
  std::uint64_t at = 0;
  std::string name;
};

struct Scenario {
  std::uint64_t seed = 1;
  std::vector<KillPoint> kills;  // of the processes before the last one
  bool disk_full = false;        // at random, until the last process
};

struct Tally {
  // Processes killed at their point; killed before they reached it; ended by SIGTERM.
  std::uint64_t runs = 0, kills = 0, unreached = 0, stops = 0;
  std::uint64_t messages = 0, accepted = 0, refused = 0, calls = 0, delivered = 0, notices = 0;
  // Allowed, but counted: repeated notifications; a delivery and a notification of the same message;
  // notifications after the deadline and its slack; starts that failed for lack of space.
  std::uint64_t repeated_notices = 0, second_ends = 0, late_outcomes = 0, failed_starts = 0;
  // Faults.
  std::uint64_t lost = 0, unsafe_twice = 0, refused_but_executed = 0, sent_to_draining = 0, misrouted = 0,
                damage = 0, unexpected_exits = 0;
  std::uint64_t unknown_ids = 0;  // ids that no client handed in

  Counts killed_at;

  std::uint64_t faults() const {
    return lost + unsafe_twice + refused_but_executed + sent_to_draining + misrouted + damage + unknown_ids +
           unexpected_exits;
  }
  void add(const Tally& other);
  std::string text() const;
};

class KillScenario : public RelayTest {
 public:
  explicit KillScenario(Scenario scenario);
  // Runs the scenario and returns its results; `counts` gets the points that the last process passed.
  Tally run(Counts* counts = nullptr);
  // Describes the faults found, for the log of the test.
  const std::string& fault_report() const { return fault_report_; }

 private:
  struct Call {
    bool not_executed = false;  // answered so that it is known not to have run
    bool answered_ok = false;
  };
  struct Message {
    bool safe = true;
    int destination = 7;
    std::string body;
    int submitted = 0, unanswered = 0, accepted = 0, refused = 0, other = 0;
    bool last_refused = false;
    std::vector<Call> calls;
    int delivered = 0, undeliverable = 0, deferred = 0;
    std::optional<SteadyTime> ended,
        offered;  // offered: when a notification of its end was first sent, whether accepted or not
    SteadyTime deadline;
  };
  struct Submission {
    std::string id;
    std::shared_ptr<Client> client;
  };

  void TestBody() override {}
  std::string limits() override;
  std::string own_config();
  std::string entry(const std::string& name, const Server& server, const std::string& type, int group,
                    const std::string& status = "ready");
  std::string entries();
  void plan_load();
  void submit(const std::string& id);
  void read_answers();
  bool known(const std::string& id, const Got& g);
  void on_call(const Got& g, int destination);
  void single(const Got& g);
  void bundle(const Got& g, const std::vector<std::string>& ids);
  void answer_bundle(const std::shared_ptr<Session>& session, const std::vector<std::string>& ids,
                     const std::vector<std::size_t>& call_indexes, bool all_ok, std::mt19937_64 random);
  void on_discovery(const Got& g);
  void on_notices(const Got& g);
  bool write(const std::shared_ptr<Session>& session, const std::string& bytes);
  void later(int ms, std::function<void()> what);
  void drain();
  void start_process(const KillPoint* kill, bool full);
  bool alive();
  void step();
  bool ready();
  void run_last_process();
  void check_results();
  void report_fault(const std::string& what, const std::string& id);
  std::uint64_t random_below(std::uint64_t below) { return random_() % below; }

  Scenario scenario_;
  std::mt19937_64 random_;
  Server second_server_, bundle_server_;
  double disk_mb_ = 3;
  int open_max_ = 60;
  std::map<std::string, Message> messages_;
  std::vector<Submission> submissions_;
  std::shared_ptr<Client> probe_;  // asks the last process for its health
  std::multimap<SteadyTime, std::function<void()>> timers_;
  int planned_submissions_ = 0;  // submissions that are still to come
  bool finishing_ = false;       // endpoints and platform answer well from now on
  bool draining_ = false;        // the second endpoint is announced as draining
  std::optional<SteadyTime> drain_written_, drain_known_;
  std::optional<SteadyTime> ready_at_;  // of the last process
  SteadyTime last_step_, process_started_at_;
  std::chrono::steady_clock::duration longest_step_{};
  int processes_ = 0;
  bool stop_requested_ = false;  // the process was asked to end by SIGTERM
  Tally tally_;
  std::string fault_report_;
};

}  // namespace heronvane::testing

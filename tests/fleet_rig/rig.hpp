// A fleet under traffic, and the faults injected into it while operations run.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "books.hpp"
#include "machine.hpp"
#include "traffic.hpp"

namespace heronvane::rig {

// The number in an environment variable; `default_value` if it is not set or empty.
std::uint64_t environment(const char* name, std::uint64_t default_value);

// Sends signals to half of the relays, each once, at random times within `span`, from a thread of its own:
// SIGKILL, SIGSTOP followed by SIGCONT, or SIGSTOP alone.
class FaultInjector {
 public:
  FaultInjector(Sampler& sampler, std::vector<std::string> names, Ms span, std::uint64_t seed);
  ~FaultInjector();
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  void finish();  // sends no new ones, and waits until all paused relays have been resumed
  // Whether the agent has ended all relays that were stopped for good.
  bool stopped_are_ended() const;
  // By instance, so far: the number of faults, and the times of SIGCONT.
  std::map<std::string, int> fault_counts() const;
  std::map<std::string, std::vector<Ms>> resumed() const;
  std::string text() const;

 private:
  enum class Kind { kill, pause, stop };
  struct Fault {
    Ms at = 0;  // from the start
    Kind kind = Kind::kill;
    Ms lasts = 0;  // of a pause
  };
  void run();

  Sampler& sampler_;
  std::vector<std::string> names_;
  std::mt19937_64 random_;
  std::vector<Fault> faults_;
  mutable std::mutex mutex_;
  std::map<std::string, int> fault_counts_;
  std::map<std::string, std::vector<Ms>> resumed_;
  std::vector<lab::Process> stopped_;
  int killed_ = 0, paused_ = 0, missed_ = 0;
  std::atomic<bool> finish_ = false;
  std::thread thread_;
};

class Rig : public ::testing::Test {
 protected:
  // Starts an agent with `count` relays, waits until all serve, and starts the traffic.
  void begin(int count, std::uint64_t seed);
  // Stops the traffic, waits until all accepted messages have ended, and checks them.
  void stop_and_verify();

  std::vector<std::string> names() const;
  // Runs the tool until it exits with 0; returns the duration of that run. If it exits with 4, expects that
  // it names the unfinished steps, and runs it again.
  Ms operate(const std::vector<std::string>& words);
  // Waits until all relays are ready and healthy and accept new messages.
  void expect_serving();
  std::map<std::string, std::size_t> starts() const;  // by instance
  // Expects that no instance was started more than `most` times since `before`, plus once for each fault.
  void expect_starts(const std::map<std::string, std::size_t>& before, std::size_t most,
                     const std::map<std::string, int>& fault_counts, const char* when);
  template <class Condition>
  bool wait_for(Condition condition, const char* what) {
    // After a failure, the condition may never hold: wait only briefly.
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(HasFailure() ? 5 : 90);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) {
        ADD_FAILURE() << "timed out waiting for: " << what << "\n" << state();
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  std::string state();  // instances, operations and the agent's log, for failure messages
  void record_resumed(const FaultInjector& faults);
  std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }

  int count_ = 0;
  std::uint64_t seed_ = 0;
  std::mt19937_64 random_;
  Ledger ledger_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<Traffic> traffic_;
  std::map<std::string, std::vector<Ms>> resumed_;
};

}  // namespace heronvane::rig

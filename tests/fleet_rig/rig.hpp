// A fleet with its outside, and what is done to it while operations are under way.
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
#include "world.hpp"

namespace heronvane::rig {

std::uint64_t environment(const char* name, std::uint64_t otherwise);

// Half of the relays, each once, at random moments: SIGKILL, SIGSTOP with SIGCONT later, SIGSTOP for good.
class Attacks {
 public:
  Attacks(Sampler& sampler, std::vector<std::string> names, Ms span, std::uint64_t seed);
  ~Attacks();
  Attacks(const Attacks&) = delete;
  Attacks& operator=(const Attacks&) = delete;

  void finish();  // no new ones; what is to go on goes on
  // Those meant to stay stopped have all been ended by the agent.
  bool stopped_ended() const;
  // By instance, so far: how often, and when it was let go on.
  std::map<std::string, int> hit() const;
  std::map<std::string, std::vector<Ms>> continued() const;
  std::string text() const;

 private:
  enum class How { kill, pause, stop };
  struct Blow {
    Ms at = 0;  // from the begin
    How how = How::kill;
    Ms lasts = 0;
  };
  void run();

  Sampler& sampler_;
  std::vector<std::string> names_;
  std::mt19937_64 random_;
  std::vector<Blow> blows_;
  mutable std::mutex mutex_;
  std::map<std::string, int> hit_;
  std::map<std::string, std::vector<Ms>> continued_;
  std::vector<lab::Process> stopped_;
  int killed_ = 0, paused_ = 0, missed_ = 0;
  std::atomic<bool> finish_ = false;
  std::thread thread_;
};

class Rig : public ::testing::Test {
 protected:
  // An agent with so many relays that all serve, and traffic over them.
  void begin(int count, std::uint64_t seed);
  // No more traffic; all that was taken on is waited for; the verdict.
  void settle();

  std::vector<std::string> names() const;
  // Exit status 0, or it is told what is left, and the command is given again.
  Ms operate(const std::vector<std::string>& words);
  // All are ready, answer their health, and take new messages on.
  void expect_serving();
  std::map<std::string, std::size_t> starts() const;
  // No instance was started more often since `before` than `most` and once more for each blow.
  void expect_starts(const std::map<std::string, std::size_t>& before, std::size_t most,
                     const std::map<std::string, int>& blows, const char* when);
  template <class Condition>
  bool wait_for(Condition condition, const char* what) {
    // Once something has failed, no long waits for what may never come.
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(HasFailure() ? 5 : 90);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) {
        ADD_FAILURE() << "waited in vain until " << what << "\n" << state();
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  std::string state();  // of instances and operations, for people
  void went_on(const Attacks& attacks);
  std::uint64_t roll(std::uint64_t below) { return random_() % below; }

  int count_ = 0;
  std::uint64_t seed_ = 0;
  std::mt19937_64 random_;
  Books books_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<World> world_;
  std::map<std::string, std::vector<Ms>> continued_;
};

}  // namespace heronvane::rig

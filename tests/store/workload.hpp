// Random workloads that use the store as the relay does, with a record of what was acknowledged to the
// outside and when: a start after a crash must find all of that. Times are numbers of operations of the
// MemoryDisk.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "memory_disk.hpp"
#include "store/store.hpp"

namespace heronvane::store::testing {

// Scales the number of a test's cases by HERONVANE_STORE_CASES (default 1); fewer under sanitizers.
std::uint64_t scaled(std::uint64_t cases);

std::uint64_t splitmix64(std::uint64_t x);
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : splitmix64(state_++) % n; }
  bool chance(std::uint64_t percent) { return below(100) < percent; }

 private:
  std::uint64_t state_;
};

// A time: the number of operations that the MemoryDisk has done.
using OperationCount = std::size_t;
constexpr OperationCount kNever = std::numeric_limits<OperationCount>::max();

// When something was added to the store, and when it was durable and acted on.
struct Step {
  OperationCount added = kNever, acted = kNever;
  bool added_by(OperationCount m) const { return added <= m; }
  bool acted_on_by(OperationCount m) const { return acted <= m; }
};
struct AttemptHistory {
  Step sent, ended;  // `sent` is acted on when the call goes out
  Outcome outcome = Outcome::served;
  Microseconds at = 0;
};
struct MessageHistory {
  Message message;
  // `accepted` is acted on when 202 is sent, `given_up` when the notification is sent.
  Step accepted, finished, given_up;
  OperationCount refused = kNever;  // when 503 was sent
  std::vector<AttemptHistory> attempts;
  Ending ending;
  bool remember = false;
  Microseconds remembered_until = 0;  // at least
};
struct FactHistory {
  std::string value;
  Step kept;
};

// The state that the outside knows, with times.
struct Oracle {
  std::map<MessageId, MessageHistory> messages;
  std::map<std::string, std::vector<FactHistory>> facts;
  std::vector<std::pair<OperationCount, Microseconds>> times;  // boottime

  Microseconds time_at(OperationCount m) const;
};

// Messages with numbers from here on are unknown to the oracle.
constexpr MessageId kFirstProbeNumber = 1'000'000;

struct CheckResult {
  std::string wrong;                 // a description of the first mismatch; empty if there is none
  std::size_t held = 0;              // messages
  std::size_t needless_doubts = 0;   // messages in doubt without a reason
  std::size_t refused_but_held = 0;  // refused messages held in doubt: Durability::machine only
};

// Checks a store opened on the folder that a crash at `moment` left. `lossy`: power was lost or bytes were
// damaged, so messages may be in doubt.
CheckResult check_store(const Store& store, const Oracle& oracle, OperationCount moment, bool lossy);

struct Clocks {
  Microseconds boottime = 1'000'000, wall = 1'700'000'000'000'000;
  void pass(Microseconds t) { boottime += t, wall += t; }
};

struct Setting {
  std::uint64_t limit = 200'000;
  Durability durability = Durability::process;
  Microseconds remember_window = 1'500'000;
};

Options options(const Setting& setting, const Clocks& clocks, std::string* log = nullptr,
                const std::string& boot = "boot");

// Performs requested syncs only when the test calls run_one() or run_all().
class ManualSyncer : public Syncer {
 public:
  explicit ManualSyncer(MemoryDisk& disk) : disk_(disk) {}
  void sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) override;
  bool run_one();  // false if no sync is requested
  void run_all() {
    while (run_one()) {
    }
  }
  void forget() { jobs_.clear(); }

 private:
  struct Job {
    std::vector<FileId> files;
    bool folder = false;
    std::function<void(std::error_code)> done;
  };
  MemoryDisk& disk_;
  std::deque<Job> jobs_;
};

// Simulates a relay that uses a store.
class SimulatedRelay {
 public:
  SimulatedRelay(MemoryDisk& disk, Oracle& oracle, const Setting& setting, std::uint64_t seed);
  ~SimulatedRelay();

  void start();  // opens the store, after closing an earlier one
  void round();
  // Like round(), but submits no new messages and finishes all held ones.
  void finish_all();
  bool compact(int most);  // false if a step was blocked
  Store& store() { return *store_; }
  Clocks& clocks() { return clocks_; }
  ManualSyncer& syncer() { return syncer_; }
  const std::string& log() const { return log_; }
  void use_large_bodies(bool on) { large_bodies_ = on; }

  std::uint64_t accepted = 0, refused = 0, calls = 0, ends = 0, failed_commits = 0, steps = 0, restarts = 0;

 private:
  void submit();
  void advance(MessageId number, std::uint64_t percent);
  void commit();
  void act();
  void send_attempt(MessageId number);

  MemoryDisk& disk_;
  Oracle& oracle_;
  Setting setting_;
  RandomSource random_;
  Clocks clocks_;
  std::string log_;
  ManualSyncer syncer_;
  std::unique_ptr<Store> store_;
  struct WaitingActions {  // actions that wait for durability
    Sequence written = 0;
    std::vector<std::function<void()>> actions;
  };
  std::vector<std::function<void()>> uncommitted_actions_;  // actions to take once the records are committed
  std::vector<MessageId> accepted_this_round_;
  std::deque<WaitingActions> waiting_actions_;
  std::uint64_t counter_ = 0;
  bool large_bodies_ = false, finishing_ = false;
};

}  // namespace heronvane::store::testing

// Seeded lives over the store as the relay lives them, and what the outside was told at which moment: what a
// start after any crash must find again. Moments are numbers of operations of the MemoryDisk.
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

// How often the cases of a test are run: 1, or HERONVANE_STORE_CASES; less under sanitizers.
std::uint64_t scaled(std::uint64_t cases);

std::uint64_t mix(std::uint64_t x);  // splitmix64
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : state_(seed) {}
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : mix(state_++) % n; }
  bool chance(std::uint64_t percent) { return below(100) < percent; }

 private:
  std::uint64_t state_;
};

using Moment = std::size_t;
constexpr Moment kNever = std::numeric_limits<Moment>::max();

// When something was added to the store, and when it was committed (and outlasted what it must) and acted on.
struct Step {
  Moment added = kNever, acted = kNever;
  bool added_by(Moment m) const { return added <= m; }
  bool acted_by(Moment m) const { return acted <= m; }
};
struct TryStory {
  Step sent, ended;  // sent acted on: the call goes out
  Outcome outcome = Outcome::served;
  Microseconds at = 0;
};
struct Story {
  Message message;
  Step taken, over, given_up;  // taken acted on: 202 is told; given_up: notice is told
  Moment refused = kNever;     // 503 was told
  std::vector<TryStory> tries;
  Ending ending;
  bool remember = false;
  Microseconds remembered_until = 0;  // at least
};
struct FactStory {
  std::string value;
  Step kept;
};

// What outside knows, by moments.
struct Oracle {
  std::map<MessageId, Story> messages;
  std::map<std::string, std::vector<FactStory>> facts;
  std::vector<std::pair<Moment, Microseconds>> times;  // boottime

  Microseconds time_at(Moment m) const;
};

// Messages from here on are none of the oracle's.
constexpr MessageId kProbes = 1'000'000;

struct Verdict {
  std::string wrong;          // empty: nothing is
  std::size_t held = 0;       // messages
  std::size_t needless = 0;   // that are in doubt, without reason
  std::size_t came_back = 0;  // refused, and held in doubt: machine only
};

// Whether a store opened on what a crash at `moment` left has all it must have. `lossy`: power was lost, or
// bytes damaged: doubt is allowed.
Verdict judge(const Store& store, const Oracle& oracle, Moment moment, bool lossy);

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

// Syncs when told to.
class LateSyncer : public Syncer {
 public:
  explicit LateSyncer(MemoryDisk& disk) : disk_(disk) {}
  void sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) override;
  bool run_one();  // false where nothing waits
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

// A relay's life over a store.
class Life {
 public:
  Life(MemoryDisk& disk, Oracle& oracle, const Setting& setting, std::uint64_t seed);
  ~Life();

  void start();  // opens the store, after an earlier one is closed
  void round();
  // As round(), but nothing new is handed in, and all that is held is brought to its end.
  void wind_up();
  bool compact(int most);  // false where a step was blocked
  Store& store() { return *store_; }
  Clocks& clocks() { return clocks_; }
  LateSyncer& syncer() { return syncer_; }
  const std::string& log() const { return log_; }
  void big_bodies(bool on) { big_ = on; }

  std::uint64_t accepted = 0, refused = 0, calls = 0, ends = 0, commits_failed = 0, steps = 0, restarts = 0;

 private:
  void hand_in();
  void advance(MessageId number, std::uint64_t percent);
  void commit();
  void act();
  void call_out(MessageId number);

  MemoryDisk& disk_;
  Oracle& oracle_;
  Setting setting_;
  Dice dice_;
  Clocks clocks_;
  std::string log_;
  LateSyncer syncer_;
  std::unique_ptr<Store> store_;
  struct Waiting {  // for durability
    Sequence written = 0;
    std::vector<std::function<void()>> acts;
  };
  std::vector<std::function<void()>> added_;  // what to do once it is committed
  std::vector<MessageId> fresh_;              // taken in this round
  std::deque<Waiting> waiting_;
  std::uint64_t counter_ = 0;
  bool big_ = false, closing_ = false;
};

}  // namespace heronvane::store::testing

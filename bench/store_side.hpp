// Does the work of a relay on the store, for measurements.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "store/store.hpp"
#include "store/sync_thread.hpp"
#include "work.hpp"

namespace heronvane::bench {

// Parameters of the work, the same for the store and for SQLite.
struct Rounds {
  std::size_t lag = 64;                // rounds between taking a message and ending it
  std::size_t in_flight = 1;           // most rounds that may wait for their sync
  Microseconds tick = 100;             // advance of the clock per message
  Microseconds window = 50'000 * 100;  // how long an id is remembered past its message's deadline
};

// Totals of a measured phase.
struct Phase {
  std::uint64_t messages = 0, bytes = 0;
  double seconds = 0;
  Samples latency;  // from the start of a round until it is durable; one sample per round
};

// Functions that other threads post to be run on this one.
class Posted {
 public:
  store::SyncThread::Post post();
  void run();   // runs the functions posted so far
  void wait();  // waits until a function is posted, then runs all that are

 private:
  void run(std::unique_lock<std::mutex> lock);
  std::mutex mutex_;
  std::condition_variable some_;
  std::vector<std::function<void()>> posted_;
};

class StoreSide {
 public:
  StoreSide(const std::filesystem::path& folder, store::Options options, Rounds rounds);

  void round(std::size_t messages, Phase* phase = nullptr);
  void settle(Phase* phase = nullptr);  // waits until all rounds are durable
  // Runs rounds of `messages` messages for `seconds`, then waits until all of them are durable.
  Phase run(std::size_t messages, double seconds);
  store::Store& store() { return *store_; }

 private:
  struct Waiting {
    store::Sequence written = 0;
    Clock::time_point begun;
    std::size_t messages = 0;
  };
  void collect(Phase* phase);
  void make_room(const Message& message, Phase* phase);

  Rounds rounds_;
  WorkClock clock_;
  Posted posted_;
  std::unique_ptr<store::Disk> disk_;
  std::unique_ptr<store::SyncThread> syncs_;
  std::unique_ptr<store::Store> store_;
  std::deque<std::vector<MessageId>> open_;  // messages not ended yet, by round
  std::deque<Waiting> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace heronvane::bench

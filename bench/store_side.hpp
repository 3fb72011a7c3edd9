// The work of a relay, on the store.
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

// How a side works: the same on both.
struct Rounds {
  std::size_t lag = 64;                // a message ends so many rounds after it was taken
  std::size_t in_flight = 1;           // rounds that may wait for their sync
  Microseconds tick = 100;             // the clock's step for each message
  Microseconds window = 50'000 * 100;  // how long an id is remembered past its message's deadline
};

// What came of a phase.
struct Phase {
  std::uint64_t messages = 0, bytes = 0;
  double seconds = 0;
  Samples latency;  // from the begin of a message's round until that is durable, a sample for each round
};

// Functions that other threads hand to this one.
class Posted {
 public:
  store::SyncThread::Post post();
  void run();   // what is there
  void wait();  // until there is something, then runs it

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
  void settle(Phase* phase = nullptr);  // until all rounds are durable
  // Rounds of that size until `seconds` are over and what they wrote is durable.
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
  std::deque<std::vector<MessageId>> open_;  // by rounds
  std::deque<Waiting> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace heronvane::bench

// The processes of one fleet as /proc shows them, and signals to them.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "books.hpp"
#include "lab/process.hpp"

namespace heronvane::rig {

// Looks at /proc again and again on a thread of its own. Any thread may ask.
class Sampler {
 public:
  struct Run {
    pid_t pid = 0;
    std::uint64_t start_time = 0;
    Ms seen = 0;  // first
  };
  explicit Sampler(std::string data);  // of the agent
  ~Sampler();
  Sampler(const Sampler&) = delete;
  Sampler& operator=(const Sampler&) = delete;

  std::vector<Run> runs(const std::string& instance) const;  // all so far, oldest first
  std::map<std::string, pid_t> alive() const;                // at the last look
  lab::Process open(const std::string& instance) const;      // of the process that it has now; else empty
  std::string doubles() const;                               // two at once on one state folder; "": never
  std::uint64_t looks() const { return looks_; }
  void look_twice() const;  // returns once a look that began after this call is complete

 private:
  void look();
  std::optional<std::pair<std::string, std::uint64_t>> relay_of(pid_t pid) const;

  std::string prefix_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  std::map<std::string, pid_t> alive_;
  std::set<pid_t> unreaped_;
  std::string doubles_;
  std::atomic<std::uint64_t> looks_ = 0;
  std::atomic<bool> ending_ = false;
  std::thread thread_;
};

}  // namespace heronvane::rig

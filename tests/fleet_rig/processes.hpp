// The relay processes of one fleet, as /proc shows them.
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

// Scans /proc every 15 ms on a thread of its own. Thread-safe.
class Sampler {
 public:
  struct Run {  // one process of a relay
    pid_t pid = 0;
    std::uint64_t start_time = 0;
    Ms seen = 0;  // when it was first seen
  };
  explicit Sampler(std::string data);  // the agent's data folder
  ~Sampler();
  Sampler(const Sampler&) = delete;
  Sampler& operator=(const Sampler&) = delete;

  std::vector<Run> runs(const std::string& instance) const;  // all processes so far, oldest first
  std::map<std::string, pid_t> alive() const;                // at the last scan
  lab::Process open(const std::string& instance) const;      // the current process; empty if none
  std::string duplicates() const;  // instances seen with two processes on one state folder; "": none
  std::uint64_t scans() const { return scans_; }
  void wait_for_full_scan() const;  // returns when a scan that began after the call is complete

 private:
  void scan();
  std::optional<std::pair<std::string, std::uint64_t>> relay_of(pid_t pid) const;

  std::string prefix_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  std::map<std::string, pid_t> alive_;
  std::set<pid_t> unreaped_;
  std::string duplicates_;
  std::atomic<std::uint64_t> scans_ = 0;
  std::atomic<bool> ending_ = false;
  std::thread thread_;
};

}  // namespace heronvane::rig

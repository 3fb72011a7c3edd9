// Decides for each system call of the process whether it fails. Thread-safe.
//
// The plan is the file that the environment variable HERONVANE_FAULTS names, read when the library is loaded;
// without it every call passes. A plan that can't be read ends the process with status 125.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace heronvane::faults {

class Injector {
 public:
  // The process's own, which lives until the process ends; null until the library has been loaded, also for
  // the calls that are made while the plan is being read.
  static Injector* instance();

  // The errno with which this call fails, or 0 where it passes. `path` may be null.
  int error_of(const char* call, const char* path = nullptr);
  // How many of `size` bytes this call may move; 1 or more where `size` is.
  std::size_t most_bytes(const char* call, std::size_t size);
  // Nanoseconds that CLOCK_REALTIME is stepped by now.
  std::int64_t wall_step_ns();
  // A clock was read: the next write() may be held up.
  void clock_read();
  // Waits as the plan says, at most once for each clock_read().
  void before_write();
  // Waits where the plan makes calls of that name slow.
  void after(const char* call);

  Injector();
  ~Injector();

 private:
  struct State;
  std::unique_ptr<State> state_;  // null without a plan
};

}  // namespace heronvane::faults

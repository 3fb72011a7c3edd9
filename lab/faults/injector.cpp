#include "faults/injector.hpp"

#include <fcntl.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <mutex>
#include <random>
#include <string>

#include "faults/plan.hpp"

namespace heronvane::faults {
namespace {

constexpr int kBadPlan = 125;  // exit status
constexpr double kNanoseconds = 1e9;

// By the system calls themselves: the library's own functions are led here.
double monotonic_s() {
  timespec now{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / kNanoseconds;
}

void stand_still(double ms) {
  if (ms <= 0) return;
  constexpr double kMillisecond = 1e6;  // nanoseconds
  const auto ns = static_cast<std::int64_t>(ms * kMillisecond);
  const timespec pause{ns / 1'000'000'000, ns % 1'000'000'000};
  ::syscall(SYS_nanosleep, &pause, nullptr);
}

bool exists(const std::string& file) { return ::syscall(SYS_faccessat, AT_FDCWD, file.c_str(), F_OK) == 0; }

std::string read_whole(const char* file) {
  const auto fd = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, file, O_RDONLY | O_CLOEXEC));
  if (fd < 0) throw std::runtime_error(std::string(file) + ": " + std::strerror(errno));
  std::string text;
  char bytes[4096];
  for (long n = 0; (n = ::syscall(SYS_read, fd, bytes, sizeof bytes)) > 0;)
    text.append(bytes, static_cast<std::size_t>(n));
  ::syscall(SYS_close, fd);
  return text;
}

}  // namespace

struct Injector::State {
  explicit State(Plan read) : plan(std::move(read)), random(plan.seed), begun(monotonic_s()) {
    seen.resize(plan.errors.size());
    given.resize(plan.errors.size());
    if (!plan.report.empty())
      report = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, plan.report.c_str(),
                                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  }

  bool holds(const Window& w) const {
    const double at = monotonic_s() - begun;
    if (at < w.from_s || (w.for_s > 0 && at >= w.from_s + w.for_s)) return false;
    return w.while_file.empty() || exists(w.while_file);
  }
  bool drawn(double share) {
    return share >= 1 || std::uniform_real_distribution<double>(0, 1)(random) < share;
  }
  void tell(const char* call, const char* what) const {
    if (report < 0) return;
    const std::string line = std::string(call) + " " + what + "\n";
    ::syscall(SYS_write, report, line.data(), line.size());
  }

  Plan plan;
  std::mutex mutex;  // guards what follows
  std::mt19937_64 random;
  double begun = 0;
  std::vector<std::uint64_t> seen, given;  // by the place of the error rule
  int report = -1;
  std::atomic<bool> clock_was_read{false};
};

Injector::Injector() {
  const char* const file = std::getenv("HERONVANE_FAULTS");
  if (file == nullptr) return;
  try {
    state_ = std::make_unique<State>(read_plan(read_whole(file), file));
  } catch (const std::exception& e) {
    const std::string line = std::string("fault plan: ") + e.what() + "\n";
    ::syscall(SYS_write, STDERR_FILENO, line.data(), line.size());
    ::_exit(kBadPlan);
  }
}

Injector::~Injector() = default;

namespace {

std::atomic<Injector*> the_one{nullptr};

// Never destroyed: calls come until the very end of the process.
[[gnu::constructor]] void load() { the_one = new Injector; }

}  // namespace

Injector* Injector::instance() { return the_one; }

int Injector::error_of(const char* call, const char* path) {
  if (state_ == nullptr) return 0;
  State& s = *state_;
  const std::lock_guard lock(s.mutex);
  for (std::size_t i = 0; i < s.plan.errors.size(); i++) {
    const ErrorRule& rule = s.plan.errors[i];
    if (rule.call != call) continue;
    if (!rule.path.empty() && (path == nullptr || std::strstr(path, rule.path.c_str()) == nullptr)) continue;
    if (rule.times > 0 && s.given[i] >= rule.times) continue;
    if (!s.holds(rule.window)) continue;
    if (s.seen[i]++ < rule.after || !s.drawn(rule.share)) continue;
    s.given[i]++;
    s.tell(call, std::to_string(rule.error).c_str());
    return rule.error;
  }
  return 0;
}

std::size_t Injector::most_bytes(const char* call, std::size_t size) {
  if (state_ == nullptr || size == 0) return size;
  State& s = *state_;
  const std::lock_guard lock(s.mutex);
  for (const ShortRule& rule : s.plan.shorts) {
    if (rule.call != call || size <= rule.bytes || !s.holds(rule.window) || !s.drawn(rule.share)) continue;
    s.tell(call, "short");
    return static_cast<std::size_t>(rule.bytes);
  }
  return size;
}

std::int64_t Injector::wall_step_ns() {
  if (state_ == nullptr) return 0;
  State& s = *state_;
  double step = 0;
  const double at = monotonic_s() - s.begun;
  for (const ClockStep& rule : s.plan.steps)
    if (at >= rule.at_s && (rule.while_file.empty() || exists(rule.while_file))) step += rule.by_s;
  return static_cast<std::int64_t>(step * kNanoseconds);
}

void Injector::clock_read() {
  if (state_ != nullptr) state_->clock_was_read = true;
}

void Injector::before_write() {
  if (state_ == nullptr || !state_->clock_was_read.exchange(false)) return;
  State& s = *state_;
  double ms = 0;
  {
    const std::lock_guard lock(s.mutex);
    for (const DelayRule& rule : s.plan.delays)
      if (ms == 0 && s.holds(rule.window) && s.drawn(rule.share)) ms = rule.ms;
    if (ms > 0) s.tell("write", "held up");
  }
  stand_still(ms);
}

void Injector::after(const char* call) {
  if (state_ == nullptr) return;
  State& s = *state_;
  double ms = 0;
  {
    const std::lock_guard lock(s.mutex);
    for (const SlowRule& rule : s.plan.slows)
      if (ms == 0 && rule.call == call && s.holds(rule.window) && s.drawn(rule.share)) ms = rule.ms;
    if (ms > 0) s.tell(call, "slow");
  }
  stand_still(ms);
}

}  // namespace heronvane::faults

#include "store/persistent_clock.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <utility>

namespace heronvane::store {
namespace {

Microseconds read_clock(clockid_t which) {
  timespec t{};
  ::clock_gettime(which, &t);
  return static_cast<Microseconds>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

}  // namespace

ClockReading system_clocks() { return {read_clock(CLOCK_BOOTTIME), read_clock(CLOCK_REALTIME)}; }

std::string system_boot() {
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  std::string id;
  in >> id;
  return id;
}

PersistentClock::PersistentClock(std::string boot, ReadClocks read)
    : boot_(std::move(boot)), read_(std::move(read)) {
  const auto now = read_();
  offset_ = now.wall - now.boottime;
}

void PersistentClock::resume(const Anchor& last) {
  const auto now = read_();
  const bool same_boot = !last.boot.empty() && last.boot == boot_ && now.boottime >= last.boottime;
  gap_ = same_boot ? 0 : std::max<Microseconds>(now.wall - last.wall, 0);
  offset_ = last.persistent + (same_boot ? now.boottime - last.boottime : gap_) - now.boottime;
}

Microseconds PersistentClock::now() const { return read_().boottime + offset_; }

Anchor PersistentClock::anchor() const {
  const auto now = read_();
  return {boot_, now.boottime, now.wall, now.boottime + offset_};
}

}  // namespace heronvane::store

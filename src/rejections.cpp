#include "rejections.hpp"

#include <algorithm>

#include "restored_value.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

void RejectionRun::record(Microseconds now) {
  if (count_ == 0) {
    first_at_ = now;
  }
  count_++;
}

bool RejectionRun::is_outage(Microseconds now) const {
  constexpr int kLeastCount = 4;
  constexpr double kLeastSpanSeconds = 1.5;
  return count_ >= kLeastCount && now - first_at_ >= microseconds(kLeastSpanSeconds);
}

void RejectionRun::restore(int count, Microseconds first_age, Microseconds written, bool replaces,
                           Microseconds now) {
  constexpr int kMostRestored = 1'000;
  if (replaces) {
    count_ = 0;
    first_at_ = now;
  }
  count_ = std::max(count_, bounded(0, count, kMostRestored));
  if (count_ > 0) {
    first_at_ = std::min(first_at_, written - bounded_duration(first_age));
  }
}

void ServedAfterRejection::record(std::size_t kind, const RejectionRun& run, bool served) {
  if (run.count() == 0) {
    return;
  }
  double& share = share_by_kind_[kind];
  share += kNewestWeight * ((served ? 1.0 : 0.0) - share);
}

}  // namespace heronvane::dispatch

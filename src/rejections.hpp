// Rejections by one rate-limit scope, and how often a call right after a rejection is served.
#pragma once

#include <cstddef>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Rejections closer together than this are one event, in seconds.
constexpr double kRejectionEventSeconds = 0.3;

// The run of rejections since a call was last served.
class RejectionRun {
 public:
  int count() const { return count_; }
  Microseconds first_at() const { return first_at_; }  // meaningful where count() > 0

  void record(Microseconds now);
  void clear() { count_ = 0; }

  // So many rejections, over so long a time, with nothing served between them: unavailable, not rate limited.
  bool is_outage(Microseconds now) const;

  // Takes the longer of the present run and one that was stored at `written`. `replaces`: the record is newer
  // than all that were taken before, and the present run does not count.
  void restore(int count, Microseconds first_age, Microseconds written, bool replaces, Microseconds now);

 private:
  int count_ = 0;
  Microseconds first_at_ = 0;
};

// By kind of destination: the share of calls served among those that directly follow a rejection, in [0, 1].
class ServedAfterRejection {
 public:
  explicit ServedAfterRejection(std::size_t kinds) : share_by_kind_(kinds, kAssumedShare) {}

  double share(std::size_t kind) const { return share_by_kind_[kind]; }
  // Call before `run` takes the outcome in: a call counts where it follows a rejection.
  void record(std::size_t kind, const RejectionRun& run, bool served);

 private:
  static constexpr double kAssumedShare = 0.25;
  static constexpr double kNewestWeight = 0.1;

  std::vector<double> share_by_kind_;
};

}  // namespace heronvane::dispatch

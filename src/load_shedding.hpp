// Which requests go back to their clients when the relay is nearly full, so that those that come next need
// not be turned away.
//
// Pure; refers to the settings, which must outlive it.
#pragma once

#include <cstddef>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"

namespace heronvane::dispatch {

// How many requests are too many, and which of them may be rejected for that.
class LoadShedding {
 public:
  explicit LoadShedding(const Settings& settings) : settings_(settings) {}

  // How many of so many requests in flight are too many.
  std::size_t excess(std::size_t in_flight) const;

  // Whether the request may go back for want of room: only where its client can hand it in again without
  // harm, and not before the first attempt of what a previous incarnation took on.
  static bool may_shed(const Request& request);

 private:
  const Settings& settings_;
};

}  // namespace heronvane::dispatch

// Which requests are rejected when the relay is nearly full, so that the next ones need not be refused on
// arrival.
//
// Pure; refers to the settings, which must outlive it.
#pragma once

#include <cstddef>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"

namespace heronvane::dispatch {

// How many requests are to be shed, and which may be.
class LoadShedding {
 public:
  explicit LoadShedding(const Settings& settings) : settings_(settings) {}

  // How many of `in_flight` requests exceed the limit.
  std::size_t excess(std::size_t in_flight) const;

  // Whether the request may be shed: only where its client can submit it again without harm, and never a
  // recovered request before its first attempt.
  static bool may_shed(const Request& request);

 private:
  const Settings& settings_;
};

}  // namespace heronvane::dispatch

// The decisions with the plain walk over all messages in place of the index: what the index is held against.
#pragma once

#include <memory>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::testing {

class FullWalk {
 public:
  FullWalk(const Settings& settings, std::uint64_t seed);
  ~FullWalk();
  void handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions);

 private:
  struct Inside;
  std::unique_ptr<Inside> inside_;
};

}  // namespace heronvane::dispatch::testing

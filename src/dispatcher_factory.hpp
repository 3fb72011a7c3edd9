// Makes dispatchers with another scheduler than the product's. For the module's own tests.
#pragma once

#include <cstdint>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request_scheduler.hpp"

namespace heronvane::dispatch {

// Makes dispatchers with a scheduler of the caller.
class DispatcherFactory {
 public:
  // Throws std::invalid_argument where the settings make no sense. `make_scheduler` is called once, here.
  static Dispatcher make(const Settings& settings, std::uint64_t seed,
                         const SchedulerFactory& make_scheduler);
};

}  // namespace heronvane::dispatch

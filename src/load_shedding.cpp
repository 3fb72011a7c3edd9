#include "load_shedding.hpp"

#include <algorithm>

#include "retry_policy.hpp"

namespace heronvane::dispatch {
namespace {

constexpr double kMostShareInFlight = 0.92;  // of max_in_flight

}  // namespace

std::size_t LoadShedding::excess(std::size_t in_flight) const {
  const auto most =
      std::max<std::size_t>(static_cast<std::size_t>(kMostShareInFlight * settings_.max_in_flight), 1);
  return in_flight > most ? in_flight - most : 0;
}

bool LoadShedding::may_shed(const Request& request) {
  return RetryPolicy::may_be_rejected(request) && !request.unattempted;
}

}  // namespace heronvane::dispatch

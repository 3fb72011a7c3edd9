#include "traffic.hpp"

#include <cstdio>
#include <stdexcept>

namespace heronvane::standins {

namespace {

template <class T>
std::discrete_distribution<std::size_t> by_weight(const std::vector<T>& entries) {
  std::vector<double> weights;
  for (const auto& entry : entries) weights.push_back(entry.share);
  return {weights.begin(), weights.end()};
}

}  // namespace

Traffic::Traffic(TrafficPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      generator_(seed),
      class_(by_weight(plan_.classes)),
      destination_(by_weight(plan_.destinations)) {
  if (plan_.classes.empty() || plan_.destinations.empty() || !(plan_.per_s > 0))
    throw std::invalid_argument("traffic: needs classes, destinations and a rate above 0");
}

Microseconds Traffic::gap() {
  return static_cast<Microseconds>(1e6 * std::exponential_distribution<double>(plan_.per_s)(generator_));
}

Message Traffic::draw() {
  const auto& message_class = plan_.classes[class_(generator_)];
  Message m;
  m.id = new_id();
  m.message_class = message_class.name;
  m.deadline = message_class.deadline;
  m.destination = plan_.destinations[destination_(generator_)].number;
  if (!plan_.tenants.empty()) m.tenant = plan_.tenants[generator_() % plan_.tenants.size()];
  m.body = plan_.body;
  return m;
}

std::string Traffic::new_id() {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(generator_()));
  return hex;
}

}  // namespace heronvane::standins

#include "traffic.hpp"

#include <cstdio>
#include <stdexcept>

namespace heronvane::standins {

namespace {

template <class T>
std::discrete_distribution<std::size_t> by_share(const std::vector<T>& all) {
  std::vector<double> shares;
  for (const auto& one : all) shares.push_back(one.share);
  return {shares.begin(), shares.end()};
}

}  // namespace

Traffic::Traffic(TrafficPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      random_(seed),
      class_(by_share(plan_.classes)),
      destination_(by_share(plan_.destinations)) {
  if (plan_.classes.empty() || plan_.destinations.empty() || !(plan_.per_s > 0))
    throw std::invalid_argument("traffic: needs classes, destinations and a rate above 0");
}

Microseconds Traffic::gap() {
  return static_cast<Microseconds>(1e6 * std::exponential_distribution<double>(plan_.per_s)(random_));
}

Message Traffic::draw() {
  const auto& c = plan_.classes[class_(random_)];
  Message m;
  m.id = new_id();
  m.message_class = c.name;
  m.deadline = c.deadline;
  m.destination = plan_.destinations[destination_(random_)].number;
  if (!plan_.tenants.empty()) m.tenant = plan_.tenants[random_() % plan_.tenants.size()];
  m.body = plan_.body;
  return m;
}

std::string Traffic::new_id() {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(random_()));
  return hex;
}

}  // namespace heronvane::standins

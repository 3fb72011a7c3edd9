// What clients hand in, and when. No I/O and no clock: equal plans and seeds give equal traffic.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "behaviour.hpp"

namespace heronvane::standins {

struct Message {
  std::string id;  // of the try that is under way; new at each
  std::string message_class, tenant;
  std::int64_t destination = 0;
  Microseconds deadline = 0;  // from now on
  Microseconds until = 0;     // once it is handed in: its deadline on the clients' clock
  unsigned tries = 0;         // of it so far, the one under way among them
  std::size_t body = 0;       // bytes
};

struct TrafficPlan {
  struct Class {
    std::string name;
    double share = 1;  // weights, here and below: their sum is what counts
    Microseconds deadline = 5'000'000;
  };
  struct Destination {
    std::int64_t number = 0;
    double share = 1;
  };
  double per_s = 100;  // on average; gaps are exponential
  std::vector<Class> classes;
  std::vector<std::string> tenants;  // alike often; may be empty
  std::vector<Destination> destinations;
  std::size_t body = 200;
};

class Traffic {
 public:
  // Throws std::invalid_argument where the plan names no class or destination, or no rate above 0.
  Traffic(TrafficPlan plan, std::uint64_t seed);
  Microseconds gap();  // to the next message
  Message draw();
  std::string new_id();  // 16 hexadecimal digits

 private:
  TrafficPlan plan_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> class_, destination_;
};

}  // namespace heronvane::standins

// Generates the messages that clients hand in and the gaps between them. Does no I/O and reads no clock:
// equal plans and seeds give equal traffic.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "behaviour.hpp"

namespace heronvane::standins {

struct Message {
  std::string id;  // id of the present try; each try has a new one
  std::string message_class, tenant;
  std::int64_t destination = 0;
  Microseconds deadline = 0;  // time allowed from when it is handed in
  Microseconds until = 0;     // absolute deadline on the clients' clock; set when it is handed in
  unsigned tries = 0;         // number of tries so far, with the present one
  std::size_t body = 0;       // bytes
};

struct TrafficPlan {
  struct Class {
    std::string name;
    double share = 1;  // weight relative to the sum over all classes
    Microseconds deadline = 5'000'000;
  };
  struct Destination {
    std::int64_t number = 0;
    double share = 1;  // weight relative to the sum over all destinations
  };
  double per_s = 100;  // mean messages per second; the gaps are exponentially distributed
  std::vector<Class> classes;
  std::vector<std::string> tenants;  // drawn with equal probability; may be empty
  std::vector<Destination> destinations;
  std::size_t body = 200;  // bytes
};

class Traffic {
 public:
  // Throws std::invalid_argument if the plan has no class, no destination or no rate above 0.
  Traffic(TrafficPlan plan, std::uint64_t seed);
  Microseconds gap();    // draws the time to the next message
  Message draw();        // draws the next message, with a new id
  std::string new_id();  // 16 hexadecimal digits

 private:
  TrafficPlan plan_;
  std::mt19937_64 generator_;
  std::discrete_distribution<std::size_t> class_, destination_;
};

}  // namespace heronvane::standins

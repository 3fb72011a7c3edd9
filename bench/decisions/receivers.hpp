// The receivers of a day: what each call would meet at them. They know nothing of the module.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "random.hpp"
#include "scenario.hpp"
#include "types.hpp"

namespace decisions {

enum class Fault { none, connections_refused, silent, resets, errors };

struct Reply {
  Outcome outcome = Outcome::served;
  Micros latency = 0;
  bool closed = false;
  Micros retry_after = 0;
  double limit_left = -1;
  double limit_rate = -1;
};

struct Receiver {  // an endpoint
  Endpoint info;
  Micros latency = 0;
  int connections_max = 1'000'000;
  int calls_out = 0;
  Fault fault = Fault::none;
  Micros fault_until = 0;
  Micros cold_until = 0;  // too many calls before this make it fail again
  Micros slow_until = 0;
  Micros used_at = 0;
  Micros recent_from = 0;  // calls counted from here, for a second
  int recent_calls = 0;
};

struct Destination {  // a destination
  int kind = 0;       // of its endpoints; the last kind is not in the settings
  double rate = 0;
  double tokens = 1;
  Micros tokens_at = 0;
  Micros rejects_all_until = 0;
};

class Receivers {
 public:
  Receivers(const Scenario& day, Random& random);

  // What a call sent now would meet. It is out until end_call().
  Reply call(const action::Send& send, Micros now);
  void end_call(const std::string& endpoint);
  void close_idle(const std::string& endpoint, Micros now);
  // The process that made the calls is gone.
  void forget_calls();

  std::vector<Endpoint> listed() const;
  // The zone of an endpoint; 0 for an unknown one.
  int zone_of(const std::string& endpoint) const;
  bool batches(const std::string& endpoint) const;

  // Incidents. Each draws whom it meets.
  void fail_endpoint(Micros now);
  void fail_destination(Micros now);
  void reject_all(Micros now);
  void change_limit();
  void slow_down(Micros now);
  void limit_connections();
  void change_failure_share();
  // A change of the list: the endpoints that changed, as the list tells them from now on.
  std::vector<Endpoint> change_list(Micros now);

 private:
  Receiver& any();
  std::vector<Endpoint> change_all(std::int64_t destination, Listing listing);
  Receiver& add(std::int64_t destination, Micros now);
  void fail(Receiver& receiver, Fault fault, Micros until);
  bool collapses(Receiver& receiver, Micros now);
  bool limited(const Receiver& receiver, Micros now);
  Reply faulty(const Receiver& receiver, const action::Send& send);
  Reply rejected(Micros longest_wait);
  Reply sound(const Receiver& receiver, const action::Send& send, Micros now);

  const Scenario& day_;
  Random& random_;
  double failure_share_;
  int added_ = 0;
  std::map<std::string, Receiver> receivers_;
  std::map<std::int64_t, Destination> destinations_;
};

}  // namespace decisions

// The requests of a day as a relay's durable store would hold them: what each restart hands back to the
// module.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace decisions {

struct Attempt {
  std::string endpoint;
  int zone = 0;
  Micros sent = 0;
  Micros ends = 0;  // when its end is due; with `order`, the place of that event in the queue
  std::uint64_t order = 0;
};

struct Request {
  event::Arrival arrival;
  Micros deadline = 0;
  int attempts = 0;
  bool attempted = false;
  bool completed = false;
  std::optional<int> possibly_executed_zone;
  Micros possibly_executed_at = 0;
  std::map<int, Attempt> out;
};

class RequestTable {
 public:
  // Null where there is none that is not completed, or has attempts out.
  Request* find(RequestId id);
  bool holds(RequestId id) const { return requests_.contains(id); }
  // One that was chosen by the caller's draw, of those held; null where there are none.
  Request* at_or_after(RequestId id);

  void add(const event::Arrival& arrival, Micros now);
  // Takes the attempt out and keeps what it tells. False where no such attempt is out.
  bool end_attempt(const event::AttemptEnded& ended);
  void complete(RequestId id);
  // The process is gone: all attempts out are lost, and may have run. What is held is left as recovered
  // events.
  std::vector<event::Recovered> restart(Micros now);

 private:
  void forget_if_done(RequestId id);

  std::map<RequestId, Request> requests_;
};

}  // namespace decisions

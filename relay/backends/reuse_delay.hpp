// How long a kept connection has to stay silent between an answer and its next request.
//
// HTTP/1.1 answers don't name their request. What an endpoint writes behind an answer, for instance a second
// copy of it, is read as the answer to the next request if that request was written before it arrives; from
// then on each answer on the connection ends the wrong message. Such bytes cross the same network as the
// answer, so how much later they may arrive depends on the network and is measured for each endpoint.
#pragma once

#include <algorithm>

#include "clock.hpp"

namespace heronvane {

// The delay of one server's connections. Performs no I/O and reads no clock.
class ReuseDelay {
 public:
  static constexpr Microseconds kMinDelay = 5'000;
  // An answer that is not whole by then counts as broken, and so does what is written behind it.
  static constexpr Microseconds kMaxDelay = 400'000;

  // Takes the time from the first request on a new connection to its answer. Only the first one counts:
  // nothing that was written earlier can be mistaken for its answer.
  void record_first_answer(Microseconds elapsed) {
    round_trip_ = is_measured_ ? std::min(round_trip_, elapsed) : elapsed;
    is_measured_ = true;
  }

  // Unexpected bytes arrived on an idle connection, `elapsed` after the answer before them. Later ones than
  // kMaxDelay, such as the message of a server that ends idle connections, don't belong to that answer.
  void record_unexpected_bytes(Microseconds elapsed) {
    if (elapsed <= kMaxDelay) longest_gap_ = std::max(longest_gap_, elapsed);
  }

  // The least time between an answer and the next request on its connection: the shortest round trip. It is
  // exceeded only if the network holds back the later bytes for that much longer than the answer.
  Microseconds delay() const {
    return std::clamp(std::max(round_trip_, kGapFactor * longest_gap_), kMinDelay, kMaxDelay);
  }

  // Whether a request should wait so long for a connection in its delay rather than use a new one, which
  // takes a round trip to be established.
  bool is_worth_waiting(Microseconds wait) const { return wait <= std::min(delay(), kMaxWait); }

 private:
  static constexpr Microseconds kGapFactor = 2;
  static constexpr Microseconds kMaxWait = 100'000;

  Microseconds round_trip_ = 0;   // the shortest, with the service time of that answer
  Microseconds longest_gap_ = 0;  // between an answer and unexpected bytes
  bool is_measured_ = false;
};

}  // namespace heronvane

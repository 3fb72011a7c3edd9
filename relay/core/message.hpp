// The core's types of a request: the message as it was handed in, its attempts, and how it was given up.
//
// Times are microseconds of the store's persistent clock (store/persistent_clock.hpp), which goes on over
// restarts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

using heronvane::dispatch::MessageId;
using heronvane::dispatch::Microseconds;
using heronvane::dispatch::Outcome;

// The header that carries a message's idempotency key from its client to its destination, unchanged.
inline constexpr char kIdempotencyKey[] = "Idempotency-Key";

// A request as its client handed it in.
struct Message {
  std::string id;               // the client's X-Request-Id
  std::string idempotency_key;  // by which a destination recognizes a repetition; empty: none
  std::string message_class;
  std::string tenant;
  std::int64_t destination = 0;
  Microseconds deadline = 0;  // a time
  bool repeat = false;        // the client hands it in again
  std::string body;
};

// A delivery attempt by a call to one endpoint.
struct Attempt {
  Microseconds sent = 0;           // when it began
  int zone = -1;                   // of its endpoint; -1: unknown
  std::optional<Outcome> outcome;  // none: not seen

  // Whether the request may have taken effect by it.
  bool possibly_executed() const {
    return !outcome || !(*outcome == Outcome::rejected || *outcome == Outcome::connect_failed ||
                         *outcome == Outcome::not_sent);
  }
  // Whether the endpoint may have seen it.
  bool possibly_received() const {
    return !outcome || !(*outcome == Outcome::connect_failed || *outcome == Outcome::not_sent);
  }
};

// How a message was given up. Its outcome notification is owed to the control plane.
struct Ending {
  bool deferred = false;   // handing it in again is harmless
  Microseconds again = 0;  // after so long; a duration
};

// A message that the relay is responsible for.
struct Held {
  Message message;
  std::vector<Attempt> attempts;  // in the order in which they began
  std::optional<Ending> ending;   // none: it is still to be delivered
  bool doubt = false;             // records may have been lost: an unknown attempt may have been executed

  bool possibly_executed() const {
    return doubt || std::any_of(attempts.begin(), attempts.end(),
                                [](const Attempt& attempt) { return attempt.possibly_executed(); });
  }
};

}  // namespace heronvane

// The types of a request: the message as the client sent it, its attempts, and how it was given up.
//
// Times are microseconds of the store's persistent clock (store/persistent_clock.hpp), which continues over
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

// A request as its client sent it.
struct Message {
  std::string id;               // the client's X-Request-Id
  std::string idempotency_key;  // lets a destination recognize a duplicate; empty: none
  std::string message_class;
  std::string tenant;
  std::int64_t destination = 0;
  Microseconds deadline = 0;  // a point in time
  bool repeat = false;        // the client marked the request as a retry
  std::string body;
};

// A delivery attempt by a call to one endpoint.
struct Attempt {
  Microseconds sent = 0;           // when it began
  int zone = -1;                   // of its endpoint; -1: unknown
  std::optional<Outcome> outcome;  // empty: unknown

  // Whether the endpoint may have executed the request.
  bool possibly_executed() const {
    return !outcome || !(*outcome == Outcome::rejected || *outcome == Outcome::connect_failed ||
                         *outcome == Outcome::not_sent);
  }
  // Whether the endpoint may have received the request.
  bool possibly_received() const {
    return !outcome || !(*outcome == Outcome::connect_failed || *outcome == Outcome::not_sent);
  }
};

// How a message was given up. Its outcome notification is owed to the control plane.
struct Ending {
  bool deferred = false;   // the client may safely send it again
  Microseconds again = 0;  // wait before that; a duration
};

// A message that the relay is responsible for.
struct Held {
  Message message;
  std::vector<Attempt> attempts;  // in the order in which they began
  std::optional<Ending> ending;   // empty: still to be delivered
  bool doubt = false;             // records may have been lost: an unrecorded attempt may have been executed

  bool possibly_executed() const {
    return doubt || std::any_of(attempts.begin(), attempts.end(),
                                [](const Attempt& attempt) { return attempt.possibly_executed(); });
  }
};

}  // namespace heronvane

// What the relay holds: a message, the attempts made for it, how it was given up.
//
// Times are microseconds on the store's lasting clock (store/lasting_clock.hpp), which goes on over restarts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

using heronvane::dispatch::MessageId;
using heronvane::dispatch::Microseconds;
using heronvane::dispatch::Outcome;

// The header that carries a message's key from its client to its destination, unchanged.
inline constexpr char kIdempotencyKey[] = "Idempotency-Key";

struct Message {
  std::string id;  // the client's X-Request-Id
  // The client's Idempotency-Key, by which a destination knows a message that it had already; empty: none.
  std::string idempotency_key;
  std::string message_class, tenant;
  std::int64_t destination = 0;
  Microseconds deadline = 0;
  bool repeat = false;  // the client hands it in again
  std::string body;
};

struct Attempt {
  Microseconds sent = 0;
  int zone = -1;                   // of its endpoint; -1: unknown
  std::optional<Outcome> outcome;  // none: not seen, so it may have run
  bool possibly_executed() const {
    return !outcome || !(*outcome == Outcome::rejected || *outcome == Outcome::connect_failed ||
                         *outcome == Outcome::not_sent);
  }
  bool possibly_received() const {
    return !outcome || !(*outcome == Outcome::connect_failed || *outcome == Outcome::not_sent);
  }
};

// A message that is given up: its notice is owed to the platform.
struct Ending {
  bool deferred = false;   // handing it in again is harmless
  Microseconds again = 0;  // after so long; a duration
};

struct Held {
  Message message;
  std::vector<Attempt> attempts;  // in the order of their sends
  std::optional<Ending> ending;
  // Records of it may have been lost: an attempt that is not known may have run.
  bool doubt = false;
  bool possibly_executed() const {
    if (doubt) return true;
    for (const auto& a : attempts)
      if (a.possibly_executed()) return true;
    return false;
  }
};

}  // namespace heronvane

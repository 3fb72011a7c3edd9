// The requests with one order key go one at a time, in the order of their arrival.
//
// Owns a line of request ids for each key in use and, after an attempt with an unknown outcome, the key's
// quiet period. Not synchronised, used on the dispatcher's thread only. `now` never goes back.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The lines of all order keys.
class OrderKeys {
 public:
  // Puts the request at the end of its key's line.
  void join(const std::string& key, MessageId id);

  // Takes the request, which must be in the line, out of it. Returns the one that is first then.
  std::optional<MessageId> leave(const std::string& key, MessageId id, Microseconds now);

  // No first attempt of a request with this key before now + quiet_period, which is the same in all calls.
  void begin_quiet_period(const std::string& key, Microseconds now, Microseconds quiet_period);

  // From when on a request that joined may be attempted: kNever while others are before it. The quiet period
  // does not bind a request that was `attempted` before.
  Microseconds ready_at(const std::string& key, MessageId id, bool attempted, Microseconds now) const;

  // Forgets the keys whose quiet period is over and whose line is empty.
  void forget_quiet(Microseconds now);

  // How many keys and quiet periods are kept.
  std::size_t retained() const { return lines_.size() + quiet_.size(); }

 private:
  struct Line {
    std::deque<MessageId> requests;
    Microseconds quiet_until = 0;
  };
  struct QuietPeriod {
    Microseconds until = 0;
    std::string key;
  };
  void forget_if_unused(const std::string& key, Microseconds now);

  std::map<std::string, Line> lines_;
  std::deque<QuietPeriod> quiet_;  // the soonest over first
};

}  // namespace heronvane::dispatch

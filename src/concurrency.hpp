// How many calls may be in flight to one endpoint, so that a silent or slow one cannot hold the slots that
// the others need.
#pragma once

#include <cstddef>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The slots of all endpoints that are on trial (ejected or unproven): a part of the relay's slots.
class HealthCheckSlots {
 public:
  // One endpoint's part of the slots in use. Must be set to 0 before it is destroyed.
  class Share {
   public:
    std::size_t calls() const { return calls_; }

   private:
    friend class HealthCheckSlots;
    std::size_t calls_ = 0;
  };

  void set(Share& share, std::size_t calls);
  std::size_t in_use() const { return in_use_; }
  bool is_any_free(const Settings& settings) const;

 private:
  std::size_t in_use_ = 0;
};

// The call limit of one endpoint.
class ConcurrencyLimit {
 public:
  // The inputs of limit(): the state of the endpoint.
  struct Load {
    bool is_doubtful = false;  // calls are overdue, or the last one failed
    double served_per_s = 0;   // calls of this relay
    double latency_s = 0;
  };

  // Calls that may be in flight to a healthy endpoint, at least 1.
  int limit(const Settings& settings, const Load& load) const;

  // A connection failed while `in_flight` others were answered: the endpoint takes no more connections.
  void record_connections_exhausted(Microseconds now, std::size_t in_flight);
  // Raises the limit that failed connections set, one call at a time.
  void record_served(Microseconds now);

 private:
  int connection_limit_ = 0;  // 0: unknown
  Microseconds changed_at_ = 0;
};

}  // namespace heronvane::dispatch

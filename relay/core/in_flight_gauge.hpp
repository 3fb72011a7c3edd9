// Counts the requests in flight by class and by age. Counts are updated as requests come and go, so that the
// cost of a report does not depend on their number. Does no input or output.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

#include "core/message.hpp"

namespace heronvane {

// Owned by the StatusReporter; called on the event loop's thread only.
class InFlightGauge {
 public:
  static constexpr Microseconds kResolution = 50'000;  // of the ages, in microseconds

  struct Counts {
    std::map<std::string, std::size_t> by_class;
    Microseconds oldest = 0;  // age of the oldest request; 0: none
    std::size_t up_to_1s = 0;
    std::size_t up_to_5s = 0;
    std::size_t up_to_30s = 0;
    std::size_t over_30s = 0;
  };

  // Adds a request that has been in flight since `since`; no effect if it is counted already.
  void add(MessageId id, const std::string& message_class, Microseconds since);
  // No effect if the request is not counted.
  void remove(MessageId id);
  // `now` is on the same clock as `since`.
  Counts counts(Microseconds now) const;

 private:
  struct Entry {
    Microseconds start = 0;  // in units of kResolution
    std::map<std::string, std::size_t>::iterator of_class;
  };
  std::unordered_map<MessageId, Entry> in_flight_;
  std::map<std::string, std::size_t> by_class_;
  std::map<Microseconds, std::size_t> by_start_;  // by start time, in units of kResolution
};

}  // namespace heronvane

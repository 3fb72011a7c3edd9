// How many requests are in flight, by class and by age: counted as they come and go, so that a report costs
// nothing by the request. No input or output here.
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
  static constexpr Microseconds kResolution = 50'000;  // of the ages

  struct Counts {
    std::map<std::string, std::size_t> by_class;
    Microseconds oldest = 0;  // the age of the oldest; 0: there is none
    std::size_t up_to_1s = 0;
    std::size_t up_to_5s = 0;
    std::size_t up_to_30s = 0;
    std::size_t over_30s = 0;
  };

  // Adds a request that is in flight since `since`; no effect where it is counted already.
  void add(MessageId id, const std::string& message_class, Microseconds since);
  // No effect where it is not counted.
  void remove(MessageId id);
  // `now` is on the clock of `since`.
  Counts counts(Microseconds now) const;

 private:
  struct Entry {
    Microseconds start = 0;  // in whole steps of the resolution
    std::map<std::string, std::size_t>::iterator of_class;
  };
  std::unordered_map<MessageId, Entry> in_flight_;
  std::map<std::string, std::size_t> by_class_;
  std::map<Microseconds, std::size_t> by_start_;  // since when, in whole steps of the resolution
};

}  // namespace heronvane

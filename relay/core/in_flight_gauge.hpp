// How many messages are held, by class and by how long they have been: counted as they come and go, so that
// telling it costs nothing by the message. No input or output here.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

#include "core/message.hpp"

namespace heronvane {

class InFlightGauge {
 public:
  static constexpr Microseconds kStep = 50'000;  // ages are told to this

  struct Counts {
    std::map<std::string, std::size_t> by_class;
    Microseconds oldest = 0;  // the age of the one held longest; 0: none is
    std::size_t up_to_1s = 0, up_to_5s = 0, up_to_30s = 0, more = 0;
  };

  // A message is held since `when`.
  void taken(MessageId number, const std::string& message_class, Microseconds when);
  void over(MessageId number);
  Counts counts(Microseconds now) const;

 private:
  struct Entry {
    Microseconds step = 0;
    std::map<std::string, std::size_t>::iterator of_class;
  };
  std::unordered_map<MessageId, Entry> held_;
  std::map<std::string, std::size_t> by_class_;
  std::map<Microseconds, std::size_t> by_step_;  // when they were taken on, in whole steps
};

}  // namespace heronvane

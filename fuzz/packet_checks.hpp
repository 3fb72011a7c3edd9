// What must hold of any bytes that a member sends: for the fuzz target and the tests.
#pragma once

#include <cstdlib>
#include <string>

#include "copies/packet.hpp"

namespace heronvane::copies {

// True: the frame was read; then what is written again says the same.
inline bool check_packet(const std::string& frame) {
  if (frame.size() < kFrameHead) return false;
  const auto l = read_lengths(frame);
  if (l.head > frame.size() - kFrameHead || l.body != frame.size() - kFrameHead - l.head) return false;
  const auto head = std::string_view(frame).substr(kFrameHead, l.head);
  read_hello(head), read_state(head), read_import(head);
  const auto p = read_packet(head, frame.substr(kFrameHead + l.head));
  if (!p) return false;
  const std::string once = write_packet(*p);
  const auto m = read_lengths(once);
  const auto again =
      read_packet(std::string_view(once).substr(kFrameHead, m.head), once.substr(kFrameHead + m.head));
  if (!again || write_packet(*again) != once) std::abort();
  return true;
}

}  // namespace heronvane::copies

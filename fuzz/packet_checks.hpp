// Checks of the packet decoder on arbitrary bytes, for the fuzz target and the tests.
#pragma once

#include <cstdlib>
#include <string>

#include "copies/frame_codec.hpp"

namespace heronvane::copies {

// Returns whether the frame was decoded. Aborts if a decoded packet changes when it is encoded and decoded
// again.
inline bool check_packet(const std::string& frame) {
  if (frame.size() < kFrameHeaderBytes) return false;
  const auto l = read_frame_lengths(frame);
  if (l.head > frame.size() - kFrameHeaderBytes || l.body != frame.size() - kFrameHeaderBytes - l.head)
    return false;
  const auto head = std::string_view(frame).substr(kFrameHeaderBytes, l.head);
  read_hello(head), read_state(head), read_import(head);
  const auto p = read_packet(head, frame.substr(kFrameHeaderBytes + l.head));
  if (!p) return false;
  const std::string once = write_packet(*p);
  const auto m = read_frame_lengths(once);
  const auto mark_lost = read_packet(std::string_view(once).substr(kFrameHeaderBytes, m.head),
                                     once.substr(kFrameHeaderBytes + m.head));
  if (!mark_lost || write_packet(*mark_lost) != once) std::abort();
  return true;
}

}  // namespace heronvane::copies

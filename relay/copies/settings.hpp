// What an operator says of copies: [copies] in the settings file (docs/operate/copies.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/message.hpp"

namespace heronvane::copies {

struct Settings {
  struct Member {
    std::string name;           // of the relay, as its configuration has it
    std::string address;        // ip:port, under which its copies listener is reached
    std::string machine, zone;  // empty: not told
  };
  bool on = false;
  std::string cluster;            // no connection to or from another one
  std::string listen;             // ip:port; empty: the address of the member that is this relay
  int holders = 2;                // 0 to 4
  bool require_all_acks = false;  // acks: all holders; else a majority of the group, the owner among it
  Microseconds takeover_after =
      10'000'000;  // an owner not heard for so long is taken over; 0: only when an operator says so
  Microseconds replace_after = 10'000'000;  // a holder that is away for so long is replaced
  Microseconds short_after = 250'000;       // what waits for copies for so long is turned away
  std::uint64_t disk_bytes = 0;  // that copies of others may take; 0: (2 * holders + 4) times disk_mb
  std::vector<Member> members;
};

}  // namespace heronvane::copies

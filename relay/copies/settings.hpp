// Operator settings of log replication: [copies] in the settings file (docs/operate/copies.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/message.hpp"

namespace heronvane::copies {

struct Settings {
  struct Member {
    std::string name;           // relay name, as in its configuration
    std::string address;        // ip:port of its replication listener
    std::string machine, zone;  // empty: unknown
  };
  bool on = false;
  std::string cluster;            // members of other clusters are rejected
  std::string listen;             // ip:port; empty: this relay's own member address
  int holders = 2;                // replicas of the log besides the leader, 0 to 4
  bool require_all_acks = false;  // all replicas; else a majority that includes the leader
  Microseconds takeover_after =
      10'000'000;  // silence before a leader's log is taken over; 0: only on an operator's request
  Microseconds replace_after = 10'000'000;  // time a replica may be unreachable before it is replaced
  Microseconds short_after = 250'000;       // time an entry may wait for acknowledgements
  std::uint64_t disk_bytes = 0;  // limit for other relays' logs; 0: (2 * holders + 4) times disk_mb
  std::vector<Member> members;
};

}  // namespace heronvane::copies

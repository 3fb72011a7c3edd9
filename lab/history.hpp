// What happened in a run, as clients, endpoints, the platform and the lab itself saw it. The judge, the
// figures and the report read nothing else.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plan.hpp"

namespace heronvane::lab {

enum class Kind : std::uint8_t {
  // Clients. Each try to hand a message in has an id of its own.
  sent,     // before its first byte; message_class, destination, until: its deadline; value: its how manieth
            // try; key
  taken,    // 202 or 200
  refused,  // 429 or 503
  failed,   // another answer
  silence,  // none in time, or the connection ended
  unreached,  // no connection: it was never sent
  // Endpoints. `call` numbers calls; one with several messages is an event for each.
  call,         // its last byte has come; `until`: when its first had
  ran,          // it took effect
  turned_away,  // proven not to run: 503, 429
  told_wait,    // `until`
  answered,     // a 200 for it was written to a relay that still waits
  call_over,    // answered otherwise, or its connection ended
  connection,   // a new one came to the endpoint
  crowded,      // one too many: turned away
  // The platform.
  notice_undeliverable,
  notice_deferred,
  listed,     // `endpoint` was told to `relay` as draining or gone
  drained,    // the list has it so from now on
  list_call,  // a relay asked for the list or a watch; `value`: 0 answered, 1 refused
  // Machines.
  term,         // SIGTERM of a planned restart
  down,         // its process has ended as the lab wanted
  up,           // its health said 200 after a start
  crashed,      // its process ended by itself
  no_start,     // its health did not say 200 in time
  disk_lost,    // what it held is gone with its machine
  rolled_back,  // its disk is that of `until`, earlier
  away,         // stopped, or cut off from the platform: what it owes can't be told
  back,         // no longer
  disturbed,    // links between it and endpoints or clients are cut, slow or torn
  undisturbed,  // no longer
  // Destinations and the lab.
  fell,  // value: weight of the calls that knocked it over; part: of these, from relays that saw its outage
  lag,   // the lab's loop stood still for `value` microseconds
};
const char* word(Kind kind);

struct Event {
  Microseconds at = 0;
  Kind kind = Kind::sent;
  Index relay = kNobody, endpoint = kNobody, destination = kNobody;
  std::uint32_t call = 0;
  int message_class = -1;
  Microseconds until = 0;
  double value = 0, part = 0;
  std::string id, key;
};
using History = std::vector<Event>;

}  // namespace heronvane::lab

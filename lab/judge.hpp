// The verdict on a run, from what its outside saw (PROTOCOL, "the rules on sockets"; BRIEF, the six rules).
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "history.hpp"

namespace heronvane::lab {

enum class Rule {
  lost,             // taken on, and no end
  late,             // its end came more than 300 ms after its time
  unsafe_again,     // an unsafe message sent again while an earlier call may have run
  refused_yet_run,  // clients were told that handing it in again is harmless, and it took effect
  ended_otherwise,  // a notice long after its delivery was written
  drained,          // a call to an endpoint that drains or is gone
  waits,            // a call within a told wait
  pushed_over,      // a destination fell over what came from relays that had seen its outage
  order,            // a keyed message overtook an earlier one that is not over
  two_at_once,      // a second copy of a message while the first was out
  attempts,         // more than a message may have
  strange,          // a call that no client's message asks for, or to another destination's endpoint
  crash,
  no_start,
};
constexpr int kRules = static_cast<int>(Rule::no_start) + 1;
const char* word(Rule rule);

struct Finding {
  Rule rule = Rule::lost;
  Microseconds at = 0;
  std::string id;                 // of the message; empty: of none
  std::string text;               // what broke it
  std::vector<std::string> path;  // all that happened to the message, in order
};

struct Tally {
  std::uint64_t sent = 0, taken = 0, refused = 0, failed = 0, silence = 0, unreached = 0;
  std::uint64_t calls = 0, delivered = 0, undeliverable = 0, deferred = 0;
  // Allowed, and told.
  std::uint64_t lost_with_disk = 0;        // taken on by a machine that then lost its disk
  std::uint64_t twice_after_rollback = 0;  // unsafe ones sent again by a relay whose disk was put back
  std::uint64_t repeats = 0;               // effects of safe messages beyond their first
  std::uint64_t notices_again = 0;         // a notice told more than once, in the same words
  std::uint64_t crossed = 0;               // delivered, and a notice: its relay was away, or did not yet know
  std::uint64_t falls = 0, crowded = 0;
  std::uint64_t excused = 0;  // findings that the lab's own lag may have made
};

struct JudgeOptions {
  Microseconds drain_grace = 1'000'000, slack = 50'000, end_slack = 300'000;
  Microseconds after_restart = 1'500'000;  // from ready on, nothing is overdue for so long
  // Copies: what a machine that is lost owed is another's after so long; 0: there are none. Which one had a
  // message that has changed hands can't be seen from outside, so any loss near its time counts.
  Microseconds taken_over_in = 0;
  Microseconds told_at_most = 6'000'000;  // a change of the list counts as told so much later
  Microseconds wait_slack = 100'000;      // calls so soon after a wait was written are let through
  Microseconds answer_read = 500'000;     // a relay has read an answer that was written so long ago
  Microseconds call_ended = 100'000;  // an endpoint has seen the end of a call that was given up so long ago
  Microseconds end_noted = 100'000;   // the end of a process is noted so late at most
  int attempts_most = 8;
  std::size_t findings_most = 200;  // kept; all are counted
  Microseconds lag_least = 20'000;  // the lab's lag from which on it excuses what hangs on times
  double lag_share = 0.05;          // of the run; above, nothing that hangs on times is judged
};

struct Verdict {
  Tally tally;
  std::map<Rule, std::uint64_t> broken;  // of each rule, those that are not excused
  std::vector<Finding> findings;
  bool timed = true;  // false: the lab lagged too much; rules that hang on times were not judged
  double lagged = 0;  // share of the run
  std::uint64_t faults() const {
    std::uint64_t sum = 0;
    for (const auto& [rule, count] : broken) sum += count;
    return sum;
  }
};

// `history` by time. `end`: when the run was over; what is owed then is lost.
Verdict judge(const History& history, const Plan& plan, const std::vector<MessageClass>& classes,
              Microseconds end, const JudgeOptions& options = {});
// One line for people.
std::string line(const Event& event, const Plan& plan);

}  // namespace heronvane::lab

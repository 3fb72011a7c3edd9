// Records each message as seen by clients, endpoints and the platform, and checks that each accepted message
// ended as the relay promises.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/clients.hpp"

namespace heronvane::rig {

using Ms = std::int64_t;  // milliseconds; a time is Unix time
Ms now_ms();

// A notice that the platform stored.
struct Notice {
  std::string id;
  bool deferred = false;
  Ms at = 0;  // received
  std::int64_t repeats = 0;
};

struct Tally {
  // Messages by the client's result: taken by a relay, refused, no answer, failed. Each try has its own id.
  std::uint64_t messages = 0, taken = 0, refused = 0, silence = 0, failed = 0;
  // Calls of all messages; ends of taken messages by delivery and by notice.
  std::uint64_t calls = 0, delivered = 0, noticed = 0;
  // Allowed, but counted. A second end of a message: `again`: the same notice repeated; `second_ends`:
  // delivered and noticed, after its relay or the agent was down; `crossed`: the same, but neither was down;
  // `repeated`: delivered more than once.
  std::uint64_t again = 0, second_ends = 0, crossed = 0, repeated = 0;
  // Ends after the deadline: of messages whose relay was down, and of others. `owed_most`: the longest time
  // from the relay's return (or the deadline, if later) to the end; `overdue`: those longer than 5 s.
  std::uint64_t late = 0, late_unkilled = 0, overdue = 0;
  Ms owed_most = 0;
  // Violations: no end; an unsafe message, which must not run twice, called again after a call that may have
  // run it; refused to the client but called, or deferred though an unsafe one may have run; an id that no
  // client sent.
  std::uint64_t lost = 0, unsafe_twice = 0, refused_yet_run = 0, strange = 0;

  std::uint64_t faults() const { return lost + unsafe_twice + refused_yet_run + strange; }
  std::string text() const;
};

// Records what happens to each message. Thread-safe.
class Ledger {
 public:
  void sent(const std::string& id, bool unsafe, Ms deadline);
  void client_heard(const std::string& id, std::size_t relay, standins::TryResult result);
  void call_arrived(const std::string& id, bool refused);
  void call_answered(const std::string& id);
  // Sets all notices that the platform has; replaces the earlier ones.
  void set_notices(const std::vector<Notice>& all);

  std::uint64_t open_count() const;  // number of taken messages without an end
  // Checks all messages; may be called once. `last_return` returns when the relay, and all that it needs,
  // last came back before the given time; 0: it was never down.
  Tally evaluate(const std::function<Ms(std::size_t relay, Ms before)>& last_return);
  std::string report() const;  // one line for each violation and each overdue end

 private:
  enum class ClientResult { nothing, taken, refused, silence, failed };
  struct Message {
    bool unsafe = false;
    ClientResult client_result = ClientResult::nothing;
    std::size_t relay = 0;
    Ms deadline = 0, delivered_at = 0;
    unsigned calls = 0, may_have_run = 0, delivered = 0;
    const Notice* notice = nullptr;
  };
  Message* find(const std::string& id, const char* event);
  void add_to_report(const std::string& event, const std::string& id);

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Message> messages_;
  std::vector<Notice> notices_;
  Tally tally_;
  std::string report_;
};

}  // namespace heronvane::rig

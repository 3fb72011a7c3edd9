// What became of each message that was handed in, by what clients, endpoints and the platform were told.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/clients.hpp"

namespace heronvane::rig {

using Ms = std::int64_t;  // since 1970
Ms now_ms();

struct Notice {
  std::string id;
  bool deferred = false;
  Ms at = 0;
  std::int64_t repeats = 0;
};

struct Tally {
  std::uint64_t messages = 0, taken = 0, refused = 0, silence = 0,
                failed = 0;                             // each try has an id of its own
  std::uint64_t calls = 0, delivered = 0, noticed = 0;  // of those taken: their ends
  // Allowed, and told. A second end of a message: a notice given again; delivered and a notice, with a relay
  // or agent that was killed, and without; a repeated delivery of one that may run twice.
  std::uint64_t again = 0, second_ends = 0, crossed = 0, repeated = 0;
  // Ends after the deadline: of messages whose relay was away, and of others; the longest from when it ran
  // again (or the deadline, where that was later), and those past 5 s from then.
  std::uint64_t late = 0, late_unkilled = 0, overdue = 0;
  Ms owed_most = 0;
  // Never allowed.
  std::uint64_t lost = 0, unsafe_twice = 0, refused_yet_run = 0, strange = 0;

  std::uint64_t faults() const { return lost + unsafe_twice + refused_yet_run + strange; }
  std::string text() const;
};

// Any thread.
class Books {
 public:
  void sent(const std::string& id, bool unsafe, Ms deadline);
  void heard(const std::string& id, std::size_t relay, standins::Heard heard);
  void arrived(const std::string& id, bool refused);
  void answered(const std::string& id);
  // All that the platform has; replaces what it had before.
  void notices(const std::vector<Notice>& all);

  std::uint64_t open() const;  // taken, and without an end yet
  // `up`: when that relay and all that it needs last ran again before that time; 0: never away. Once.
  Tally judge(const std::function<Ms(std::size_t relay, Ms before)>& up);
  std::string charges() const;  // what speaks against the fleet

 private:
  enum class Said { nothing, taken, refused, silence, failed };
  struct Message {
    bool unsafe = false;
    Said said = Said::nothing;
    std::size_t relay = 0;
    Ms deadline = 0, delivered_at = 0;
    unsigned calls = 0, unproven = 0, delivered = 0;
    const Notice* notice = nullptr;
  };
  Message* find(const std::string& id, const char* what);
  void charge(const std::string& what, const std::string& id);

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Message> messages_;
  std::vector<Notice> notices_;
  Tally tally_;
  std::string charges_;
};

}  // namespace heronvane::rig

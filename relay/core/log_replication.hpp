// What the relay asks of the replication of its log at other relays (relay/copies), where that is on.
#pragma once

#include <string>
#include <vector>

#include "copies/settings.hpp"
#include "core/message.hpp"

namespace heronvane {

// Used from the loop's thread only.
class LogReplication {
 public:
  LogReplication() = default;
  virtual ~LogReplication() = default;
  LogReplication(const LogReplication&) = delete;
  LogReplication& operator=(const LogReplication&) = delete;

  // Begins to speak to other relays. Until ready() nothing that the log holds may be acted on.
  virtual void start() = 0;
  // The log is known to be this relay's.
  virtual bool ready() const = 0;
  // Too few replicas have what was written a while ago: nothing more is to be admitted.
  virtual bool is_under_replicated() const = 0;
  // Something waits for what was written: it is sent at once, not within a few milliseconds.
  virtual void send_now() = 0;
  // The message is of a log whose failover is not decided, and must not be touched.
  virtual bool is_failover_pending(MessageId number) const = 0;
  // Begins the failover of that relay's log. Returns at once: the reason where it is refused, else empty.
  virtual std::string take_over(const std::string& name) = 0;
  // A JSON object for the status.
  virtual std::string status_json() const = 0;
  // Who may hold replicas from now on, and their addresses.
  virtual void members(std::vector<copies::Settings::Member> members) = 0;
};

}  // namespace heronvane

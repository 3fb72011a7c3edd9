// The relay's interface to the replication of its log at other relays (relay/copies).
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

  // Starts communicating with other relays. Until ready() the messages in the log must not be processed.
  virtual void start() = 0;
  // Whether the log is confirmed to be this relay's.
  virtual bool ready() const = 0;
  // Whether too few replicas have acknowledged records that were written a while ago: no request may be
  // admitted then.
  virtual bool is_under_replicated() const = 0;
  // Sends written records at once instead of within a few milliseconds, since plans wait for their
  // replication.
  virtual void send_now() = 0;
  // Whether the message belongs to a log whose failover is not decided yet; it must not be processed then.
  virtual bool is_failover_pending(MessageId number) const = 0;
  // Begins the failover of the log of the relay `name`. Returns at once: empty, or the reason if it is
  // refused.
  virtual std::string take_over(const std::string& name) = 0;
  // The status of replication as a JSON object; empty if it is off.
  virtual std::string status_json() const = 0;
  // Replaces the members that may hold replicas, with their addresses.
  virtual void members(std::vector<copies::Settings::Member> members) = 0;
};

}  // namespace heronvane

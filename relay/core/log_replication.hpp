// What the relay asks of the copies of its log at further relays (relay/copies), where there are any.
#pragma once

#include <string>
#include <vector>

#include "copies/settings.hpp"
#include "core/message.hpp"

namespace heronvane {

class LogReplication {
 public:
  virtual ~LogReplication() = default;
  // Begins to speak to other relays. Until the log is known to be this relay's nothing that it holds may be
  // acted on.
  virtual void start() = 0;
  virtual bool ready() const = 0;
  // Too few holders have what was written a while ago: nothing more is to be taken on.
  virtual bool is_short() const = 0;
  // Something waits for what was written: it goes at once, not within a few milliseconds.
  virtual void hurry() = 0;
  // Of a log whose take-over is not decided: not to be touched.
  virtual bool parked(MessageId number) const = 0;
  // Takes that relay's log over, without waiting. Empty, or why not.
  virtual std::string take_over(const std::string& name) = 0;
  virtual std::string status_json() const = 0;
  // Who may hold copies from now on, and where they are found.
  virtual void members(std::vector<copies::Settings::Member> members) = 0;
};

}  // namespace heronvane

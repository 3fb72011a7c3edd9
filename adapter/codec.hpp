// Runs the decision module behind the simulator's line protocol. Makes no decisions.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "event_reader.hpp"
#include "fields.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane::dispatch::adapter {

// Runs the instances that the simulator starts. A batch of lines begins with ROUND, which tells the time, and
// ends with YOUR_TURN, which asks for the actions of all instances that the batch names. Not thread-safe.
class Codec {
 public:
  // Handles one line, without its line end. Returns true where it ends a batch: `reply` then holds the whole
  // answer. Throws WireError on malformed input; the codec is not to be used after that.
  bool handle_line(const std::string& line, std::string& reply);

 private:
  // A dispatcher that could not be constructed. Reported in place of the instance's first actions.
  struct FailedStart {
    std::string reason;
  };
  using DispatcherOrFailure = std::variant<Dispatcher, FailedStart>;

  struct Instance {
    NameTables names;
    DispatcherOrFailure dispatcher;
    std::vector<Event> events;  // of this batch, in their order
  };

  static DispatcherOrFailure make_dispatcher(const Settings& settings, std::uint64_t seed);
  void handle_message(const std::string& kind, const Value& message);
  void start_instance(const Value& message, const std::string& path);
  void stop_instance(const Value& message, const std::string& path);
  // The instance that a message names; it acts at the end of this batch.
  Instance& acting_instance(const Value& message, const std::string& path);
  void write_reply(std::string& reply);
  void write_actions(const std::string& name, Instance& instance, std::string& reply) const;

  Microseconds now_ = 0;
  bool in_batch_ = false;
  std::map<std::string, Instance> instances_;
  Rosters rosters_;
  std::vector<std::string> acting_;  // instances that this batch names, in the order of their first message
};

}  // namespace heronvane::dispatch::adapter

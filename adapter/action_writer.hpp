// Writes the decision module's actions as lines of the simulator's wire.
#pragma once

#include <string>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::adapter {

// Appends a line for an action of the named instance to `lines`.
void write_action(const Action& action, const std::string& instance, std::string& lines);

// Appends the line that ends the simulation with `reason`.
void write_fatal(const std::string& reason, const std::string& instance, std::string& lines);

// Appends the line that ends the answer to a batch.
void write_batch_end(std::string& lines);

}  // namespace heronvane::dispatch::adapter

// heronvanectl demo: runs an agent with three relays, and in this process the clients and the misbehaving
// partners. All files are in a temporary folder that is removed at the end.
#pragma once

#include "commands.hpp"

namespace heronvane::cli {

// Runs until Ctrl-C or the end of options.seconds. Returns kDone if every message is accounted for and no
// unsafe one took effect twice, kPartial if not, kRefused if the demonstration could not be set up.
int demo(const Demo& options);

}  // namespace heronvane::cli

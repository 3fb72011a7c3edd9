// heronvanectl demo: a fleet of three relays under an agent of its own, with clients and partners that
// misbehave in this process. All of it stands in a temporary folder and is gone at the end.
#pragma once

#include "commands.hpp"

namespace heronvane::cli {

// Until Ctrl-C or its seconds are over. kDone: every message is accounted for, none took effect twice;
// kPartial: not so; kRefused: it could not be set up.
int demo(const Demo& options);

}  // namespace heronvane::cli

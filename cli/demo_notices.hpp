// Reads the notices that the agent's platform stored. Only call this after the agent has ended.
#pragma once

#include <string>

#include "demo_ledger.hpp"

namespace heronvane::cli {

// Marks each open message of `ledger` that a notice ended. `data` is the agent's data folder. Returns the
// error, "" on success.
std::string settle_by_notices(const std::string& data, Ledger& ledger);

}  // namespace heronvane::cli

// The notices that the agent's platform kept, once the agent has ended and left its files to nobody.
#pragma once

#include <string>

#include "demo_ledger.hpp"

namespace heronvane::cli {

// Marks each open message of the books that a notice ended. `data`: the agent's folder. Why it could not be
// done, or "".
std::string settle_by_notices(const std::string& data, Ledger& ledger);

}  // namespace heronvane::cli

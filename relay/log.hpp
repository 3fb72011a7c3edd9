// One line on standard error for each notable event.
#pragma once

#include <string>

namespace heronvane {

void log(const std::string& line);

}  // namespace heronvane

// Scripts that complete commands, options and instances' names.
#pragma once

#include <string>

namespace heronvane::cli {

std::string completion_script(const std::string& shell);  // bash, zsh or fish

}  // namespace heronvane::cli

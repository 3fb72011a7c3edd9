// Shell scripts that complete commands, options and instance names.
#pragma once

#include <string>

namespace heronvane::cli {

std::string completion_script(const std::string& shell);  // `shell`: bash, zsh or fish

}  // namespace heronvane::cli

// The command line. CLI11 stays within options.cpp.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "commands.hpp"

namespace heronvane::cli {

struct Finished {  // help was asked for, or the line is wrong
  int exit;
  std::string out, err;
};

// `environment` gives a variable's value, "" where it is not set.
std::variant<Invocation, Finished> parse_options(int argc, const char* const* argv,
                                                 const std::function<std::string(const char*)>& environment);

}  // namespace heronvane::cli

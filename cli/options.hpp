// Parses the command line. Only options.cpp depends on CLI11.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "commands.hpp"

namespace heronvane::cli {

struct Finished {  // help was requested, or the command line is invalid
  int exit;
  std::string out, err;
};

// `environment` returns the value of a variable, "" if it is not set.
std::variant<Invocation, Finished> parse_options(int argc, const char* const* argv,
                                                 const std::function<std::string(const char*)>& environment);

}  // namespace heronvane::cli

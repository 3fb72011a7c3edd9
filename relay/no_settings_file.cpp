// Replaces settings_file.cpp in builds without toml++.
#include <stdexcept>
#include <string>

#include "operator_settings.hpp"

namespace heronvane {

OperatorSettings read_operator_settings(const std::string& /*text*/, const std::string& file) {
  throw std::runtime_error(file +
                           ": this build reads no settings file: build with -DHERONVANE_SETTINGS_FILE=ON");
}

}  // namespace heronvane

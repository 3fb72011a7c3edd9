#include "operator_settings.hpp"

#include "text_file.hpp"

namespace heronvane {

OperatorSettings load_operator_settings(const std::string& file) {
  if (file.empty()) return {};
  return read_operator_settings(read_text_file(file, "settings"), file);
}

}  // namespace heronvane

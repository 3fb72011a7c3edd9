// Decodes arbitrary bytes as a frame from a member.
#include <cstddef>
#include <cstdint>

#include "packet_checks.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  heronvane::copies::check_packet(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}

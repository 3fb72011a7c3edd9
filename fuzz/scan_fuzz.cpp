// The bytes of a store's files, whatever they are: both scanners come to the end, cover what they were given
// without a gap, and every record that they or decode() let through survives being written again.
//
// Input: a byte that says which (see scan_checks.hpp), then the file.
#include "scan_checks.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  heronvane::store::check_bytes({reinterpret_cast<const char*>(data), size});
  return 0;
}

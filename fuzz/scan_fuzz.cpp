// Fuzzes the scanners with arbitrary bytes of store files: both must terminate and cover their input without
// gaps, and every record that they or decode() accept must survive being encoded again.
//
// Input: a byte that selects the check (see scan_checks.hpp), then the file.
#include "scan_checks.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  heronvane::store::check_bytes({reinterpret_cast<const char*>(data), size});
  return 0;
}

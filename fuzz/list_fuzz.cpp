// Input: a byte that tells how large the slices are, then the list.
#include <cstdint>
#include <cstdlib>

#include "list_checks.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data + 1), size - 1);
  if (!heronvane::same_lists(heronvane::read_sliced(text, 1 + data[0]), heronvane::read_at_once(text)))
    std::abort();
  return 0;
}

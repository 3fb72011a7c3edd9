// CRC-32 as computed by Boost.CRC's crc_32_type (reflected 0x04C11DB7, as in zlib), eight bytes at a time.
#pragma once

#include <cstdint>
#include <string_view>

namespace heronvane::store {

class Crc32 {
 public:
  void add(std::string_view bytes);
  std::uint32_t sum() const { return ~state_; }

 private:
  std::uint32_t state_ = 0xffffffff;
};

}  // namespace heronvane::store

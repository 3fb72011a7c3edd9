#include "store/crc32.hpp"

#include <array>
#include <bit>
#include <cstring>

namespace heronvane::store {
namespace {

static_assert(std::endian::native == std::endian::little);

// [k][b]: contribution of byte b to the CRC when k more bytes follow ("slicing by 8").
constexpr auto kTables = [] {
  std::array<std::array<std::uint32_t, 256>, 8> tables{};
  for (std::uint32_t b = 0; b < 256; b++) {
    std::uint32_t remainder = b;
    for (int bit = 0; bit < 8; bit++) remainder = (remainder >> 1) ^ ((remainder & 1) != 0 ? 0xedb88320 : 0);
    tables[0][b] = remainder;
  }
  for (std::size_t k = 1; k < tables.size(); k++)
    for (std::size_t b = 0; b < 256; b++)
      tables[k][b] = (tables[k - 1][b] >> 8) ^ tables[0][tables[k - 1][b] & 0xff];
  return tables;
}();

}  // namespace

void Crc32::add(std::string_view bytes) {
  const auto& tables = kTables;
  std::uint32_t state = state_;
  const char* next = bytes.data();
  std::size_t remaining = bytes.size();
  for (; remaining >= 8; next += 8, remaining -= 8) {
    std::uint32_t low = 0, high = 0;
    std::memcpy(&low, next, 4);
    std::memcpy(&high, next + 4, 4);
    low ^= state;
    state = tables[7][low & 0xff] ^ tables[6][low >> 8 & 0xff] ^ tables[5][low >> 16 & 0xff] ^
            tables[4][low >> 24] ^ tables[3][high & 0xff] ^ tables[2][high >> 8 & 0xff] ^
            tables[1][high >> 16 & 0xff] ^ tables[0][high >> 24];
  }
  for (; remaining > 0; next++, remaining--)
    state = (state >> 8) ^ tables[0][(state ^ static_cast<unsigned char>(*next)) & 0xff];
  state_ = state;
}

}  // namespace heronvane::store

#include "store/crc32.hpp"

#include <array>
#include <bit>
#include <cstring>

namespace heronvane::store {
namespace {

static_assert(std::endian::native == std::endian::little);

// [k][b]: what the byte b does to the sum once k more bytes came behind it ("slicing by 8").
constexpr auto kTables = [] {
  std::array<std::array<std::uint32_t, 256>, 8> t{};
  for (std::uint32_t b = 0; b < 256; b++) {
    std::uint32_t v = b;
    for (int bit = 0; bit < 8; bit++) v = (v >> 1) ^ ((v & 1) != 0 ? 0xedb88320 : 0);
    t[0][b] = v;
  }
  for (std::size_t k = 1; k < t.size(); k++)
    for (std::size_t b = 0; b < 256; b++) t[k][b] = (t[k - 1][b] >> 8) ^ t[0][t[k - 1][b] & 0xff];
  return t;
}();

}  // namespace

void Crc32::add(std::string_view bytes) {
  const auto& t = kTables;
  std::uint32_t s = state_;
  const char* at = bytes.data();
  std::size_t left = bytes.size();
  for (; left >= 8; at += 8, left -= 8) {
    std::uint32_t low = 0, high = 0;
    std::memcpy(&low, at, 4);
    std::memcpy(&high, at + 4, 4);
    low ^= s;
    s = t[7][low & 0xff] ^ t[6][low >> 8 & 0xff] ^ t[5][low >> 16 & 0xff] ^ t[4][low >> 24] ^
        t[3][high & 0xff] ^ t[2][high >> 8 & 0xff] ^ t[1][high >> 16 & 0xff] ^ t[0][high >> 24];
  }
  for (; left > 0; at++, left--) s = (s >> 8) ^ t[0][(s ^ static_cast<unsigned char>(*at)) & 0xff];
  state_ = s;
}

}  // namespace heronvane::store

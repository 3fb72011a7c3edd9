// Texts that come from outside, as JSON may hold them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace heronvane {

// Any bytes as valid UTF-8: what is none becomes '?'.
inline std::string printable(std::string_view bytes) {
  std::string all;
  for (std::size_t i = 0; i < bytes.size();) {
    const auto c = static_cast<unsigned char>(bytes[i]);
    std::size_t size = c < 0x80                ? 1
                       : c >= 0xc2 && c < 0xe0 ? 2
                       : c >= 0xe0 && c < 0xf0 ? 3
                       : c >= 0xf0 && c < 0xf5 ? 4
                                               : 0;
    for (std::size_t k = 1; k < size; k++)
      if (i + k >= bytes.size() || (static_cast<unsigned char>(bytes[i + k]) & 0xc0) != 0x80) size = 0;
    const auto second = i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) : 0U;
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second >= 0xa0) || (c == 0xf0 && second < 0x90) ||
        (c == 0xf4 && second >= 0x90))
      size = 0;
    if (size == 0) {
      all += '?';
      i++;
    } else {
      all.append(bytes.substr(i, size));
      i += size;
    }
  }
  return all;
}

}  // namespace heronvane

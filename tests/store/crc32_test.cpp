// The checksum of the stored files must not change: it equals Boost's at each length and alignment.
#include "store/crc32.hpp"

#include <gtest/gtest.h>

#include <boost/crc.hpp>
#include <random>
#include <string>

#include "store/records.hpp"

namespace heronvane::store::testing {
namespace {

std::uint32_t boost_crc(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

TEST(Crc32, MatchesBoost) {
  std::mt19937 random(1);
  std::string all(400, '\0');
  for (char& c : all) c = static_cast<char>(random());
  for (std::size_t from = 0; from < 9; from++)
    for (std::size_t size = 0; size + from <= all.size(); size++) {
      const auto bytes = std::string_view(all).substr(from, size);
      Crc32 whole, parts;
      whole.add(bytes);
      parts.add(bytes.substr(0, size / 3)), parts.add(bytes.substr(size / 3));
      ASSERT_EQ(whole.sum(), boost_crc(bytes)) << from << " " << size;
      ASSERT_EQ(parts.sum(), boost_crc(bytes)) << from << " " << size;
    }
}

TEST(Crc32, IsSeededWithTheSalt) { EXPECT_EQ(sum_of(0x64636261, "efg"), boost_crc("abcdefg")); }

}  // namespace
}  // namespace heronvane::store::testing

// Runs the checks of the fuzz target on its corpus.
#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "scan_checks.hpp"

namespace heronvane::store {
namespace {

TEST(Corpus, PassesTheChecksOfScanFuzz) {
  std::size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(HERONVANE_CORPUS)) {
    std::ifstream in(entry.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    SCOPED_TRACE(entry.path().filename().string());
    check_bytes(bytes);
    // Truncated files, too.
    for (std::size_t size = 0; size < bytes.size(); size += 1 + bytes.size() / 64)
      check_bytes(std::string_view(bytes).substr(0, size));
    files++;
  }
  EXPECT_GT(files, 10u);
}

}  // namespace
}  // namespace heronvane::store

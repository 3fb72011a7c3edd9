// A list read in slices of any size equals the list read at once; errors name the malformed field.
#include <gtest/gtest.h>

#include <random>

#include "fuzz/list_checks.hpp"

namespace heronvane {
namespace {

std::string entry(int i) {
  return R"({"name":"e\"}],)" + std::to_string(i) + R"(","address":"127.0.0.1:)" + std::to_string(1'000 + i) +
         R"(","zone":"b","type":"small","group":)" + std::to_string(i / 2) +
         R"(,"status":"ready","weight":1.5,"since_ms":0,"more":[{"x":[1,"\\"]}]})";
}

std::string list(int entries, const std::string& between = ",") {
  std::string text = R"( { "index" : 7, "snapshot":true, "other":{"endpoints":[1,2]}, "endpoints": [ )";
  for (int i = 0; i < entries; i++) text += (i == 0 ? "" : between) + entry(i);
  return text + R"( ], "last":["endpoints"]} )";
}

TEST(ListReader, SlicedReadingEqualsReadingAtOnce) {
  for (const int entries : {0, 1, 2, 50})
    for (const std::size_t slice : {std::size_t{1}, std::size_t{7}, std::size_t{100}, std::size_t{1} << 20}) {
      const auto text = list(entries);
      const auto read = read_sliced(text, slice);
      ASSERT_TRUE(read);
      EXPECT_EQ(read->endpoints.size(), static_cast<std::size_t>(entries));
      EXPECT_TRUE(same_lists(read, read_at_once(text))) << text;
    }
}

TEST(ListReader, ErrorsNameTheField) {
  std::string why;
  EXPECT_FALSE(read_sliced(R"({"index":1,"snapshot":true,"endpoints":[{"name":5}]})", 8, &why));
  EXPECT_NE(why.find("members.endpoints"), std::string::npos) << why;
  EXPECT_FALSE(read_sliced(R"({"snapshot":true,"endpoints":[]})", 8, &why));
  EXPECT_NE(why.find("index"), std::string::npos) << why;
  for (const char* text :
       {"", "{", "[]", "7", "{\"endpoints\":[", R"({"index":1,"snapshot":true,"endpoints":[,]})",
        R"({"index":1,"snapshot":true,"endpoints":[}})", R"({"index":1,"snapshot":true})"})
    EXPECT_FALSE(read_sliced(text, 3)) << text;
}

// Texts with bytes changed, removed and inserted at random: the result equals that of reading at once, and
// nothing crashes.
TEST(ListReader, DamagedTextsAreReadAsAtOnce) {
  std::mt19937_64 random(1);
  const std::string whole = list(3);
  const std::string bytes = "{}[],:\"\\ 0a\n";
  for (int i = 0; i < 20'000; i++) {
    std::string text = whole;
    for (auto n = 1 + random() % 3; n > 0; n--) {
      const auto at = random() % text.size();
      if (random() % 3 == 0)
        text.erase(at, 1 + random() % 4);
      else if (random() % 2 == 0)
        text.insert(at, 1, bytes[random() % bytes.size()]);
      else
        text[at] = bytes[random() % bytes.size()];
    }
    ASSERT_TRUE(same_lists(read_sliced(text, 1 + random() % 200), read_at_once(text))) << text;
  }
}

}  // namespace
}  // namespace heronvane

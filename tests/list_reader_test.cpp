// A list read in slices is the list read at once, whatever the slices; what can't be read is named.
#include "core/list_reader.hpp"

#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <optional>
#include <random>

namespace heronvane {
namespace {

using cedarplank::adapter::WireError;

cedarplank::adapter::Tables tables() {
  cedarplank::adapter::Tables t;
  t.zones = {{"a", 0}, {"b", 1}}, t.kinds = {{"small", 0}};
  return t;
}

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

std::optional<MemberList> sliced(const std::string& text, std::size_t slice, std::string* why = nullptr) {
  static const auto names = tables();
  ListReader reader(text, names);
  try {
    for (std::size_t steps = 0; !reader.step(slice); steps++) {
      if (steps > text.size() + 1) ADD_FAILURE() << "it does not end";
    }
    return reader.take();
  } catch (const WireError& e) {
    if (why != nullptr) *why = e.what();
    return std::nullopt;
  }
}

std::optional<MemberList> at_once(const std::string& text) {
  const auto names = tables();
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (v.HasParseError()) return std::nullopt;
  try {
    return read_members(v, "members", names);
  } catch (const WireError&) {
    return std::nullopt;
  }
}

void expect_same(const std::optional<MemberList>& a, const std::optional<MemberList>& b,
                 const std::string& text) {
  ASSERT_EQ(a.has_value(), b.has_value()) << text;
  if (!a) return;
  EXPECT_EQ(a->index, b->index);
  EXPECT_EQ(a->snapshot, b->snapshot);
  ASSERT_EQ(a->members.size(), b->members.size()) << text;
  for (std::size_t i = 0; i < a->members.size(); i++) {
    EXPECT_EQ(a->members[i].endpoint.id, b->members[i].endpoint.id);
    EXPECT_EQ(a->members[i].endpoint.destination, b->members[i].endpoint.destination);
    EXPECT_EQ(a->members[i].endpoint.zone, b->members[i].endpoint.zone);
    EXPECT_EQ(a->members[i].endpoint.weight, b->members[i].endpoint.weight);
    EXPECT_EQ(a->members[i].address, b->members[i].address);
  }
}

TEST(ListReader, ReadsInSlicesWhatIsReadAtOnce) {
  for (const int entries : {0, 1, 2, 50})
    for (const std::size_t slice : {std::size_t{1}, std::size_t{7}, std::size_t{100}, std::size_t{1} << 20}) {
      const auto text = list(entries);
      const auto read = sliced(text, slice);
      ASSERT_TRUE(read);
      EXPECT_EQ(read->members.size(), static_cast<std::size_t>(entries));
      expect_same(read, at_once(text), text);
    }
}

TEST(ListReader, NamesWhatCantBeRead) {
  std::string why;
  EXPECT_FALSE(sliced(R"({"index":1,"snapshot":true,"endpoints":[{"name":5}]})", 8, &why));
  EXPECT_NE(why.find("members.endpoints"), std::string::npos) << why;
  EXPECT_FALSE(sliced(R"({"snapshot":true,"endpoints":[]})", 8, &why));
  EXPECT_NE(why.find("index"), std::string::npos) << why;
  for (const char* text :
       {"", "{", "[]", "7", "{\"endpoints\":[", R"({"index":1,"snapshot":true,"endpoints":[,]})",
        R"({"index":1,"snapshot":true,"endpoints":[}})", R"({"index":1,"snapshot":true})"})
    EXPECT_FALSE(sliced(text, 3)) << text;
}

// Bytes changed, left out and doubled at random: never read otherwise than at once, never a crash.
TEST(ListReader, DamagedTextsAreReadAsTheyAreAtOnce) {
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
    expect_same(sliced(text, 1 + random() % 200), at_once(text), text);
    if (HasFatalFailure() || HasNonfatalFailure()) return;
  }
}

}  // namespace
}  // namespace heronvane

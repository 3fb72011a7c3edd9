// The partner list: each problem has its line, its field and advice.
#include "fleet/partners.hpp"

#include <gtest/gtest.h>

#include <random>

namespace heronvane::fleet {
namespace {

const std::string kGood =
    R"({"name":"s-1","address":"127.0.0.1:8081","zone":"a","type":"small","group":7,"status":"draining",)"
    R"("weight":0.1,"since_ms":1700000000000})";

std::string list_of(const std::string& entries) { return "{\"endpoints\":[\n" + entries + "\n]}\n"; }

TEST(Partners, ValidListsAreParsed) {
  const auto list = read_partners(
      list_of(kGood + ",\n" + R"({"name":"s-2","address":"::1:80","group":-3,"zone":null,"weight":2})"));
  ASSERT_EQ(list.error(), "");
  ASSERT_EQ(list.endpoints.size(), 2u);
  EXPECT_EQ(list.endpoints[0],
            (Endpoint{"s-1", "127.0.0.1:8081", "a", "small", 7, Status::draining, 0.1, 1700000000000}));
  EXPECT_EQ(list.endpoints[1], (Endpoint{"s-2", "::1:80", "", "", -3, Status::ready, 2.0, 0}));
  EXPECT_TRUE(read_partners(R"({"endpoints":[]})").ok());
  EXPECT_TRUE(read_partners(R"({"index":41,"snapshot":true,"endpoints":[]})").ok());
}

struct Case {
  std::string text;
  std::size_t line;
  std::string field, what;
};

TEST(Partners, EachProblemNamesItsLineAndField) {
  const auto with_fields = [](const std::string& fields) {
    return list_of(kGood + ",\n{\"name\":\"s-2\",\"address\":\"127.0.0.1:1\",\"group\":1" + fields + "}");
  };
  const auto with_address = [](const std::string& address) {
    return list_of(R"({"name":"s-2","group":1,)"
                   "\n"
                   R"("address":")" +
                   address + "\"}");
  };
  const std::vector<Case> cases = {
      {"", 1, "", "not JSON"},
      {"[]", 1, "", "not an object"},
      {"5", 1, "", "not an object"},
      {"{}", 1, "endpoints", "missing"},
      {"{\n\"endpoint\":[]}", 2, "'endpoint'", "not a field"},
      {"{\"endpoints\":\n{}}", 2, "endpoints", "neither"},
      {"{\"endpoints\":[],\"endpoints\":[]}", 1, "endpoints", "twice"},
      {"{\"endpoints\":[5]}", 1, "endpoints", "not an object"},
      {"{\"endpoints\":[[]]}", 1, "endpoints", "not an object"},
      {list_of(kGood + "\n" + kGood), 3, "", "not JSON"},
      {list_of(kGood + ","), 3, "", "not JSON"},
      {list_of(kGood).substr(0, 60), 2, "", "not JSON"},
      {list_of(kGood) + "x", 4, "", "not JSON"},
      {list_of(kGood) + std::string(1, '\0'), 4, "", "byte 0"},
      {list_of("{\"name\":\"\xff\"}"), 2, "", "not JSON"},
      {list_of(kGood + ",\n" + kGood), 3, "endpoints[1].name", "line 2"},
      {list_of(R"({"name":"","address":"127.0.0.1:1","group":1})"), 2, "endpoints[0].name", "empty"},
      {list_of(R"({"address":"127.0.0.1:1","group":1})"), 2, "endpoints[0].name", "missing"},
      {list_of(R"({"name":"a","group":1})"), 2, "endpoints[0].address", "missing"},
      {list_of(R"({"name":"a","address":"127.0.0.1:1"})"), 2, "endpoints[0].group", "missing"},
      {list_of(R"({"name":"a\u0001","address":"127.0.0.1:1","group":1})"), 2, "endpoints[0].name", "control"},
      {with_address("s-1.svc:80"), 3, "endpoints[0].address", "numeric"},
      {with_address("127.0.0.1"), 3, "endpoints[0].address", "no port"},
      {with_address("127.0.0.1:"), 3, "endpoints[0].address", "not end in a port"},
      {with_address("127.0.0.1:0"), 3, "endpoints[0].address", "not end in a port"},
      {with_address("127.0.0.1:65536"), 3, "endpoints[0].address", "not end in a port"},
      {with_address("127.0.0.1:+1"), 3, "endpoints[0].address", "not end in a port"},
      {with_address("[::1]:80"), 3, "endpoints[0].address", "numeric"},  // relays can't parse it
      {with_address("0.0.0.0:80"), 3, "endpoints[0].address", "numeric"},
      {with_fields(",\n\"group\":1"), 4, "endpoints[1].group", "twice"},
      {with_fields(",\n\"wieght\":1"), 4, "endpoints[1].'wieght'", "not a field"},
      {with_fields(",\n\"wieght\":{}"), 4, "endpoints[1].'wieght'", "not a field"},
      {with_fields(",\"status\":\"gone\""), 3, "endpoints[1].status", "not a status"},
      {with_fields(",\"status\":1"), 3, "endpoints[1].status", "not a string"},
      {with_fields(",\"zone\":true"), 3, "endpoints[1].zone", "not a string"},
      {with_fields(",\"type\":[]"), 3, "endpoints[1].type", "not a string"},
      {with_fields(",\"zone\":\"" + std::string(300, 'z') + "\""), 3, "endpoints[1].zone", "longer"},
      {with_fields(",\"weight\":\"1\""), 3, "endpoints[1].weight", "not a number"},
      {with_fields(",\"weight\":-1"), 3, "endpoints[1].weight", "range"},
      {with_fields(",\"weight\":1e300"), 3, "endpoints[1].weight", "range"},
      {with_fields(",\"weight\":18446744073709551615"), 3, "endpoints[1].weight", "range"},
      {with_fields(",\"since_ms\":-1"), 3, "endpoints[1].since_ms", "range"},
      {with_fields(",\"since_ms\":1.5"), 3, "endpoints[1].since_ms", "not a whole number"},
      {list_of(R"({"name":"a","address":"127.0.0.1:1","group":1.0})"), 2, "endpoints[0].group",
       "not a whole number"},
      {list_of(R"({"name":"a","address":"127.0.0.1:1","group":99999999999999999999})"), 2,
       "endpoints[0].group", "not a whole number"},
      {std::string(1'000'000, '['), 1, "", "not an object"},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.text.substr(0, 200));
    const auto list = read_partners(c.text);
    ASSERT_FALSE(list.ok());
    EXPECT_TRUE(list.endpoints.empty());
    const auto& p = list.problems[0];
    EXPECT_EQ(p.line, c.line);
    EXPECT_EQ(p.field, c.field);
    EXPECT_NE(p.what.find(c.what), std::string::npos) << p.what;
    EXPECT_FALSE(p.hint.empty());
    EXPECT_EQ(p.text().find('\n'), std::string::npos);
  }
}

TEST(Partners, ReportsAllProblemsUpToALimit) {
  const auto list = read_partners(list_of(R"({"name":"","address":"x","group":"7"},)"
                                          "\n"
                                          R"({"name":"a"})"));
  std::vector<std::string> fields;
  for (const auto& p : list.problems) fields.push_back(p.field);
  EXPECT_EQ(fields,
            (std::vector<std::string>{"endpoints[0].name", "endpoints[0].address", "endpoints[0].group",
                                      "endpoints[1].address", "endpoints[1].group"}));
  std::string many = "{}";
  for (int i = 0; i < 100; i++) many += ",{}";
  EXPECT_EQ(read_partners(list_of(many)).problems.size(), 20u);
}

TEST(Partners, LimitsEntriesAndBytes) {
  std::string entries;
  const auto add = [&](std::size_t i) {
    entries += (i > 0 ? "," : "") + (R"({"name":"s-)" + std::to_string(i)) +
               R"(","address":"127.0.0.1:8081","group":7})";
  };
  for (std::size_t i = 0; i < kMaxPartners; i++) add(i);
  EXPECT_EQ(read_partners(list_of(entries)).endpoints.size(), kMaxPartners);
  add(kMaxPartners);
  EXPECT_NE(read_partners(list_of(entries)).error().find("more than 100000"), std::string::npos);
  EXPECT_NE(read_partners(std::string(kMaxPartnersBytes + 1, ' ')).error().find("bytes"), std::string::npos);
}

// Randomly corrupted lists are parsed or rejected; rejected ones give no endpoints.
// Guards against undefined behaviour in the parser's conversion of zeros with large exponents.
TEST(Partners, ZerosWithLargeExponentsAreParsed) {
  for (const char* const weight : {"0e30", "0.0e-40", "0E300", "-0e23"}) {
    const std::string entry =
        R"({"name":"s-2","address":"127.0.0.1:1","group":1,"weight":)" + std::string(weight) + "}";
    const auto list = read_partners(list_of(entry));
    EXPECT_TRUE(list.ok() || list.endpoints.empty()) << weight;
  }
}

TEST(Partners, CorruptedTextsAreParsedOrRejected) {
  const std::string good =
      list_of(kGood + "," + kGood + ",{\"name\":\"\\u00e9\",\"address\":\"::1:1\",\"group\":1}");
  for (unsigned seed = 0; seed < 20'000; seed++) {
    std::mt19937 random(seed);
    std::string text = good;
    for (auto n = 1 + random() % 3; n > 0; n--) {
      const auto with_address = random() % text.size();
      if (random() % 3 == 0)
        text.erase(with_address, 1 + random() % 20);
      else if (random() % 2 == 0)
        text[with_address] = static_cast<char>(random() % 256);
      else
        text.insert(with_address, good.substr(random() % good.size(), random() % 20));
      if (text.empty()) break;
    }
    const auto list = read_partners(text);
    EXPECT_TRUE(list.ok() || list.endpoints.empty());
    EXPECT_LE(list.problems.size(), 21u);
  }
}

}  // namespace
}  // namespace heronvane::fleet

// Stored notices: all of a request or none, each once, within the limits of age and number.
#include "fleet/finals.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace heronvane::fleet {
namespace {

using StoreResult = Finals::StoreResult;

class FinalsTest : public ::testing::Test {
 protected:
  FinalsTest() {
    folder = std::filesystem::temp_directory_path() / ("heronvane-finals-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    path = folder / "finals.db";
  }
  ~FinalsTest() override { std::filesystem::remove_all(folder); }
  static std::vector<Notice> make_notices(int from, int to) {
    std::vector<Notice> all;
    for (int i = from; i < to; i++) all.push_back({"m" + std::to_string(i), NoticeStatus::undeliverable, {}});
    return all;
  }
  std::filesystem::path folder;
  std::string path;
};

TEST_F(FinalsTest, AreStoredOnceAndSurviveARestart) {
  const std::vector<Notice> two = {{"m1", NoticeStatus::deferred, 500},
                                   {"m2", NoticeStatus::undeliverable, {}}};
  {
    Finals finals(path);
    EXPECT_EQ(finals.store(two, 1000), StoreResult::yes);
    EXPECT_EQ(finals.store(std::vector<Notice>{{"m1", NoticeStatus::undeliverable, {}}}, 2000),
              StoreResult::yes);
    EXPECT_EQ(finals.count(), 2);
  }
  Finals finals(path);
  EXPECT_EQ(finals.count(), 2);
  const auto m1 = finals.find("m1");
  ASSERT_TRUE(m1);
  EXPECT_EQ(m1->notice, two[0]);
  EXPECT_EQ(m1->received_ms, 1000);
  EXPECT_EQ(m1->repeats, 1);
  EXPECT_EQ(finals.find("m2")->repeats, 0);
  EXPECT_FALSE(finals.find("m3"));
  struct stat s {};
  ASSERT_EQ(::stat(path.c_str(), &s), 0);
  EXPECT_EQ(s.st_mode & 0777u, 0600u);
}

TEST_F(FinalsTest, ListsNewestFirst) {
  Finals finals(path);
  finals.store(make_notices(0, 3), 1000);
  finals.store(make_notices(3, 5), 3000);
  finals.store(make_notices(5, 6), 2000);  // the clock was set back
  std::string order;
  for (const auto& f : finals.newest(4)) order += f.notice.id;
  EXPECT_EQ(order, "m4m3m5m2");
}

TEST_F(FinalsTest, TheOldestAreDeletedByAgeAndNumber) {
  Finals::Options options;
  options.keep_ms = 1000, options.max_notices = 10;
  Finals finals(path, options);
  finals.store(make_notices(0, 4), 1000);
  finals.store(make_notices(4, 8), 1500);
  EXPECT_EQ(finals.prune(2000), 0u);  // exactly at the age limit
  EXPECT_EQ(finals.prune(2001, 3), 3u);
  EXPECT_EQ(finals.prune(2001, 3), 1u);
  EXPECT_EQ(finals.prune(2001, 3), 0u);
  EXPECT_EQ(finals.count(), 4);
  EXPECT_EQ(finals.store(make_notices(8, 20), 2001), StoreResult::yes);
  EXPECT_EQ(finals.count(), 10);
  EXPECT_FALSE(finals.find("m9"));
  EXPECT_TRUE(finals.find("m10"));
}

TEST_F(FinalsTest, ALowerLimitIsReachedInSteps) {
  { Finals(path).store(make_notices(0, 3000), 1000); }
  Finals::Options options;
  options.max_notices = 5;
  Finals finals(path, options);
  EXPECT_EQ(finals.store(make_notices(3000, 3001), 1000), StoreResult::yes);
  EXPECT_EQ(finals.count(), 2000);
  while (finals.prune(1000) > 0) continue;
  EXPECT_EQ(finals.count(), 5);
  EXPECT_TRUE(finals.find("m3000"));
}

// All of a request or none: a relay that gets 503 repeats the whole request.
TEST_F(FinalsTest, AFullDiskStoresNothingOfARequest) {
  Finals finals(path);
  finals.store(make_notices(0, 1), 1000);
  finals.set_max_bytes(64 * 1024);
  EXPECT_EQ(finals.store(make_notices(1, 5000), 1000), StoreResult::full);
  EXPECT_NE(finals.error(), "");
  EXPECT_EQ(finals.count(), 1);
  EXPECT_FALSE(finals.find("m1"));
  finals.set_max_bytes(0);
  EXPECT_EQ(finals.store(make_notices(1, 5000), 1000), StoreResult::yes);
  EXPECT_EQ(finals.error(), "");
  EXPECT_EQ(finals.count(), 5000);
}

TEST_F(FinalsTest, AFileThatIsNoDatabaseIsRejected) {
  std::ofstream(path) << std::string(5000, 'x');
  try {
    Finals finals(path);
    FAIL() << "it was opened";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find(path), std::string::npos);
    EXPECT_NE(std::string(e.what()).find("move"), std::string::npos) << e.what();
  }
  EXPECT_THROW(Finals("/dev/null/no.db"), std::runtime_error);
}

TEST(Notices, AreParsedOrRejectedAsAWhole) {
  std::string problem;
  const auto read = [&](const std::string& body) { return read_notices(body, problem); };
  const auto good = read(
      "{\"id\":\"a\",\"status\":\"undeliverable\"}\r\n\n"
      "{\"id\":\"b\",\"status\":\"deferred\",\"again_ms\":500,\"more\":[1]}");
  ASSERT_TRUE(good);
  EXPECT_EQ(*good, (std::vector<Notice>{{"a", NoticeStatus::undeliverable, {}},
                                        {"b", NoticeStatus::deferred, 500}}));
  EXPECT_TRUE(read("")->empty());
  const std::string first = "{\"id\":\"a\",\"status\":\"undeliverable\"}\n";
  for (const std::string bad :
       {"{", "5", "[]", "{}", R"({"id":5,"status":"deferred"})", R"({"id":"","status":"deferred"})",
        R"({"id":"a"})", R"({"id":"a","status":"lost"})", R"({"id":"a\n","status":"deferred"})",
        R"({"id":"a","status":"deferred","again_ms":-1})", R"({"id":"a","status":"deferred","again_ms":"5"})",
        "{\"id\":\"\xff\",\"status\":\"deferred\"}"}) {
    EXPECT_FALSE(read(first + bad + "\n")) << bad;
    EXPECT_EQ(problem.substr(0, 7), "line 2 ") << problem;
  }
  EXPECT_FALSE(read(std::string(1'000'000, '[')));
  EXPECT_FALSE(read("{\"id\":\"" + std::string(300, 'x') + "\",\"status\":\"deferred\"}"));
}

}  // namespace
}  // namespace heronvane::fleet

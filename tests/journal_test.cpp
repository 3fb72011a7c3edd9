// The folder that lasts: what is found again after any cut, and the room it takes.
#include "journal.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace heronvane {
namespace {

namespace fs = std::filesystem;

class JournalTest : public ::testing::Test {
 protected:
  JournalTest()
      : folder((fs::temp_directory_path() / ("journal-test-" + std::to_string(::getpid()))).string()) {
    fs::remove_all(folder);
    fs::create_directories(folder);
  }
  ~JournalTest() override { fs::remove_all(folder); }

  static Message message(const std::string& id, std::size_t body = 5) {
    Message m;
    m.id = id, m.message_class = "pay-and-order", m.tenant = "acme";
    m.destination = 7, m.deadline = 123'456'789, m.repeat = true;
    m.body = std::string(body, '\0') + "x";
    return m;
  }
  std::string file() const { return folder + "/journal"; }
  std::string content() const {
    std::ifstream in(file(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& bytes) const { std::ofstream(file(), std::ios::binary) << bytes; }
  std::uint64_t on_disk() const {
    std::uint64_t sum = 0;
    for (const auto& f : fs::directory_iterator(folder)) sum += (f.file_size() + 511) / 512 * 512;
    return sum;
  }

  std::string folder;
  static constexpr std::uint64_t kLimit = 3'000'000;
};

TEST_F(JournalTest, FindsAgainWhatWasWritten) {
  {
    Journal j(folder, kLimit);
    j.take(1, message("a")), j.take(2, message("b")), j.take(3, message("c"));
    j.sent(1, 1000, 2), j.outcome(1, 0, Outcome::full), j.sent(1, 2000, 1);
    j.ending(2, {true, 500}), j.over(3);
    EXPECT_TRUE(j.commit());
  }
  const Journal j(folder, kLimit);
  EXPECT_EQ(j.dropped_bytes(), 0u);
  ASSERT_EQ(j.held().size(), 2u);
  const Held& a = j.held().at(1);
  EXPECT_EQ(a.message.id, "a");
  EXPECT_EQ(a.message.message_class, "pay-and-order");
  EXPECT_EQ(a.message.tenant, "acme");
  EXPECT_EQ(a.message.destination, 7);
  EXPECT_EQ(a.message.deadline, 123'456'789);
  EXPECT_TRUE(a.message.repeat);
  EXPECT_EQ(a.message.body, std::string(5, '\0') + "x");
  ASSERT_EQ(a.attempts.size(), 2u);
  EXPECT_FALSE(a.attempts[0].may_have_run());
  EXPECT_TRUE(a.attempts[1].may_have_run());  // no outcome was seen
  EXPECT_EQ(a.attempts[1].sent, 2000);
  EXPECT_EQ(a.attempts[1].zone, 1);
  ASSERT_TRUE(j.held().at(2).ending.has_value());
  EXPECT_TRUE(j.held().at(2).ending->deferred);
  EXPECT_EQ(j.held().at(2).ending->again, 500);
}

// A process may be killed within any write: whole records before the cut count, the torn one never.
TEST_F(JournalTest, SurvivesACutAtEveryByte) {
  std::string whole;
  std::vector<std::size_t> ends;
  {
    Journal j(folder, kLimit);
    for (MessageId id = 1; id <= 3; id++) {
      j.take(id, message(std::to_string(id)));
      ASSERT_TRUE(j.commit());
      ends.push_back(content().size());
    }
    whole = content();
  }
  for (std::size_t cut = 0; cut <= whole.size(); cut++) {
    write(whole.substr(0, cut));
    std::size_t expected = 0;
    for (const auto end : ends) expected += cut >= end;
    {
      Journal j(folder, kLimit);
      ASSERT_EQ(j.held().size(), expected) << "cut at " << cut;
      j.take(9, message("new"));
      ASSERT_TRUE(j.commit());
    }
    const Journal again(folder, kLimit);
    ASSERT_EQ(again.held().size(), expected + 1) << "cut at " << cut;
    ASSERT_EQ(again.dropped_bytes(), 0u);
  }
}

TEST_F(JournalTest, ADamagedRecordEndsWhatIsRead) {
  {
    Journal j(folder, kLimit);
    j.take(1, message("a")), j.take(2, message("b"));
    ASSERT_TRUE(j.commit());
  }
  auto bytes = content();
  bytes[bytes.size() - 3] = static_cast<char>(bytes[bytes.size() - 3] ^ 1);
  write(bytes);
  const Journal j(folder, kLimit);
  EXPECT_EQ(j.held().size(), 1u);
  EXPECT_GT(j.dropped_bytes(), 0u);
}

TEST_F(JournalTest, AFileOfSomethingElseIsNoJournal) {
  write("something else altogether\n");
  Journal j(folder, kLimit);
  EXPECT_TRUE(j.held().empty());
  EXPECT_GT(j.dropped_bytes(), 0u);
  j.take(1, message("a"));
  EXPECT_TRUE(j.commit());
  EXPECT_EQ(Journal(folder, kLimit).held().size(), 1u);
}

// Large bodies fill the folder fast: it stays under its limit at every step, nothing held is lost, and room
// comes back once messages are over.
TEST_F(JournalTest, StaysUnderItsLimitWithLargeBodies) {
  Journal j(folder, kLimit);
  MessageId next = 1, first = 1;
  int refused = 0;
  for (int i = 0; i < 1000; i++) {
    const Message m = message(std::to_string(next), 64 * 1024 - 1);
    if (j.room_for(m)) {
      j.take(next++, m);
    } else {
      refused++;
      if (first < next) j.over(first++);
    }
    ASSERT_TRUE(j.commit());
    ASSERT_LE(on_disk(), kLimit);
    if (j.wants_compaction()) j.compact();
    ASSERT_LE(on_disk(), kLimit);
  }
  EXPECT_GT(refused, 0);
  EXPECT_GT(next, 200u);  // far more went through than fit at once
  const auto held = j.held().size();
  EXPECT_EQ(held, next - first);
  EXPECT_EQ(Journal(folder, kLimit).held().size(), held);
}

// Killed at any step of a compaction, with news written between the steps, all that is held is found again.
TEST_F(JournalTest, CompactionMayStopAtAnyStep) {
  for (int stop = 0; stop < 12; stop++) {
    fs::remove_all(folder);
    fs::create_directories(folder);
    const std::string copy = folder + "-copy";
    std::map<MessageId, std::size_t> expected;
    {
      Journal j(folder, kLimit);
      for (MessageId id = 1; id <= 12; id++) j.take(id, message(std::to_string(id), 64 * 1024 - 1));
      ASSERT_TRUE(j.commit());
      MessageId id = 100;
      for (int step = 0; step < stop; step++) {
        j.compact();
        j.take(id, message(std::to_string(id))), j.sent(id, 1, 0);
        j.sent(1, 1, 0), j.sent(12, 1, 0);  // one that was copied by now, and one that may not be
        if (step == 3) j.over(5);
        id++;
        ASSERT_TRUE(j.commit());
      }
      for (const auto& [number, held] : j.held()) expected[number] = held.attempts.size();
      fs::remove_all(copy);
      fs::copy(folder, copy);  // what SIGKILL would leave
    }
    {
      const Journal left(copy, kLimit);
      std::map<MessageId, std::size_t> found;
      for (const auto& [number, held] : left.held()) found[number] = held.attempts.size();
      EXPECT_EQ(found, expected) << "stopped after step " << stop;
      EXPECT_FALSE(fs::exists(copy + "/journal.next"));
    }
    fs::remove_all(copy);
  }
}

TEST_F(JournalTest, NoRoomIsToldBeforeAMessageIsTaken) {
  Journal j(folder, 200'000);
  EXPECT_TRUE(j.room_for(message("a", 1000)));
  EXPECT_FALSE(j.room_for(message("a", 100'000)));
  EXPECT_FALSE(j.room_for(message("a", 1000), 90'000));
}

}  // namespace
}  // namespace heronvane

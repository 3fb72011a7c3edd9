#include "standalone_log.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "store/memory_disk.hpp"

namespace heronvane {
namespace {

constexpr std::uint64_t kDiskBytes = 1'000'000;
constexpr const char* kCopiesFact = "copies.config";

class StandaloneLogTest : public ::testing::Test {
 protected:
  StandaloneLogTest() : store_(disk_, options()) {}

  static store::Options options() {
    store::Options options;
    options.limit_bytes = kDiskBytes;
    return options;
  }

  StandaloneLog log(bool force_own) {
    return {store_, force_own, [this] { ready_calls_++; }};
  }

  void hold_a_request() {
    Message message;
    message.id = "a";
    message.message_class = "query";
    ASSERT_TRUE(store_.admit(message));
    store_.accept(store_.next_number(), message);
  }

  store::testing::MemoryDisk disk_;
  store::Store store_;
  int ready_calls_ = 0;
};

TEST_F(StandaloneLogTest, IsReadyAfterStart) {
  StandaloneLog log = this->log(false);
  hold_a_request();
  log.start();
  EXPECT_EQ(ready_calls_, 1);
  EXPECT_TRUE(log.ready());
  EXPECT_FALSE(log.is_under_replicated());
  EXPECT_TRUE(log.status_json().empty());
}

TEST_F(StandaloneLogTest, RemovesReplicationFactsOfAnEmptyLog) {
  StandaloneLog log = this->log(false);
  ASSERT_TRUE(store_.set_fact(kCopiesFact, "value"));
  ASSERT_TRUE(store_.set_fact("drain", "7"));
  log.start();
  EXPECT_FALSE(store_.facts().contains(kCopiesFact));
  EXPECT_TRUE(store_.facts().contains("drain"));
}

TEST_F(StandaloneLogTest, StartFailsIfTheLogMayHaveBeenTakenOver) {
  ASSERT_TRUE(store_.set_fact(kCopiesFact, "value"));
  hold_a_request();
  StandaloneLog log = this->log(false);
  EXPECT_THROW(log.start(), std::runtime_error);
  EXPECT_EQ(ready_calls_, 0);
  EXPECT_TRUE(store_.facts().contains(kCopiesFact));

  StandaloneLog forced = this->log(true);
  forced.start();
  EXPECT_EQ(ready_calls_, 1);
  EXPECT_FALSE(store_.facts().contains(kCopiesFact));
}

}  // namespace
}  // namespace heronvane

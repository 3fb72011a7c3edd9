// Write-ahead execution, with a disk in memory.
#include "committer.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "store/memory_disk.hpp"

namespace heronvane {
namespace {

using store::testing::MemoryDisk;

constexpr std::uint64_t kDiskBytes = 1'000'000;

// Provides hooks that record their calls in order.
class CommitterTest : public ::testing::Test {
 protected:
  Committer::Hooks hooks() {
    Committer::Hooks hooks;
    hooks.execute = [this](const WriteAheadPlan& plan) {
      for (const auto& pending : plan.replies) calls_.push_back("execute " + std::to_string(pending.id));
    };
    hooks.reject = [this](const std::vector<WriteAheadPlan::PendingReply>& replies, CommitFailure why) {
      const std::string reason = why == CommitFailure::not_written ? "not written " : "unknown ";
      for (const auto& pending : replies) calls_.push_back(reason + std::to_string(pending.id));
    };
    hooks.withdrawn = [this](const EndpointId& endpoint, const Outgoing& message) {
      calls_.push_back("withdrawn " + endpoint + " " + std::to_string(message.id));
    };
    hooks.plans_pending = [] {};
    hooks.writable_again = [this] { calls_.emplace_back("writable"); };
    hooks.expire_overdue = [] {};
    return hooks;
  }

  static store::Options options() {
    store::Options options;
    options.limit_bytes = kDiskBytes;
    return options;
  }

  // A plan with a reply to the request `id` and an attempt of it.
  static WriteAheadPlan plan_of(MessageId id) {
    WriteAheadPlan plan;
    plan.replies.push_back({id, [](const ClientReply&) {}, {202, 0}});
    Outgoing message;
    message.id = id;
    plan.calls.push_back({"e1", {message}});
    return plan;
  }

  // Makes all operations that change the disk fail until clear_faults().
  void break_disk() { disk_.fail_from(disk_.operations() + 1, {}); }

  // Adds a record, so that a commit writes to the disk.
  void add_record(Committer& committer, const std::string& key) { committer.keep(key, "value"); }

  boost::asio::io_context io_;
  MemoryDisk disk_;
  std::vector<std::string> calls_;
};

TEST_F(CommitterTest, ExecutesAPlanOnceItsRecordsAreWritten) {
  Committer committer(io_, disk_, options(), hooks());
  add_record(committer, "a");
  committer.commit(plan_of(1));
  EXPECT_EQ(calls_, (std::vector<std::string>{"execute 1"}));
  EXPECT_TRUE(committer.is_settled());
}

TEST_F(CommitterTest, CommitsOnceForATurnOfTheEventLoop) {
  Committer committer(io_, disk_, options(), hooks());
  committer.commit_soon();
  committer.commit_soon();
  EXPECT_TRUE(committer.commit_is_due());
  EXPECT_EQ(io_.run(), 1u);
  EXPECT_FALSE(committer.commit_is_due());
}

TEST_F(CommitterTest, RejectsAndWithdrawsPlansThatCantBeWritten) {
  Committer committer(io_, disk_, options(), hooks());
  committer.commit();
  break_disk();
  add_record(committer, "a");
  committer.commit(plan_of(1));
  EXPECT_EQ(calls_, (std::vector<std::string>{"not written 1", "withdrawn e1 1"}));
  EXPECT_FALSE(committer.is_writable());
  EXPECT_FALSE(committer.is_settled());
}

TEST_F(CommitterTest, HoldsTheLastValueOfEachKeyUntilAWriteSucceeds) {
  Committer committer(io_, disk_, options(), hooks());
  committer.commit();
  break_disk();
  add_record(committer, "a");
  committer.commit();
  ASSERT_FALSE(committer.is_writable());
  committer.keep("b", "first");
  committer.keep("b", "last");
  EXPECT_EQ(committer.store().facts().count("b"), 0u);

  disk_.clear_faults();
  committer.commit();
  EXPECT_TRUE(committer.is_writable());
  EXPECT_EQ(committer.store().facts().at("b"), "last");
  EXPECT_EQ(calls_, (std::vector<std::string>{"writable"}));
}

}  // namespace
}  // namespace heronvane

// SyncThread: order of syncs, errors, the thread that gets the results, shutdown.
#include "store/sync_thread.hpp"

#include <gtest/gtest.h>
#include <pthread.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include "memory_disk.hpp"

namespace heronvane::store::testing {
namespace {

// Collects posted functions and runs them on the test's thread.
class EventLoop {
 public:
  SyncThread::Post post() {
    return [this](std::function<void()> f) {
      {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(f));
      }
      not_empty_.notify_one();
    };
  }
  void run_one() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return !posted_.empty(); });
    const auto f = std::move(posted_.front());
    posted_.pop_front();
    lock.unlock();
    f();
  }
  std::size_t waiting() {
    const std::lock_guard lock(mutex_);
    return posted_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<std::function<void()>> posted_;
};

FileId file(Disk& disk, const std::string& name) {
  FileId id = -1;
  EXPECT_FALSE(disk.open(name, Disk::Access::create, id));
  return id;
}

std::vector<std::string> synced(const MemoryDisk& disk) {
  std::vector<std::string> names;
  for (std::size_t n = 1; n <= disk.operations(); n++) {
    const auto o = disk.operation(n);
    if (o.kind == Kind::sync) names.push_back(o.name);
    if (o.kind == Kind::sync_folder) names.push_back("the folder");
  }
  return names;
}

TEST(SyncThread, SyncsOnItsThreadAndPostsToTheCallers) {
  MemoryDisk disk;
  EventLoop loop;
  std::thread::id sync_thread_id, callback_thread_id;
  bool receives_signals = true;
  disk.on_sync([&] {
    sync_thread_id = std::this_thread::get_id();
    sigset_t mask;
    ::pthread_sigmask(SIG_SETMASK, nullptr, &mask);
    receives_signals = ::sigismember(&mask, SIGTERM) == 0;
  });
  SyncThread syncs(disk, loop.post());
  syncs.sync({file(disk, "a")}, false, [&](std::error_code bad) {
    EXPECT_FALSE(bad);
    callback_thread_id = std::this_thread::get_id();
  });
  loop.run_one();
  EXPECT_EQ(callback_thread_id, std::this_thread::get_id());
  EXPECT_NE(sync_thread_id, std::thread::id());
  EXPECT_NE(sync_thread_id, std::this_thread::get_id());
  EXPECT_FALSE(receives_signals);
  sigset_t mask;
  ::pthread_sigmask(SIG_SETMASK, nullptr, &mask);
  EXPECT_EQ(::sigismember(&mask, SIGTERM), 0);
}

TEST(SyncThread, RunsSyncsInOrderWithoutBlockingTheCaller) {
  MemoryDisk disk;
  EventLoop loop;
  std::promise<void> gate_opened;
  std::atomic<int> concurrent{0}, most{0};
  disk.on_sync([&, gate = gate_opened.get_future().share()] {
    most = std::max(most.load(), ++concurrent);
    gate.wait();
    concurrent--;
  });
  const FileId a = file(disk, "a"), b = file(disk, "b"), c = file(disk, "c");
  std::vector<int> results;
  SyncThread syncs(disk, loop.post());
  syncs.sync({a, b}, true, [&](std::error_code) { results.push_back(1); });
  syncs.sync({c}, false, [&](std::error_code) { results.push_back(2); });
  syncs.sync({a}, true, [&](std::error_code) { results.push_back(3); });
  EXPECT_EQ(loop.waiting(), 0u);  // none can have finished
  gate_opened.set_value();
  for (int i = 0; i < 3; i++) loop.run_one();
  EXPECT_EQ(results, (std::vector<int>{1, 2, 3}));
  EXPECT_EQ(synced(disk), (std::vector<std::string>{"a", "b", "the folder", "c", "a", "the folder"}));
  EXPECT_EQ(most, 1);
}

TEST(SyncThread, AnErrorEndsOnlyItsSync) {
  MemoryDisk disk;
  EventLoop loop;
  const FileId a = file(disk, "a"), b = file(disk, "b");
  disk.fail(1, {.error = std::errc::io_error, .only = Kind::sync});
  disk.fail(1, {.error = std::errc::no_space_on_device, .only = Kind::sync_folder});
  std::vector<std::error_code> results;
  const auto tell = [&](std::error_code bad) { results.push_back(bad); };
  SyncThread syncs(disk, loop.post());
  syncs.sync({a, b}, true, tell);
  syncs.sync({a, b}, true, tell);
  syncs.sync({a}, true, tell);
  for (int i = 0; i < 3; i++) loop.run_one();
  ASSERT_EQ(results.size(), 3u);
  EXPECT_EQ(results[0], std::errc::io_error);
  EXPECT_EQ(results[1], std::errc::no_space_on_device);
  EXPECT_FALSE(results[2]);
  EXPECT_EQ(synced(disk), (std::vector<std::string>{"a", "a", "b", "the folder", "a", "the folder"}));
}

TEST(SyncThread, DestructorCompletesRequestedSyncs) {
  MemoryDisk disk;
  EventLoop loop;
  std::promise<void> started, gate_opened;
  std::atomic<bool> first{true}, ended{false};
  disk.on_sync([&, gate = gate_opened.get_future().share()] {
    if (first.exchange(false)) started.set_value();
    gate.wait();
  });
  const FileId a = file(disk, "a"), b = file(disk, "b");
  auto syncs = std::make_unique<SyncThread>(disk, loop.post());
  syncs->sync({a}, false, [](std::error_code) {});
  syncs->sync({b}, true, [](std::error_code) {});
  started.get_future().wait();
  std::thread end([&] {
    syncs.reset();
    ended = true;
  });
  EXPECT_FALSE(ended);
  gate_opened.set_value();
  end.join();
  EXPECT_EQ(synced(disk), (std::vector<std::string>{"a", "b", "the folder"}));
  EXPECT_EQ(loop.waiting(), 2u);
}

// With the store: records up to durable() survive a power loss, and the caller continues meanwhile.
TEST(SyncThread, DurableRecordsSurviveAPowerLoss) {
  MemoryDisk disk;
  EventLoop loop;
  SyncThread syncs(disk, loop.post());
  Options options;
  options.limit_bytes = 1'000'000;
  options.durability = Durability::machine;
  options.boot = "first";
  Store store(disk, options, &syncs);
  Message m;
  m.deadline = 1'000'000'000'000'000'000, m.body = "x";
  std::map<MessageId, Sequence> written;
  for (MessageId n = 1; n <= 200; n++) {
    m.id = "m" + std::to_string(n);
    ASSERT_TRUE(store.admit(m));
    store.accept(n, m);
    ASSERT_TRUE(store.commit());
    written[n] = store.written();
    if (n % 20 != 0) continue;
    loop.run_one();
    const auto lost = disk.power_loss(disk.operations(), LossChoice::none());
    Options again = options;
    again.durability = Durability::process;
    const Store found(*lost, again);
    for (const auto& [number, sequence] : written)
      EXPECT_TRUE(sequence > store.durable() || found.find(number) != nullptr) << number;
  }
  while (store.durable() < store.written()) loop.run_one();
  const auto lost = disk.power_loss(disk.operations(), LossChoice::none());
  options.durability = Durability::process;
  EXPECT_EQ(Store(*lost, options).held().size(), 200u);
}

}  // namespace
}  // namespace heronvane::store::testing

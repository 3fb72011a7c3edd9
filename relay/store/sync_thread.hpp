// Syncs on a thread of its own, so that rounds go on while a disk takes its time.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <system_error>
#include <thread>
#include <vector>

#include "store/store.hpp"

namespace heronvane::store {

// Syncs in the order in which they were asked for, one after the other: the files, then the folder; the first
// error ends that one. May be called from any thread.
class SyncThread : public Syncer {
 public:
  // Has the given function run on the caller's thread, some time. Called on the sync thread; must not throw,
  // and must be callable until the SyncThread is gone.
  using Post = std::function<void(std::function<void()>)>;

  // `disk` must outlive it. Throws std::system_error where no thread can be had.
  SyncThread(Disk& disk, Post post);
  // Ends what was asked for, and posts that, first.
  ~SyncThread() override;
  SyncThread(const SyncThread&) = delete;
  SyncThread& operator=(const SyncThread&) = delete;

  void sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) override;

 private:
  struct Job {
    std::vector<FileId> files;
    bool folder = false;
    std::function<void(std::error_code)> done;
  };

  void run();
  std::error_code execute(const Job& job);

  Disk& disk_;
  const Post post_;
  std::mutex mutex_;  // of what follows, but for the thread
  std::condition_variable wake_up_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace heronvane::store

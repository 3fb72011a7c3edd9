// Syncs files on a thread of its own, so that the caller's thread does not wait for the disk.
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

// Runs the requested syncs one after the other, in order: each its files, then the folder; the first error
// ends it. sync() may be called from any thread.
class SyncThread : public Syncer {
 public:
  // Schedules the function to run on the caller's thread. Called on the sync thread; must not throw, and must
  // be callable until the SyncThread is destroyed.
  using Post = std::function<void(std::function<void()>)>;

  // `disk` must outlive this. Throws std::system_error if no thread can be started.
  SyncThread(Disk& disk, Post post);
  // Completes the requested syncs and posts their results first.
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
  std::mutex mutex_;  // guards the members below, except the thread
  std::condition_variable wake_up_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace heronvane::store

#include "store/sync_thread.hpp"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace heronvane::store {
namespace {

// Blocks all signals while a thread is started, which inherits the mask: signals to the process must go to
// the caller's thread, whose loop waits for them.
class SignalsBlocked {
 public:
  SignalsBlocked() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~SignalsBlocked() { ::pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  SignalsBlocked(const SignalsBlocked&) = delete;
  SignalsBlocked& operator=(const SignalsBlocked&) = delete;

 private:
  sigset_t before_{};
};

}  // namespace

SyncThread::SyncThread(Disk& disk, Post post) : disk_(disk), post_(std::move(post)) {
  const SignalsBlocked blocked;
  thread_ = std::thread([this] { run(); });
}

SyncThread::~SyncThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_one();
  thread_.join();
}

void SyncThread::sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(files), folder, std::move(done)});
  }
  wake_up_.notify_one();
}

void SyncThread::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (jobs_.empty()) return;
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    const auto error = execute(job);
    post_([done = std::move(job.done), error] { done(error); });
    lock.lock();
  }
}

std::error_code SyncThread::execute(const Job& job) {
  for (const FileId file : job.files)
    if (const auto error = disk_.sync(file)) return error;
  return job.folder ? disk_.sync_folder() : std::error_code{};
}

}  // namespace heronvane::store

// Write ahead: what was decided is written to the store, and done only once its records are durable.
//
// Owns the store, the plans that wait for their records, and what happens while the store can't be written:
// then the decision module is not to be asked, and nothing that was planned goes as it was planned.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/outbox.hpp"
#include "core/timer.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"
#include "store/sync_thread.hpp"

namespace heronvane {

// Why a reply that waits for its record is given otherwise.
enum class CommitFailure {
  not_written,        // no record says that the request was taken on: it may be sent again
  durability_unknown  // its record may be durable after all: nothing may be promised
};

// Owned by the relay, outlived by it; called on the event loop's thread only, and calls back there. The
// store's own sync thread touches nothing here.
class Committer {
 public:
  struct Hooks {
    // The records of this plan are durable: it may be executed.
    std::function<void(WriteAheadPlan plan)> execute;
    std::function<void(std::vector<WriteAheadPlan::PendingReply> replies, CommitFailure why)> reject;
    // A planned call that is withdrawn, for each message in it: it has not begun.
    Outbox::Withdrawn withdrawn;
    // Plans wait for records that were just written.
    std::function<void()> plans_pending;
    // The store can be written again: what was kept back meanwhile may be told now.
    std::function<void()> writable_again;
    // Records wait for long: requests past their deadline are owed their end all the same.
    std::function<void()> expire_overdue;
  };

  // Reads the store; `folder` outlives this. Throws store::StoreError or std::system_error, with nothing
  // changed. No hook is called before start().
  Committer(boost::asio::io_context& io, store::Disk& folder, store::Options options, Hooks hooks);
  // Waits for syncs that are under way.
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // From here on the store's syncs are heard.
  void start();

  store::Store& store() { return store_; }
  const store::Store& store() const { return store_; }

  // Writes all records so far, with those of `plan`; executes it, and those before it, once they are durable.
  void commit(WriteAheadPlan plan = {});
  // The same, once for all that comes in one turn of the loop.
  void commit_soon();
  // Runs a commit_soon() that is due, now.
  void commit_if_due();
  // Durability has moved on: executes the plans whose records are durable now.
  void durable_advanced();
  // Compacts the store in steps while it asks for that.
  void compact_if_wanted();

  // Keeps a value over restarts, an empty one drops it; false where there is no room. While the store can't
  // be written the last value of each key waits.
  bool keep(const std::string& key, const std::string& value);

  // False since a write failed: nothing is to be decided until one succeeds.
  bool is_writable() const { return writable_; }
  bool commit_is_due() const { return commit_due_; }
  bool has_waiting_plans() const { return !outbox_.empty(); }
  // Nothing waits to be written or to become durable.
  bool is_settled() const;

  // Takes back planned calls that have not begun.
  void withdraw(const EndpointId& endpoint) { outbox_.withdraw(endpoint, hooks_.withdrawn); }
  void withdraw(MessageId id, int attempt) { outbox_.withdraw(id, attempt, hooks_.withdrawn); }
  void withdraw_all() { outbox_.withdraw_all(hooks_.withdrawn); }
  // Rejects all replies that wait, as of unknown durability.
  void reject_waiting_replies();

 private:
  void commit_failed();
  void resume_writing();
  void execute_durable_plans();
  void retry_later();
  void retry();
  void schedule_compaction();
  void compaction_step();

  boost::asio::io_context& io_;
  const Hooks hooks_;
  std::unique_ptr<store::SyncThread> sync_thread_;  // where records must outlast the machine
  store::Store store_;
  Outbox outbox_;
  bool writable_ = true;
  bool commit_due_ = false;  // a commit_soon() is posted
  bool compaction_scheduled_ = false;
  std::map<std::string, std::string> deferred_facts_;  // by key, while the store can't be written
  Timer retry_timer_;
  Timer compaction_timer_;
};

}  // namespace heronvane

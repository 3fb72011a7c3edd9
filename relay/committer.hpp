// Write-ahead execution: writes the records of each plan to the store, and executes the plan only once its
// records are durable.
//
// Owns the store and the plans that wait for their records. While the store can't be written, is_writable()
// is false: the decision module must not be asked, and planned calls are withdrawn.
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

// Why a reply that waits for its record is replaced by a rejection.
enum class CommitFailure {
  not_written,        // the request has no record: the client may send it again
  durability_unknown  // its record may or may not be durable: the outcome is unknown
};

// Owned by the relay, outlived by it; called on the event loop's thread only, and calls back there. The
// store's own sync thread touches nothing here.
class Committer {
 public:
  struct Hooks {
    // Called with a plan whose records are durable: executes it.
    std::function<void(WriteAheadPlan plan)> execute;
    std::function<void(std::vector<WriteAheadPlan::PendingReply> replies, CommitFailure why)> reject;
    // Called for each message of a planned call that is withdrawn before it began.
    Outbox::Withdrawn withdrawn;
    // Called when plans still wait for records that were just written to become durable.
    std::function<void()> plans_pending;
    // Called when the store can be written again after a failure: decisions and events that were held back
    // may go on.
    std::function<void()> writable_again;
    // Called on each write retry while writes fail or plans wait: ends the requests whose deadline has
    // passed, without waiting for their records.
    std::function<void()> expire_overdue;
  };

  // Opens and reads the store; `folder` outlives this. Throws store::StoreError or std::system_error, and
  // then has changed nothing. Calls no hook before start().
  Committer(boost::asio::io_context& io, store::Disk& folder, store::Options options, Hooks hooks);
  // Waits for running syncs to finish.
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // Subscribes to the store's completed syncs.
  void start();

  store::Store& store() { return store_; }
  const store::Store& store() const { return store_; }

  // Writes all records that were added so far, then executes `plan`, and the plans before it, once their
  // records are durable.
  void commit(WriteAheadPlan plan = {});
  // Posts a commit() to the loop, one for all calls until it runs.
  void commit_soon();
  // Runs a commit() that commit_soon() has posted, at once.
  void commit_if_due();
  // Called when more records have become durable: executes the plans whose records are durable now.
  void durable_advanced();
  // Compacts the store, one step a turn of the loop, as long as it wants compaction.
  void compact_if_wanted();

  // Stores a value that outlasts a restart; an empty value removes the key. Returns false if the store has no
  // capacity. While the store can't be written, the last value of each key is held in memory until it can.
  bool keep(const std::string& key, const std::string& value);

  // False after a failed write until one succeeds; meanwhile nothing may be decided.
  bool is_writable() const { return writable_; }
  bool commit_is_due() const { return commit_due_; }
  bool has_waiting_plans() const { return !outbox_.empty(); }
  // True if no record waits to be written or to become durable.
  bool is_settled() const;

  // Withdraw planned calls that have not begun: to one endpoint, one attempt of a message, or all.
  void withdraw(const EndpointId& endpoint) { outbox_.withdraw(endpoint, hooks_.withdrawn); }
  void withdraw(MessageId id, int attempt) { outbox_.withdraw(id, attempt, hooks_.withdrawn); }
  void withdraw_all() { outbox_.withdraw_all(hooks_.withdrawn); }
  // Rejects all waiting replies with CommitFailure::durability_unknown.
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
  std::unique_ptr<store::SyncThread> sync_thread_;  // null unless records must survive a crash of the machine
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

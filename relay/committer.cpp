#include "committer.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "fail_points.hpp"

namespace heronvane {
namespace {

constexpr auto kWriteRetryInterval = std::chrono::milliseconds(50);
// Keeps a full disk from causing a busy loop of failing compaction steps.
constexpr auto kCompactionRetryInterval = std::chrono::milliseconds(250);

std::unique_ptr<store::SyncThread> make_sync_thread(boost::asio::io_context& io, store::Disk& folder,
                                                    store::Durability durability) {
  if (durability != store::Durability::machine) return nullptr;
  return std::make_unique<store::SyncThread>(
      folder, [&io](std::function<void()> done) { boost::asio::post(io, std::move(done)); });
}

}  // namespace

Committer::Committer(boost::asio::io_context& io, store::Disk& folder, store::Options options, Hooks hooks)
    : io_(io),
      hooks_(std::move(hooks)),
      sync_thread_(make_sync_thread(io, folder, options.durability)),
      store_(folder, std::move(options), sync_thread_.get()),
      retry_timer_(io),
      compaction_timer_(io) {}

// Joins the sync thread first: a running sync uses the store's files.
Committer::~Committer() { sync_thread_.reset(); }

void Committer::start() {
  store_.on_sync([this] { durable_advanced(); });
}

void Committer::commit(WriteAheadPlan plan) {
  commit_due_ = false;
  outbox_.put(std::move(plan));
  HERONVANE_POINT("commit.before");
  if (!store_.commit()) return commit_failed();
  HERONVANE_POINT("commit.after");
  outbox_.written(store_.written());
  if (!std::exchange(writable_, true)) resume_writing();
  if (!outbox_.empty()) hooks_.plans_pending();
  execute_durable_plans();
  if (store_.sync_stalled()) reject_waiting_replies();
  if (!store_.unavailable_reason().empty() || !outbox_.empty()) retry_later();
}

void Committer::commit_soon() {
  if (std::exchange(commit_due_, true)) return;
  boost::asio::post(io_, [this] { commit_if_due(); });
}

void Committer::commit_if_due() {
  if (std::exchange(commit_due_, false)) commit();
}

// No waiting plan is executed: once the store can be written again, the decision module decides anew. Replies
// whose records are not written are rejected at once, since clients wait for a limited time and a request
// without a record was not accepted.
void Committer::commit_failed() {
  writable_ = false;
  HERONVANE_POINT("not-written");
  hooks_.reject(outbox_.take_unwritten_replies(), CommitFailure::not_written);
  if (store_.sync_stalled()) reject_waiting_replies();
  withdraw_all();
  retry_later();
}

void Committer::resume_writing() {
  for (const auto& [key, value] : std::exchange(deferred_facts_, {})) store_.set_fact(key, value);
  hooks_.writable_again();
}

void Committer::durable_advanced() {
  execute_durable_plans();
  if (!store_.unavailable_reason().empty()) {
    reject_waiting_replies();
    retry_later();
  }
  compact_if_wanted();
}

void Committer::execute_durable_plans() {
  while (auto plan = outbox_.next(store_.durable())) hooks_.execute(std::move(*plan));
}

void Committer::reject_waiting_replies() {
  hooks_.reject(outbox_.take_replies(), CommitFailure::durability_unknown);
}

void Committer::retry_later() {
  retry_timer_.set(kWriteRetryInterval, [this] { retry(); });
}

void Committer::retry() {
  commit();
  if (!writable_ || !outbox_.empty()) hooks_.expire_overdue();
  compact_if_wanted();
}

bool Committer::keep(const std::string& key, const std::string& value) {
  if (writable_) return store_.set_fact(key, value);
  if (value.empty() && !store_.facts().contains(key)) {
    deferred_facts_.erase(key);
  } else {
    deferred_facts_[key] = value;
  }
  return true;
}

bool Committer::is_settled() const {
  return outbox_.empty() && !commit_due_ && writable_ && store_.durable() == store_.written();
}

void Committer::compact_if_wanted() {
  if (store_.wants_compaction()) schedule_compaction();
}

void Committer::schedule_compaction() {
  if (std::exchange(compaction_scheduled_, true)) return;
  boost::asio::post(io_, [this] { compaction_step(); });
}

void Committer::compaction_step() {
  const auto step = store_.compact();
  compaction_scheduled_ = step == store::Store::Step::blocked;
  if (step == store::Store::Step::more) return schedule_compaction();
  if (!compaction_scheduled_) return;
  compaction_timer_.set(kCompactionRetryInterval, [this] {
    compaction_scheduled_ = false;
    compact_if_wanted();
  });
}

}  // namespace heronvane

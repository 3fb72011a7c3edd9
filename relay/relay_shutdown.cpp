// Graceful shutdown, drain, and the hooks for a suspension of the process.
#include <chrono>
#include <string>
#include <utility>

#include "log.hpp"
#include "relay_server.hpp"

namespace heronvane {
namespace {

static_assert(std::chrono::microseconds(Lifecycle::kShutdownTime - Lifecycle::kAcceptTime) >
              Intake::kMaxShutdownTime);
constexpr auto kShutdownCheckInterval = std::chrono::milliseconds(20);

}  // namespace

// ---- Suspension and drain. ----
SuspendMonitor::Hooks RelayServer::suspend_hooks() {
  SuspendMonitor::Hooks hooks;
  hooks.withdraw_attempts = [this] {
    executor_.withdraw_all();
    committer_.commit();
  };
  hooks.refresh_list = [this](std::function<void()> done) { platform_.refresh(std::move(done)); };
  hooks.resumed = [this] { cycle_.schedule(); };
  return hooks;
}

DrainController::Hooks RelayServer::drain_hooks() {
  DrainController::Hooks hooks;
  hooks.store_is_writable = [this] { return committer_.is_writable(); };
  hooks.keep = [this](const std::string& key, const std::string& value) {
    return committer_.keep(key, value);
  };
  hooks.when_durable = [this](std::function<void(bool durable)> done) {
    constexpr ClientReply kDurable{202, 0};
    WriteAheadPlan plan;
    plan.replies.push_back(
        {0, [done = std::move(done)](const ClientReply& reply) { done(reply.status == kDurable.status); },
         kDurable});
    committer_.commit(std::move(plan));
  };
  hooks.has_open_work = [this] { return has_open_work(); };
  hooks.is_answering = [this] { return intake_->busy() || admin_->busy(); };
  hooks.drained = start_.drained;
  return hooks;
}

// Whether a drain has to wait: messages are held or queued, calls are in flight, notifications are owed, or
// records are not durable.
bool RelayServer::has_open_work() const {
  return !store_.held().empty() || requests_.queued() > 0 || executor_.calls_in_flight() > 0 ||
         platform_.notices().has_pending() || !committer_.is_settled();
}

// ---- Graceful shutdown. ----
void RelayServer::stop(std::function<void()> done) {
  if (!lifecycle_.begin_stop(steady_now())) return;
  log("stopping: " + std::to_string(store_.held().size()) + " messages held");
  stopped_ = std::move(done);
  intake_->drain();
  check_shutdown();
}

Lifecycle::OpenWork RelayServer::open_work() const {
  return {.calls_in_flight = executor_.calls_in_flight(),
          .requests_held = store_.held().size(),
          .client_connections = intake_->clients(),
          .requests_queued = requests_.queued() > 0,
          .notifications_owed = platform_.notices().has_pending(),
          .writes_pending = !committer_.is_writable() || committer_.has_waiting_plans()};
}

void RelayServer::check_shutdown() {
  const Microseconds now = steady_now();
  if (lifecycle_.advance(now)) {
    // Calls that still wait for their records or for a connection would begin too late for their answers to
    // arrive. They are withdrawn, and their records say that they were not sent.
    executor_.withdraw_all();
    committer_.commit();
  }
  committer_.commit_if_due();
  if (lifecycle_.idle_time_is_over(now)) intake_->close_idle();
  if (lifecycle_.accept_time_is_over(now)) intake_->shut_down();
  if (lifecycle_.is_done(now, open_work())) {
    // Records the outcomes of all calls whose answers have arrived.
    executor_.read_pending_answers();
    committer_.commit();
    log("stopped: " + std::to_string(store_.held().size()) + " messages left in the store, " +
        std::to_string(executor_.calls_in_flight()) + " calls in flight");
    return stopped_();
  }
  shutdown_timer_.set(kShutdownCheckInterval, [this] { check_shutdown(); });
}

}  // namespace heronvane

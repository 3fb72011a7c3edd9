// The lifecycle of a relay: what it finds in its folder at a start, what it learned before, how it ends.
#include <algorithm>
#include <limits>

#include "fail_points.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;

namespace {

constexpr Microseconds kLongAgo = std::numeric_limits<Microseconds>::max() / 4;
static_assert(std::chrono::microseconds(Lifecycle::kShutdownTime - Lifecycle::kAcceptTime) >
              Intake::kFinishMost);
constexpr auto kShutdownCheckInterval = std::chrono::milliseconds(20);

}  // namespace

// ---- What an earlier life took on. ----
// Guards against a folder whose log went to another relay, started without asking those who know.
void Relay::without_copies() {
  constexpr const char* kPrefix = "copies.";
  std::vector<std::string> keys;
  for (auto it = store_.facts().lower_bound(kPrefix); it != store_.facts().end(); ++it)
    if (it->first.compare(0, std::char_traits<char>::length(kPrefix), kPrefix) == 0)
      keys.push_back(it->first);
  if (keys.empty()) return;
  if (!store_.held().empty() && !start_.force_own)
    throw std::runtime_error(
        "settings: without [copies], but others hold copies of what this folder holds and may have taken it "
        "over: start it with them, and drain it first; --force-own goes on all the same, and what was taken "
        "over may run twice");
  for (const auto& key : keys) store_.put(store::record::Fact{key, {}});
}

// What was taken on in an earlier life is still owed its end.
void Relay::recover() {
  if (HERONVANE_DEFECT("forget-folder")) return;
  std::vector<MessageId> unknown;
  for (const auto& [id, held] : store_.held())
    if (!(copies_ && copies_->parked(id)) && !adopt(id, held)) unknown.push_back(id);
  WriteAheadPlan plan;
  for (const MessageId id : unknown) finish(plan, id, {});  // a class that the settings no longer have
  committer_.commit(std::move(plan));
  if (!store_.held().empty()) log("recovered " + std::to_string(store_.held().size()) + " messages");
  cycle_.run();
}

// One that is held and that the module does not know; false: of a class that the settings do not have.
bool Relay::adopt(MessageId id, const Held& held) {
  const Microseconds now = store_.clock().now();
  requests_.add(id, held.message.id);
  if (admin_) gauge_.taken(id, held.message.message_class, held_since(held));
  if (held.ending) {
    platform_.notice(id, held.message.id, *held.ending);
    return true;
  }
  if (config_.names.classes.count(held.message.message_class) == 0) return false;
  event::RequestRecovered r;
  r.message = arrival(id, held.message);
  r.attempts = static_cast<int>(held.attempts.size());
  r.tried = held.doubt;
  for (const auto& a : held.attempts) {
    r.tried = r.tried || a.may_have_reached();
    if (!a.may_have_run() || r.possibly_executed_zone) continue;
    r.possibly_executed_zone = a.zone;
    r.possibly_executed_age = std::max<Microseconds>(now - a.sent, 0);
  }
  // Called at a time and place that no record tells.
  if (held.doubt) r.possibly_executed_zone = -1, r.possibly_executed_age = kLongAgo;
  if (HERONVANE_DEFECT("forget-attempt")) r.possibly_executed_zone.reset();
  cycle_.enqueue(std::move(r));
  return true;
}

// ---- Suspension and drain. ----
SuspendMonitor::Hooks Relay::suspend_hooks() {
  SuspendMonitor::Hooks hooks;
  hooks.withdraw_attempts = [this] {
    executor_.withdraw_all();
    committer_.commit();
  };
  hooks.refresh_list = [this](std::function<void()> done) { platform_.refresh(std::move(done)); };
  hooks.resumed = [this] { cycle_.schedule(); };
  return hooks;
}

DrainController::Hooks Relay::drain_hooks() {
  DrainController::Hooks hooks;
  hooks.store_is_writable = [this] { return committer_.is_writable(); };
  hooks.keep = [this](const std::string& key, const std::string& value) {
    return committer_.keep(key, value);
  };
  hooks.when_durable = [this](std::function<void(bool durable)> done) {
    WriteAheadPlan plan;
    plan.replies.push_back(
        {0, [done = std::move(done)](const ClientReply& reply) { done(reply.status == 202); }, {202, 0}});
    committer_.commit(std::move(plan));
  };
  hooks.has_open_work = [this] { return has_open_work(); };
  hooks.is_answering = [this] { return intake_->busy() || (admin_ && admin_->busy()); };
  hooks.drained = start_.drained;
  return hooks;
}

bool Relay::has_open_work() const {
  return !store_.held().empty() || requests_.queued() > 0 || executor_.calls_out() > 0 ||
         platform_.notices_owed() || !committer_.is_settled();
}

// ---- The end. ----
void Relay::stop(std::function<void()> done) {
  if (!lifecycle_.begin_stop(steady_now())) return;
  log("stopping: " + std::to_string(store_.held().size()) + " messages held");
  done_ = std::move(done);
  intake_->drain();
  check_shutdown();
}

void Relay::check_shutdown() {
  const Microseconds now = steady_now();
  if (lifecycle_.advance(now)) {
    // What waits for its records, or for its connection, would go too late for its answer to come home. None
    // of it has run, and its record says so.
    executor_.withdraw_all();
    committer_.commit();
  }
  committer_.commit_if_due();
  if (lifecycle_.accept_time_is_over(now)) intake_->finish();
  const Lifecycle::OpenWork open{
      .calls_out = executor_.calls_out(),
      .requests_held = store_.held().size(),
      .client_connections = intake_->clients(),
      .requests_queued = requests_.queued() > 0,
      .notifications_owed = platform_.notices_owed(),
      .writes_pending = !committer_.is_writable() || committer_.has_waiting_plans()};
  if (lifecycle_.is_done(now, open)) {
    // No call that was answered is left without its record.
    executor_.take_answers();
    committer_.commit();
    log("stopped: " + std::to_string(store_.held().size()) + " messages left in the store, " +
        std::to_string(executor_.calls_out()) + " calls out");
    return done_();
  }
  shutdown_timer_.set(kShutdownCheckInterval, [this] { check_shutdown(); });
}

// ---- For the gauge. ----
// Of a message of an earlier life, whose record does not tell: since its class's deadline began to run, or
// its first attempt, if that was before.
Microseconds Relay::held_since(const Held& held) const {
  Microseconds since = store_.clock().now();
  const auto cls = config_.names.classes.find(held.message.message_class);
  if (cls != config_.names.classes.end())
    since = std::min(since, held.message.deadline -
                                config_.settings.classes[static_cast<std::size_t>(cls->second)].deadline);
  if (!held.attempts.empty()) since = std::min(since, held.attempts.front().sent);
  return since;
}

}  // namespace heronvane

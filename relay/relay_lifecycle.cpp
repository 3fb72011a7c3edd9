// The lifecycle of a relay: what it finds in its folder at a start, what it learned before, how it ends.
#include <limits>

#include "fail_points.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;
using heronvane::dispatch::Listing;

namespace {

constexpr Microseconds kLongAgo = std::numeric_limits<Microseconds>::max() / 4;
// After SIGTERM, whose SIGKILL comes no sooner than 3.7 s later: how long new connections may still come;
// until when calls are begun; when the process ends, with calls out or not.
constexpr Microseconds kDrainAccept = 600'000, kDrainSend = 1'500'000, kDrainMost = 3'000'000;
static_assert(std::chrono::microseconds(kDrainMost - kDrainAccept) > Intake::kFinishMost);
constexpr auto kDrainLook = std::chrono::milliseconds(20);

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
  Plan plan;
  for (const MessageId id : unknown) finish(plan, id, {});  // a class that the settings no longer have
  settle(std::move(plan));
  if (!store_.held().empty()) log("recovered " + std::to_string(store_.held().size()) + " messages");
  round();
}

// One that is held and that the module does not know; false: of a class that the settings do not have.
bool Relay::adopt(MessageId id, const Held& held) {
  const Microseconds now = store_.clock().now();
  numbers_[held.message.id] = id;
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
    r.tried = r.tried || a.possibly_received();
    if (!a.possibly_executed() || r.possibly_executed_zone) continue;
    r.possibly_executed_zone = a.zone;
    r.possibly_executed_age = std::max<Microseconds>(now - a.sent, 0);
  }
  // Called at a time and place that no record tells.
  if (held.doubt) r.possibly_executed_zone = -1, r.possibly_executed_age = kLongAgo;
  if (HERONVANE_DEFECT("forget-attempt")) r.possibly_executed_zone.reset();
  events_.push_back(std::move(r));
  return true;
}

// ---- What it learned. ----
// What earlier lives learned of endpoints that are listed now is the module's again.
void Relay::recall(const std::vector<heronvane::dispatch::Endpoint>& endpoints) {
  if (restored_states_.size() == 0 || unwritten_) return;
  const Microseconds now = store_.clock().now(), gap = store_.clock().assumed_gap();
  for (const auto& e : endpoints)
    if (e.listing != Listing::gone)
      if (auto target = restored_states_.take(e.id, now, gap)) happened(std::move(*target));
}

// What the module learned goes into the records of this round.
void Relay::remember_targets() {
  constexpr std::size_t kMostTargets = 64;  // the rest come with the next round
  const auto& own = config_.own.store;
  if (!own.keep_health && !own.keep_waits) return;
  const Microseconds now = store_.clock().now();
  // The rest is for endpoints that drain or are gone: these bind.
  constexpr unsigned kTargetPart = 50;
  for (const auto& memory : dispatcher_.take_changed_state(last_round_, kMostTargets)) {
    const std::string key = learned_state_key(memory.endpoint);
    const std::string value = memory.blank() ? std::string() : encode(LearnedStateRecord{memory, now});
    // Better nothing than what is not so any more.
    if (!store_.keep(key, value, kTargetPart)) store_.keep(key, {});
  }
}

// ---- The end. ----
void Relay::stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  log("stopping: " + std::to_string(store_.held().size()) + " messages held");
  done_ = std::move(done);
  stop_at_ = steady_now();
  intake_->drain();
  check_drained();
}

void Relay::check_drained() {
  const Microseconds since = steady_now() - stop_at_;
  if (since >= kDrainSend && !std::exchange(frozen_, true)) {
    // What waits for its records, or for its connection, would go too late for its answer to come home. None
    // of it has run, and its record says so.
    calls_.hold_back_all();
    outbox_.withdraw_all([this](const EndpointId& to, const Outgoing& m) { take_back(to, m); });
    settle();
  }
  if (settle_due_) settle();
  const bool home = calls_.out() == 0 && (frozen_ || store_.held().empty()) && !platform_.notices_owed();
  if (since >= kDrainAccept) intake_->finish();
  const bool quiet = since >= kDrainAccept && intake_->clients() == 0 && arrived_.empty();
  if (since >= kDrainMost || (home && quiet && !unwritten_ && outbox_.empty())) {
    // No call that was answered is left without its record.
    calls_.take_answers();
    settle();
    log("stopped: " + std::to_string(store_.held().size()) + " messages left in the store, " +
        std::to_string(calls_.out()) + " calls out");
    return done_();
  }
  drain_timer_.set(kDrainLook, [this] { check_drained(); });
}

}  // namespace heronvane

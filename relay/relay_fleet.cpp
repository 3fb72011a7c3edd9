// What the operator asks of a relay while it runs, and what it must not do after a stop: drain, fences,
// waking.
#include <algorithm>

#include "log.hpp"
#include "relay.hpp"
#include "startup/start_error.hpp"

namespace heronvane {

using boost::system::error_code;

namespace {

constexpr auto kLook = std::chrono::milliseconds(20);  // until it is looked again whether all is done
constexpr auto kWriteAgain = std::chrono::milliseconds(250);
constexpr Microseconds kAnswersOut = 1'000'000;  // for answers under way to go before the end

}  // namespace

// ---- The drain. ----
// The drain that an earlier life left, and whether it is taken back now.
void Relay::start_drained() {
  if (start_.undrain) {
    if (*start_.undrain < drain_.fence)
      throw std::runtime_error("--undrain: fence " + std::to_string(*start_.undrain) + " is lower than " +
                               std::to_string(drain_.fence) +
                               ", the highest seen: a later operation has this relay");
    const DrainState to{*start_.undrain, std::nullopt};
    const bool kept = keep_drain(to, [this](const auto& key, const auto& v) { return store_.keep(key, v); });
    if (!kept || !store_.commit())
      throw startup::StartError(startup::Step::recovery, startup::Persistence::transient,
                                "--undrain: can't be kept: " + store_.trouble());
    drain_ = to;
  }
  if (!drain_.drain) return remove_drained(*folder_);
  log("draining since an earlier life: fence " + std::to_string(*drain_.drain));
}

// Takes nothing on while it waits for the records of that; where they can't be written all is as it was.
void Relay::change_drain(const DrainState& to, std::function<void(bool kept)> done) {
  if (unwritten_ || changing_drain_) return done(false);
  const DrainState from = std::exchange(drain_, to);
  const auto keep_state = [this](const DrainState& s) {
    return keep_drain(s, [this](const auto& key, const auto& v) { return keep(key, v); });
  };
  const auto back = [this, from, keep_state] {
    drain_ = from;
    keep_state(from);
  };
  if (!keep_state(to)) {
    back();
    return done(false);
  }
  changing_drain_ = true;
  Plan plan;
  plan.answers.push_back({0,
                          [this, from, to, back, done](const Answer& a) {
                            changing_drain_ = false;
                            const bool kept = a.status == 202;
                            if (!kept) back();
                            if (kept && from.drain.has_value() != to.drain.has_value())
                              log(to.drain ? "draining: fence " + std::to_string(*to.drain)
                                           : "drain taken back: fence " + std::to_string(to.fence));
                            done(kept);
                            quiet_since_ = 0;
                            look_drained();
                          },
                          {202, 0}});
  settle(std::move(plan));
}

bool Relay::owes_nothing() const {
  return store_.held().empty() && arrived_.empty() && outbox_.empty() && calls_.out() == 0 && !settle_due_ &&
         !platform_.notices_owed() && !unwritten_ && !changing_drain_ && store_.durable() == store_.written();
}

// The end of a drain: once nothing is held or owed, the file that says so, then the process's end.
void Relay::look_drained() {
  if (!drain_.drain) return;
  auto again = kLook;
  const Microseconds now = steady_now();
  if (!owes_nothing()) {
    quiet_since_ = 0;
  } else {
    if (quiet_since_ == 0) quiet_since_ = now;
    const bool busy = intake_->busy() || (admin_ && admin_->busy());
    if (!busy || now - quiet_since_ >= kAnswersOut) {
      const auto bad = write_drained(*folder_, *drain_.drain, start_.run);
      if (!bad) {
        log("drained: nothing is held; fence " + std::to_string(*drain_.drain));
        return start_.drained();
      }
      if (!std::exchange(drained_failed_, true)) log("drained: the file can't be written: " + bad.message());
      again = kWriteAgain;
    }
  }
  drained_timer_.set(again, [this] { look_drained(); });
}

// ---- Waking from a stop. ----
void Relay::beat() {
  if (!config_.own.relay.wake) return;
  turned();
  beat_timer_.set(std::chrono::microseconds(WakeWatch::kBeat), [this] { beat(); });
}

// Asked before the module is, and before a call begins: whichever comes first after a stop finds it out.
// False while what is known may be old.
bool Relay::turned() {
  if (!config_.own.relay.wake) return true;
  if (const Microseconds gap = wake_.turn(boot_now()); gap > 0) woke(gap);
  return !waking_;
}

void Relay::woke(Microseconds gap) {
  log("woken after a stop of " + std::to_string(gap / 1000) + " ms: asking for the list");
  waking_ = true;
  calls_.hold_back_all();
  outbox_.withdraw_all([this](const EndpointId& to, const Outgoing& m) { take_back(to, m); });
  settle();
  platform_.refresh([this] { awake(); });
  wake_timer_.set(std::chrono::microseconds(WakeWatch::kListTime), [this] { awake(); });
}

void Relay::awake() {
  if (!std::exchange(waking_, false)) return;
  wake_timer_.cancel();
  schedule();
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

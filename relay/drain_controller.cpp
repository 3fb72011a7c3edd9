#include "drain_controller.hpp"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "clock.hpp"
#include "log.hpp"
#include "startup/start_error.hpp"

namespace heronvane {
namespace {

constexpr auto kCheckInterval = std::chrono::milliseconds(20);
constexpr auto kFileRetryInterval = std::chrono::milliseconds(250);
constexpr Microseconds kReplyTime = 1'000'000;  // for the last replies to reach their clients

}  // namespace

DrainController::DrainController(boost::asio::io_context& io, store::Disk& folder, std::string run,
                                 DrainState restored, Hooks hooks)
    : folder_(folder), run_(std::move(run)), hooks_(std::move(hooks)), state_(restored), timer_(io) {}

void DrainController::end_at_start(Fence fence, store::Store& store) {
  if (fence < state_.fence) {
    throw std::runtime_error("--undrain: fence " + std::to_string(fence) + " is lower than " +
                             std::to_string(state_.fence) +
                             ", the highest seen: a later operation controls this relay");
  }
  const DrainState ended{fence, std::nullopt};
  const bool kept =
      keep_drain(ended, [&store](const auto& key, const auto& value) { return store.set_fact(key, value); });
  if (!kept || !store.commit()) {
    throw startup::StartError(
        startup::Step::recovery, startup::Persistence::transient,
        "--undrain: the end of the drain can't be stored: " + store.unavailable_reason());
  }
  state_ = ended;
}

void DrainController::resume() {
  if (!draining()) return remove_drained(folder_);
  log("resuming the drain of an earlier run: fence " + std::to_string(*state_.drain));
}

bool DrainController::keep(const DrainState& state) { return keep_drain(state, hooks_.keep); }

void DrainController::change(const DrainState& to, std::function<void(bool durable)> done) {
  if (!hooks_.store_is_writable() || change_pending_) return done(false);
  const DrainState from = std::exchange(state_, to);
  if (!keep(to)) {
    state_ = from;
    keep(from);
    return done(false);
  }
  change_pending_ = true;
  hooks_.when_durable([this, from, to, done = std::move(done)](bool durable) {
    finish_change(from, to, durable);
    done(durable);
    idle_since_.reset();
    check_complete();
  });
}

void DrainController::finish_change(const DrainState& from, const DrainState& to, bool durable) {
  change_pending_ = false;
  if (!durable) {
    state_ = from;
    keep(from);
    return;
  }
  if (from.drain.has_value() == to.drain.has_value()) return;
  log(to.drain ? "draining: fence " + std::to_string(*to.drain)
               : "drain cancelled: fence " + std::to_string(to.fence));
}

void DrainController::check_complete() {
  if (!draining()) return;
  auto interval = kCheckInterval;
  if (change_pending_ || hooks_.has_open_work()) {
    idle_since_.reset();
  } else {
    const Microseconds now = steady_now();
    if (!idle_since_) idle_since_ = now;
    if (!hooks_.is_answering() || now - *idle_since_ >= kReplyTime) {
      if (complete()) return;
      interval = kFileRetryInterval;
    }
  }
  timer_.set(interval, [this] { check_complete(); });
}

// Writes the file `drained`; false if it can't be written now.
bool DrainController::complete() {
  const auto error = write_drained(folder_, *state_.drain, run_);
  if (!error) {
    log("drained: nothing is held; fence " + std::to_string(*state_.drain));
    hooks_.drained();
    return true;
  }
  if (!std::exchange(file_failure_logged_, true))
    log("drained: the file can't be written: " + error.message());
  return false;
}

}  // namespace heronvane

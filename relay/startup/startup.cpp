#include "startup/startup.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <utility>

#include "log.hpp"
#include "startup/occupant.hpp"
#include "version.hpp"

namespace heronvane::startup {
namespace {

// Less than this holds few messages, and much less than it none: that is told, for it looks like a relay that
// is well.
constexpr std::uint64_t kLittleDisk = 1'000'000;
// Between two tries. Short, since nobody serves meanwhile; a try that fails at a lock or an address costs
// some microseconds.
constexpr auto kRetry = std::chrono::milliseconds(50);
// After a failed recovery, which may have read the whole folder.
constexpr auto kRecoveryRetry = std::chrono::milliseconds(250);
constexpr Microseconds kTellEach = 5'000'000;  // one line on the waiting
constexpr double kSecond = 1e6;

std::string seconds_text(Microseconds time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(time) / kSecond);
  return text;
}

}  // namespace

Startup::Startup(boost::asio::io_context& io, Places places, RelayServer::Start start)
    : io_(io), places_(std::move(places)), start_(std::move(start)), again_(io), reload_again_(io) {}

void Startup::begin() { attempt(); }

Config Startup::load() const {
  Config config = load_config(places_);
  if (config.state_folder.empty())
    throw StartError(Step::configuration, Persistence::lasting,
                     "no state folder: name it by --state FOLDER or LB_STATE");
  if (config.disk_bytes < kLittleDisk)
    log("configuration: limits.disk_mb is below 1: messages may be refused for want of room");
  return config;
}

Microseconds Startup::timeout() const {
  return config_ ? config_->own.relay.start_timeout : OperatorSettings().relay.start_timeout;
}

void Startup::attempt() {
  Step step = Step::configuration;
  try {
    if (!config_) configured(load());
    step = Step::recovery;
    RelayServer::Start start = start_;
    start.waited = waiting_since_ > 0 ? steady_now() - waiting_since_ : 0;
    start.waited_for = waited_for_;
    relay_ = std::make_unique<RelayServer>(io_, *config_, std::move(start));
  } catch (const std::exception& error) {
    return failed(as_start_error(error, step));
  }
  succeeded();
}

void Startup::configured(Config config) {
  log("starting as " + config.name + ": process " + std::to_string(::getpid()) + ", run " + start_.run +
      ", heronvane " + kVersion);
  config_ = std::move(config);
}

void Startup::succeeded() {
  if (waiting_since_ == 0) return;
  log("started after waiting " + seconds_text(steady_now() - waiting_since_) + " for: " + waited_for_);
}

void Startup::failed(const StartError& error) {
  if (!error.passing()) return give_up(error.what());
  const Microseconds now = steady_now();
  if (waiting_since_ == 0) waiting_since_ = now;
  if (now - waiting_since_ >= timeout())
    return give_up(cause_of(error) + "; waited " + seconds_text(now - waiting_since_) +
                   " (relay.start_timeout)");
  waited_for_ = error.what();
  if (told_at_ == 0 || now - told_at_ >= kTellEach) tell_waiting(error);
  again_.set(error.step() == Step::recovery ? kRecoveryRetry : kRetry, [this] { attempt(); });
}

void Startup::tell_waiting(const StartError& error) {
  told_at_ = steady_now();
  log("waiting: " + cause_of(error) + "; step " + std::string(name_of(error.step())) + ", since " +
      seconds_text(told_at_ - waiting_since_));
}

// The error, with the process that has what the start waits for.
std::string Startup::cause_of(const StartError& error) const {
  std::string text = error.what();
  if (!config_) return text;
  const auto process = error.step() == Step::folder     ? lock_holder(config_->state_folder)
                       : error.step() == Step::listener ? listener_at(config_->listen)
                                                        : std::nullopt;
  if (process) text += "; " + describe_process(process) + " has it";
  return text;
}

void Startup::give_up(const std::string& why) {
  log("heronvane: " + why);
  status_ = 1;
  stopped_ = true;
  io_.stop();
}

void Startup::reload() {
  log("SIGHUP: reading the configuration again");
  reload_again_.cancel();
  try_reload(true);
}

void Startup::try_reload(bool first) {
  if (stopped_) return;
  try {
    Config config = load();
    if (relay_) return relay_->reconfigure(config);
    configured(std::move(config));
  } catch (const std::exception& error) {
    const StartError why = as_start_error(error, Step::configuration);
    if (first) log(std::string("configuration: the old one stays: ") + why.what());
    if (why.passing()) reload_again_.set(kRetry, [this] { try_reload(false); });
  }
}

void Startup::stop(const std::string& signal) {
  if (std::exchange(stopped_, true)) return;
  again_.cancel();
  reload_again_.cancel();
  if (relay_) {
    log(signal + ": process " + std::to_string(::getpid()) + " ends");
    return relay_->stop([this] { io_.stop(); });
  }
  log(signal + ": the start that was waiting ends");
  io_.stop();
}

}  // namespace heronvane::startup

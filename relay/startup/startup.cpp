#include "startup/startup.hpp"

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <exception>
#include <utility>

#include "log.hpp"
#include "startup/resource_owner.hpp"
#include "version.hpp"

namespace heronvane::startup {
namespace {

// Below this disk limit, in bytes, a relay can hold few requests or none although it reports itself ready.
constexpr std::uint64_t kLowDiskLimit = 1'000'000;
// Short, since no relay serves clients meanwhile. An attempt that fails at a lock or an address costs some
// microseconds.
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
// Longer after a failed recovery, which may have read the whole folder.
constexpr auto kRecoveryRetryInterval = std::chrono::milliseconds(250);
constexpr Microseconds kLogInterval = 5'000'000;
constexpr double kSecond = 1e6;            // microseconds
constexpr std::size_t kSecondsBytes = 32;  // maximum size of a duration as text
constexpr int kFailureStatus = 1;

std::string seconds_text(Microseconds duration) {
  std::array<char, kSecondsBytes> text{};
  std::snprintf(text.data(), text.size(), "%.1f s", static_cast<double>(duration) / kSecond);
  return text.data();
}

}  // namespace

Startup::Startup(boost::asio::io_context& io, ConfigPaths paths, RelayServer::Start start)
    : io_(io), paths_(std::move(paths)), start_(std::move(start)), retry_timer_(io), reload_timer_(io) {}

void Startup::begin() { attempt(); }

Config Startup::load_checked_config() const {
  Config config = load_config(paths_);
  if (config.state_folder.empty()) {
    throw StartError(Step::configuration, Persistence::permanent,
                     "no state folder: name it by --state FOLDER or LB_STATE");
  }
  if (config.disk_bytes < kLowDiskLimit) {
    log("configuration: limits.disk_mb is below 1: messages may be refused for lack of disk space");
  }
  return config;
}

Microseconds Startup::timeout() const {
  return config_ ? config_->own.relay.start_timeout : OperatorSettings().relay.start_timeout;
}

void Startup::attempt() {
  Step step = Step::configuration;
  try {
    if (!config_) set_config(load_checked_config());
    step = Step::recovery;
    RelayServer::Start start = start_;
    if (waiting_) {
      start.waited = steady_now() - waiting_->since;
      start.waited_for = waiting_->reason;
    }
    relay_ = std::make_unique<RelayServer>(io_, *config_, std::move(start));
  } catch (const std::exception& error) {
    return handle_failure(to_start_error(error, step));
  }
  log_success();
}

void Startup::set_config(Config config) {
  log("starting as " + config.name + ": process " + std::to_string(::getpid()) + ", run " + start_.run +
      ", heronvane " + kVersion);
  config_ = std::move(config);
}

void Startup::log_success() const {
  if (!waiting_) return;
  log("started after waiting " + seconds_text(steady_now() - waiting_->since) + " for: " + waiting_->reason);
}

void Startup::handle_failure(const StartError& error) {
  if (!error.is_transient()) return fail_permanently(error.what());
  const Microseconds now = steady_now();
  if (!waiting_) waiting_ = Waiting{now, {}, std::nullopt};
  const Microseconds waited = now - waiting_->since;
  if (waited >= timeout()) {
    return fail_permanently(describe(error) + "; waited " + seconds_text(waited) + " (relay.start_timeout)");
  }
  waiting_->reason = error.what();
  if (!waiting_->logged_at || now - *waiting_->logged_at >= kLogInterval) log_waiting(error);
  retry_timer_.set(error.step() == Step::recovery ? kRecoveryRetryInterval : kRetryInterval,
                   [this] { attempt(); });
}

void Startup::log_waiting(const StartError& error) {
  const Microseconds now = steady_now();
  waiting_->logged_at = now;
  log("waiting: " + describe(error) + "; step " + std::string(name_of(error.step())) + ", since " +
      seconds_text(now - waiting_->since));
}

std::string Startup::describe(const StartError& error) const {
  std::string text = error.what();
  if (!config_) return text;
  std::optional<pid_t> process;
  if (error.step() == Step::state_folder) process = locking_process(config_->state_folder);
  if (error.step() == Step::listener) process = listening_process(config_->listen);
  if (process) text += "; " + describe_process(process) + " has it";
  return text;
}

void Startup::fail_permanently(const std::string& reason) {
  log("heronvane: " + reason);
  status_ = kFailureStatus;
  stopped_ = true;
  io_.stop();
}

void Startup::reload() {
  log("SIGHUP: reading the configuration again");
  reload_timer_.cancel();
  attempt_reload(true);
}

void Startup::attempt_reload(bool first) {
  if (stopped_) return;
  try {
    Config config = load_checked_config();
    if (relay_) return relay_->reconfigure(config);
    set_config(std::move(config));
  } catch (const std::exception& exception) {
    const StartError error = to_start_error(exception, Step::configuration);
    if (first) log(std::string("configuration: the old one stays: ") + error.what());
    if (error.is_transient()) reload_timer_.set(kRetryInterval, [this] { attempt_reload(false); });
  }
}

void Startup::stop(const std::string& signal) {
  if (std::exchange(stopped_, true)) return;
  retry_timer_.cancel();
  reload_timer_.cancel();
  if (relay_) {
    log(signal + ": process " + std::to_string(::getpid()) + " ends");
    return relay_->stop([this] { io_.stop(); });
  }
  log(signal + ": the start that was waiting ends");
  io_.stop();
}

}  // namespace heronvane::startup

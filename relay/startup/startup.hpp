// Starts a relay, from reading its configuration to opening its listener, and handles the process's signals.
//
// After a transient failure the start is retried; between two attempts no lock or address is held, no file is
// changed and no request is attempted. A permanent failure ends the process, and so does a transient one that
// lasts longer than [relay] start_timeout.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "clock.hpp"
#include "config.hpp"
#include "core/timer.hpp"
#include "relay_server.hpp"
#include "startup/start_error.hpp"

namespace heronvane::startup {

// Owns the relay. Use on the event loop's thread only.
class Startup {
 public:
  // `io` must outlive this. Does nothing before begin().
  Startup(boost::asio::io_context& io, ConfigPaths paths, RelayServer::Start start);

  // Makes the first attempt at once; retries run from the loop.
  void begin();

  // SIGHUP: reloads the configuration, for the running relay or for the next attempt. If it can't be read,
  // the old one stays in force, and the reload is retried if the failure is transient.
  void reload();

  // SIGTERM, SIGINT: stops the relay or the waiting start, then the loop. `signal` is the signal's name for
  // the log.
  void stop(const std::string& signal);

  // The process's exit status, once the loop has stopped.
  int status() const { return status_; }

 private:
  // A start that has failed at least once, all failures transient.
  struct Waiting {
    Microseconds since;                     // steady time of the first failure
    std::string reason;                     // the last failure
    std::optional<Microseconds> logged_at;  // steady time of the last log line about the wait
  };

  void attempt();
  void attempt_reload(bool first);
  void set_config(Config config);
  void log_success() const;
  void handle_failure(const StartError& error);
  void fail_permanently(const std::string& reason);
  void log_waiting(const StartError& error);
  // The error's text, with the process that holds the folder or the address, if it is known.
  std::string describe(const StartError& error) const;
  // Reads the configuration and checks that it names a state folder. Throws StartError if it does not.
  Config load_checked_config() const;
  Microseconds timeout() const;

  boost::asio::io_context& io_;
  const ConfigPaths paths_;
  const RelayServer::Start start_;
  std::optional<Config> config_;        // does not change once the relay exists
  std::unique_ptr<RelayServer> relay_;  // null until an attempt has succeeded
  std::optional<Waiting> waiting_;
  Timer retry_timer_;
  Timer reload_timer_;
  bool stopped_ = false;
  int status_ = 0;
};

}  // namespace heronvane::startup

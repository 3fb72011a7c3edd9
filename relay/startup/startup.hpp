// The start of a relay, from its configuration to its listener, and the reaction to the process's signals.
//
// A start is retried until it succeeds. A transient failure is waited out; between two attempts nothing is
// held, no file is changed and no request is attempted. A permanent failure ends the process, as does a
// transient one that lasts longer than [relay] start_timeout.
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

// Owns the relay. Used from the loop's thread only.
class Startup {
 public:
  // `io` must outlive it. Nothing happens before begin().
  Startup(boost::asio::io_context& io, ConfigPaths paths, RelayServer::Start start);

  // Makes the first attempt at once; later ones are made by the loop.
  void begin();

  // SIGHUP: reads the configuration again, for the running relay or for the next attempt. One that can't be
  // read leaves the old one in force, and is retried where that failure is transient.
  void reload();

  // SIGTERM, SIGINT: ends the relay or the waiting, then stops the loop. `signal` is its name in the log.
  void stop(const std::string& signal);

  // The process's exit status, once the loop has stopped.
  int status() const { return status_; }

 private:
  // A start that has failed at least once, all failures transient.
  struct Waiting {
    Microseconds since;                     // steady time of the first failure
    std::string reason;                     // the last failure
    std::optional<Microseconds> logged_at;  // steady time of the last line about it
  };

  void attempt();
  void attempt_reload(bool first);
  void set_config(Config config);
  void log_success() const;
  void handle_failure(const StartError& error);
  void fail_permanently(const std::string& reason);
  void log_waiting(const StartError& error);
  // The error's text, with the process that holds what the start waits for.
  std::string describe(const StartError& error) const;
  // Throws StartError where what was read can't run a relay.
  Config load_checked_config() const;
  Microseconds timeout() const;

  boost::asio::io_context& io_;
  const ConfigPaths paths_;
  const RelayServer::Start start_;
  std::optional<Config> config_;        // does not change once the relay is made
  std::unique_ptr<RelayServer> relay_;  // null until an attempt has succeeded
  std::optional<Waiting> waiting_;
  Timer retry_timer_;
  Timer reload_timer_;
  bool stopped_ = false;
  int status_ = 0;
};

}  // namespace heronvane::startup

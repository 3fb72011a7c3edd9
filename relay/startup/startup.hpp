// The start of a relay, from its configuration to its listener, and what the process's signals ask of it.
//
// A start is tried until it succeeds: a failure that passes is waited out, with nothing held between two
// tries, no file changed and no attempt made. A failure that lasts ends the process, as does one that passes
// too late ([relay] start_timeout).
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "clock.hpp"
#include "config.hpp"
#include "core/alarm.hpp"
#include "relay_server.hpp"
#include "startup/start_error.hpp"

namespace heronvane::startup {

class Startup {
 public:
  // `io` outlives it. Nothing happens before begin().
  Startup(boost::asio::io_context& io, Places places, RelayServer::Start start);

  // Makes the first try at once; later ones are made by the loop.
  void begin();
  // SIGHUP: the configuration is read again, for the relay that runs or for the next try. One that can't be
  // read leaves the old one, and is tried again where that failure passes.
  void reload();
  // SIGTERM, SIGINT: ends the relay, or the waiting, then stops the loop.
  void stop(const std::string& signal);

  // The process's exit status, once the loop has stopped.
  int status() const { return status_; }

 private:
  void attempt();
  void try_reload(bool first);
  void configured(Config config);
  void succeeded();
  void failed(const StartError& error);
  void give_up(const std::string& why);
  void tell_waiting(const StartError& error);
  std::string cause_of(const StartError& error) const;
  Config load() const;
  Microseconds timeout() const;

  boost::asio::io_context& io_;
  const Places places_;
  const RelayServer::Start start_;
  std::optional<Config> config_;  // the relay's, unchanged from when that is made
  std::unique_ptr<RelayServer> relay_;  // null while the start is waiting
  Alarm again_, reload_again_;
  Microseconds waiting_since_ = 0;  // 0: it has not failed yet
  Microseconds told_at_ = 0;        // of the last line about the waiting
  std::string waited_for_;
  bool stopped_ = false;
  int status_ = 0;
};

}  // namespace heronvane::startup

// Runs the platform that the fleet file configures: starts, changes and stops it as fleets are applied.
// Errors are retried and affect nothing else. Not thread-safe: all calls come from the thread that runs `io`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "api.hpp"
#include "database.hpp"
#include "finals.hpp"
#include "fleet_file.hpp"
#include "partner_file.hpp"
#include "platform_server.hpp"

namespace heronvane::fleet {

class PlatformHost {
 public:
  // `database` stores the index of the list and must outlive this object. Notices are stored in the file
  // `finals_file`, which is created when a fleet first configures a platform.
  PlatformHost(boost::asio::io_context& io, Database& database, std::string finals_file);

  // Starts, changes or stops the platform; nullopt stops it.
  void apply(const std::optional<PlatformSpec>& platform);
  std::optional<PlatformView> view() const;  // empty if the fleet configures none

 private:
  void start();
  void schedule_retry();

  boost::asio::io_context& io_;
  Database& database_;
  std::string finals_file_;
  std::optional<PlatformSpec> platform_;
  std::unique_ptr<Finals> finals_;
  std::string listen_;  // the listen address that the server was started with
  std::unique_ptr<PlatformServer> server_;
  std::unique_ptr<PartnerFile> partner_file_;
  std::string error_;  // why the platform does not run; logged once
  boost::asio::steady_timer retry_timer_;
};

}  // namespace heronvane::fleet

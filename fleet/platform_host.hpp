// The platform that the fleet names: made, changed and ended as fleets are applied. What hinders it is tried
// again and disturbs nothing else.
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
  // `database` keeps its index; notices go to the file `finals`, which is made once a platform is wanted.
  PlatformHost(boost::asio::io_context& io, Database& database, std::string finals);

  void apply(const std::optional<PlatformPart>& part);
  std::optional<PlatformView> view() const;  // nothing where the fleet names none

 private:
  void stand();
  void try_again();

  boost::asio::io_context& io_;
  Database& database_;
  std::string finals_file_;
  std::optional<PlatformPart> part_;
  std::unique_ptr<Finals> finals_;
  std::string listens_;  // where the server was told to
  std::unique_ptr<PlatformServer> server_;
  std::unique_ptr<PartnerFile> file_;
  std::string trouble_;  // why it does not stand; told once
  boost::asio::steady_timer again_;
};

}  // namespace heronvane::fleet

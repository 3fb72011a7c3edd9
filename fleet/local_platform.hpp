// The platform that an agent keeps for its relays, as the fleet in force has it. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "api.hpp"
#include "fleet_file.hpp"

namespace heronvane::fleet {

class Finals;
class PartnerFile;
class PlatformServer;

class LocalPlatform {
 public:
  // `data`: the agent's folder; finals.db and platform.index are kept there.
  LocalPlatform(boost::asio::io_context& io, std::string data);
  ~LocalPlatform();
  LocalPlatform(const LocalPlatform&) = delete;
  LocalPlatform& operator=(const LocalPlatform&) = delete;

  // None: what there is ends. An address that can't be had, or files that can't be used, are logged and tried
  // again each second.
  void use(const std::optional<PlatformPart>& part);
  std::optional<PlatformView> view() const;

 private:
  void begin();
  void serve();
  std::int64_t kept_index() const;
  bool keep_index(std::int64_t index);

  boost::asio::io_context& io_;
  std::string data_, trouble_;
  boost::asio::steady_timer again_;
  std::optional<PlatformPart> part_;
  std::unique_ptr<Finals> finals_;
  std::unique_ptr<PlatformServer> server_;
  std::unique_ptr<PartnerFile> file_;
};

}  // namespace heronvane::fleet

#include "local_platform.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <stdexcept>

#include "finals.hpp"
#include "instance_folder.hpp"
#include "log.hpp"
#include "members.hpp"
#include "partner_file.hpp"
#include "partners.hpp"
#include "platform_server.hpp"

namespace heronvane::fleet {

namespace {
constexpr auto kAgain = std::chrono::seconds(1);
}

LocalPlatform::LocalPlatform(boost::asio::io_context& io, std::string data)
    : io_(io), data_(std::move(data)), again_(io) {}
LocalPlatform::~LocalPlatform() = default;

void LocalPlatform::use(const std::optional<PlatformPart>& part) {
  const auto same = [&] {
    return part && part_ && part->listen == part_->listen && part->partners == part_->partners &&
           part->partners_file == part_->partners_file;
  };
  if (same() || (!part && !part_)) return;
  again_.cancel();
  // Watches of relays go on over a change of the list alone.
  const bool moved = !part || !part_ || part->listen != part_->listen;
  file_.reset();
  if (moved) server_.reset(), finals_.reset();
  part_ = part;
  trouble_.clear();
  if (part_) begin();
}

void LocalPlatform::begin() {
  try {
    serve();
    trouble_.clear();
    return;
  } catch (const std::exception& e) {
    if (trouble_ != e.what()) log(std::string("platform: ") + e.what());
    trouble_ = e.what();
  }
  again_.expires_after(kAgain);
  again_.async_wait([this](boost::system::error_code bad) {
    if (!bad) begin();
  });
}

void LocalPlatform::serve() {
  if (!server_) {
    if (!finals_) finals_ = std::make_unique<Finals>(data_ + "/finals.db");
    PlatformOptions o;
    o.listen = read_address(part_->listen, "platform.listen");
    o.index = kept_index();
    PlatformCallbacks c;
    c.keep_index = [this](std::int64_t index) { return keep_index(index); };
    c.log = [](const std::string& line) { log("platform: " + line); };
    server_ = std::make_unique<PlatformServer>(io_, *finals_, o, std::move(c));
  }
  if (!part_->partners_file.empty()) {
    file_ = std::make_unique<PartnerFile>(
        io_, part_->partners_file,
        [this](std::vector<Endpoint> list) { return server_ && server_->publish(std::move(list)); },
        [](const std::string& line) { log("platform: " + line); });
    return;
  }
  auto list = read_partners(part_->partners);
  if (!list.ok()) throw std::runtime_error("partners: " + list.trouble());
  if (!server_->publish(std::move(list.endpoints)))
    throw std::runtime_error("the list's index can't be kept");
}

// Where it is lost, the time: relays take a list with a lower index than they saw for an old one.
std::int64_t LocalPlatform::kept_index() const {
  std::ifstream in(data_ + "/platform.index");
  std::int64_t index = 0;
  return in >> index && index > 0 ? index : static_cast<std::int64_t>(std::time(nullptr));
}

bool LocalPlatform::keep_index(std::int64_t index) {
  try {
    replace_file(data_ + "/platform.index", std::to_string(index) + "\n");
    return true;
  } catch (const std::exception& e) {
    log(std::string("platform: ") + e.what());
    return false;
  }
}

std::optional<PlatformView> LocalPlatform::view() const {
  if (!server_) return {};
  const auto s = server_->status();
  return PlatformView{s.listen, s.index, s.endpoints, s.watchers, s.finals};
}

}  // namespace heronvane::fleet

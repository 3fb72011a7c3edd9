#include "platform_host.hpp"

#include <chrono>
#include <stdexcept>

#include "endpoint_list.hpp"
#include "log.hpp"
#include "partners.hpp"

namespace heronvane::fleet {

namespace {

constexpr auto kAgain = std::chrono::seconds(1);

std::int64_t unix_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

PlatformHost::PlatformHost(boost::asio::io_context& io, Database& database, std::string finals)
    : io_(io), database_(database), finals_file_(std::move(finals)), again_(io) {}

void PlatformHost::apply(const std::optional<PlatformPart>& part) {
  part_ = part;
  trouble_.clear();
  again_.cancel();
  file_.reset();
  if (!part_ || part_->listen != listens_) server_.reset();
  if (part_) stand();
}

void PlatformHost::stand() {
  try {
    if (!finals_) finals_ = std::make_unique<Finals>(finals_file_);
    if (!server_) {
      PlatformOptions o;
      o.listen = read_address(part_->listen, "platform.listen");
      o.index = database_.platform_index();
      // Where none was kept yet, one that is above any told before.
      if (o.index == 0) o.index = unix_seconds();
      PlatformCallbacks c;
      c.keep_index = [this](std::int64_t index) { return database_.keep_platform_index(index); };
      c.log = [](const std::string& line) { heronvane::log(line); };
      server_ = std::make_unique<PlatformServer>(io_, *finals_, std::move(o), std::move(c));
      listens_ = part_->listen;
    }
    if (!part_->partners_file.empty()) {
      file_ = std::make_unique<PartnerFile>(
          io_, part_->partners_file,
          [this](std::vector<Endpoint> list) { return server_ && server_->publish(std::move(list)); },
          [](const std::string& line) { heronvane::log(line); });
      trouble_.clear();
      return;
    }
    PartnerList list = read_partners(part_->partners);
    if (!list.ok()) throw std::runtime_error("partners: " + list.trouble());
    if (!server_->publish(std::move(list.endpoints))) throw std::runtime_error("its index can't be kept");
    trouble_.clear();
  } catch (const std::exception& e) {
    std::string what = e.what();
    if (what.starts_with("platform: ")) what.erase(0, sizeof "platform: " - 1);
    if (trouble_ != what) heronvane::log("platform: " + what);
    trouble_ = std::move(what);
    try_again();
  }
}

void PlatformHost::try_again() {
  again_.expires_after(kAgain);
  again_.async_wait([this](boost::system::error_code bad) {
    if (!bad && part_) stand();
  });
}

std::optional<PlatformView> PlatformHost::view() const {
  if (!part_) return {};
  PlatformView v;
  v.listen = part_->listen;
  v.trouble = trouble_;
  const auto also = [&v](const std::string& what) {
    if (!what.empty()) v.trouble += (v.trouble.empty() ? "" : "; ") + what;
  };
  if (file_ && !file_->trouble().empty()) also("partners: " + file_->trouble());
  if (!server_) return v;
  const PlatformStatus s = server_->status();
  v.listen = s.listen;
  v.index = s.index;
  v.endpoints = s.endpoints;
  v.watchers = s.watchers;
  v.finals = s.finals;
  if (!s.finals_trouble.empty()) also("notices can't be stored, relays keep them: " + s.finals_trouble);
  return v;
}

}  // namespace heronvane::fleet

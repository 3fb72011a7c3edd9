#include "platform_host.hpp"

#include <chrono>
#include <stdexcept>

#include "endpoint_list.hpp"
#include "log.hpp"
#include "partners.hpp"

namespace heronvane::fleet {

namespace {

constexpr auto kRetryDelay = std::chrono::seconds(1);

std::int64_t unix_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

PlatformHost::PlatformHost(boost::asio::io_context& io, Database& database, std::string finals_file)
    : io_(io), database_(database), finals_file_(std::move(finals_file)), retry_timer_(io) {}

void PlatformHost::apply(const std::optional<PlatformSpec>& platform) {
  platform_ = platform;
  error_.clear();
  retry_timer_.cancel();
  partner_file_.reset();
  if (!platform_ || platform_->listen != listen_) server_.reset();
  if (platform_) start();
}

void PlatformHost::start() {
  try {
    if (!finals_) finals_ = std::make_unique<Finals>(finals_file_);
    if (!server_) {
      PlatformOptions options;
      options.listen = read_address(platform_->listen, "platform.listen");
      options.index = database_.platform_index();
      // No index stored yet: Unix time is above any index published before.
      if (options.index == 0) options.index = unix_seconds();
      PlatformCallbacks callbacks;
      callbacks.keep_index = [this](std::int64_t index) { return database_.save_platform_index(index); };
      callbacks.log = [](const std::string& line) { heronvane::log(line); };
      server_ = std::make_unique<PlatformServer>(io_, *finals_, std::move(options), std::move(callbacks));
      listen_ = platform_->listen;
    }
    if (!platform_->partners_file.empty()) {
      partner_file_ = std::make_unique<PartnerFile>(
          io_, platform_->partners_file,
          [this](std::vector<Endpoint> list) { return server_ && server_->publish(std::move(list)); },
          [](const std::string& line) { heronvane::log(line); });
      error_.clear();
      return;
    }
    PartnerList list = read_partners(platform_->partners);
    if (!list.ok()) throw std::runtime_error("partners: " + list.error());
    if (!server_->publish(std::move(list.endpoints)))
      throw std::runtime_error("the index of the list can't be stored");
    error_.clear();
  } catch (const std::exception& e) {
    std::string message = e.what();
    if (message.starts_with("platform: ")) message.erase(0, sizeof "platform: " - 1);
    if (error_ != message) heronvane::log("platform: " + message);
    error_ = std::move(message);
    schedule_retry();
  }
}

void PlatformHost::schedule_retry() {
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec && platform_) start();
  });
}

std::optional<PlatformView> PlatformHost::view() const {
  if (!platform_) return {};
  PlatformView view;
  view.listen = platform_->listen;
  view.error = error_;
  const auto add_error = [&view](const std::string& message) {
    if (!message.empty()) view.error += (view.error.empty() ? "" : "; ") + message;
  };
  if (partner_file_ && !partner_file_->error().empty()) add_error("partners: " + partner_file_->error());
  if (!server_) return view;
  const PlatformStatus status = server_->status();
  view.listen = status.listen;
  view.index = status.index;
  view.endpoints = status.endpoints;
  view.watchers = status.watchers;
  view.finals = status.finals;
  if (!status.notices_error.empty())
    add_error("notices can't be stored, relays keep them: " + status.notices_error);
  return view;
}

}  // namespace heronvane::fleet

// Sends requests to relays over the admin sockets in their state folders. Never blocks on a relay: each
// request fails after its timeout at the latest.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace heronvane::fleet {

inline constexpr auto kAdminTimeout = std::chrono::seconds(3);
inline constexpr std::size_t kMaxAdminAnswerBytes = 4 << 20;  // a longer answer counts as none

struct AdminRequest {
  std::string folder;  // the relay's state folder
  bool post = false;
  std::string target;  // "/v1/status"
  std::string body;    // JSON, for POST
};
struct AdminAnswer {
  unsigned status = 0;  // HTTP status; 0: no answer
  std::string body;
  std::string error;  // why there is no answer
  bool local_failure =
      false;  // no answer because this process lacks descriptors or memory; says nothing about the relay
};

// `done` is called once, from the event loop, never from within this call.
void ask_admin(boost::asio::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done,
               std::chrono::milliseconds timeout = kAdminTimeout);

}  // namespace heronvane::fleet

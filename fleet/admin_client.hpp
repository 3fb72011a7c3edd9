// Asks relays over the admin sockets in their state folders. Nothing here waits for a relay: each request
// ends by itself after its time, whatever the other side does.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace heronvane::fleet {

inline constexpr auto kAdminTimeout = std::chrono::seconds(3);
inline constexpr std::size_t kMaxAdminAnswerBytes = 4 << 20;  // bytes; longer ones count as none

struct AdminRequest {
  std::string folder;  // the relay's state folder
  bool post = false;
  std::string target;  // "/v1/status"
  std::string body;    // JSON, of POST
};
struct AdminAnswer {
  unsigned status = 0;  // 0: none came
  std::string body;
  std::string error;  // none came: why
  bool local_failure =
      false;  // none came as this process lacks descriptors or memory: of the relay that says nothing
};

// `done` is called once, from the loop, never from within this call.
void ask_admin(boost::asio::io_context& io, AdminRequest request, std::function<void(AdminAnswer)> done,
               std::chrono::milliseconds timeout = kAdminTimeout);

}  // namespace heronvane::fleet

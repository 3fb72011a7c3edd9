// A build without the admin socket.
#include <stdexcept>

#include "admin_port.hpp"

namespace heronvane {

// NOLINTNEXTLINE(performance-unnecessary-value-param): the build with the socket keeps the context
std::unique_ptr<Front> open_admin_front(boost::asio::io_context& /*io*/, const Config& config,
                                        AdminContextSource /*context*/) {
  if (!config.own.admin.socket) return std::make_unique<NoAdminFront>();
  throw std::runtime_error("admin.socket: this build has no admin socket: build with -DHERONVANE_ADMIN=ON");
}

}  // namespace heronvane

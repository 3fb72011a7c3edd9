// Replaces admin_port.cpp in a build without the admin socket.
#include <stdexcept>

#include "admin_port.hpp"

namespace heronvane {

std::unique_ptr<Frontend> open_admin_frontend(
    boost::asio::io_context& /*io*/, const Config& config,
    // NOLINTNEXTLINE(performance-unnecessary-value-param): same signature as in admin_port.cpp
    AdminContextSource /*context*/) {
  if (!config.own.admin.socket) return std::make_unique<NullAdminFrontend>();
  throw std::runtime_error("admin.socket: this build has no admin socket: build with -DHERONVANE_ADMIN=ON");
}

}  // namespace heronvane

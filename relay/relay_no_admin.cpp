// A build without the admin socket.
#include <stdexcept>

#include "relay.hpp"

namespace heronvane {

std::unique_ptr<Front> Relay::open_admin() {
  if (!config_.own.admin.socket) return nullptr;
  throw std::runtime_error("admin.socket: this build has no admin socket: build with -DHERONVANE_ADMIN=ON");
}

}  // namespace heronvane

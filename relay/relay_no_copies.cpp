// A build without copies: a settings file that asks for them is refused.
#include <stdexcept>

#include "relay.hpp"

namespace heronvane {

std::unique_ptr<LogReplication> Relay::open_copies() {
  if (config_.own.copies.on)
    throw std::runtime_error("settings: [copies]: this build has none: build with -DHERONVANE_COPIES=ON");
  return nullptr;
}
void Relay::disown() {}
void Relay::taken_over(MessageId, MessageId) {}

}  // namespace heronvane

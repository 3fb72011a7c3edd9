// Replaces log_copies_port.cpp in a build without log replication: rejects settings that turn it on.
#include <stdexcept>
#include <utility>

#include "log_copies_port.hpp"
#include "standalone_log.hpp"

namespace heronvane {

std::unique_ptr<LogReplication> open_log_copies(boost::asio::io_context& /*io*/, store::Store& store,
                                                const Config& config, bool force_own, LogCopiesHooks hooks) {
  if (config.own.copies.on)
    throw std::runtime_error("settings: [copies]: not in this build: build with -DHERONVANE_COPIES=ON");
  return std::make_unique<StandaloneLog>(store, force_own, std::move(hooks.ready));
}

}  // namespace heronvane

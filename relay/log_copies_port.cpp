#include "log_copies_port.hpp"

#include <utility>

#include "copies/log_replicator.hpp"
#include "log.hpp"
#include "standalone_log.hpp"

namespace heronvane {
namespace {

copies::Options copies_options(const Config& config, bool force_own) {
  copies::Options options;
  options.settings = config.own.copies;
  options.name = config.name;
  options.folder = config.state_folder + "/copies";
  options.disk_bytes = config.disk_bytes;
  options.memory_bytes = config.memory_bytes;
  options.force_own = force_own;
  options.durability = config.own.store.durability;
  options.log = log;
  return options;
}

}  // namespace

std::unique_ptr<LogReplication> open_log_copies(boost::asio::io_context& io, store::Store& store,
                                                const Config& config, bool force_own, LogCopiesHooks hooks) {
  if (!config.own.copies.on) return std::make_unique<StandaloneLog>(store, force_own, std::move(hooks.ready));
  copies::LogReplicator::Hooks copies_hooks;
  copies_hooks.commit = std::move(hooks.commit);
  copies_hooks.durable_advanced = std::move(hooks.durable_advanced);
  copies_hooks.ready = std::move(hooks.ready);
  copies_hooks.disown = std::move(hooks.log_lost);
  copies_hooks.taken_over = std::move(hooks.taken_over);
  copies_hooks.wait_is_over = std::move(hooks.ack_timed_out);
  return std::make_unique<copies::LogReplicator>(io, store, copies_options(config, force_own),
                                                 std::move(copies_hooks));
}

}  // namespace heronvane

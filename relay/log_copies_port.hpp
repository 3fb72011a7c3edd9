// Creates the replication of the relay's log to other relays, or its null implementation.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "config.hpp"
#include "core/log_replication.hpp"
#include "core/message.hpp"
#include "store/store.hpp"

namespace heronvane {

// Callbacks from replication into the relay; all are called on the event loop's thread.
struct LogCopiesHooks {
  // Writes the records that replication added to the store.
  std::function<void()> commit;
  // Called when the store's durable() has advanced.
  std::function<void()> durable_advanced;
  // Called once the log is known to be this relay's: the messages in it may be processed.
  std::function<void()> ready;
  // Called when another relay has taken over the log: this relay must give up all messages that it holds.
  std::function<void()> log_lost;
  // Called when this relay has taken over another relay's messages: those with ids in [from, to).
  std::function<void(MessageId from, MessageId to)> taken_over;
  // Called when replies have waited too long for replicas to acknowledge their records.
  std::function<void()> ack_timed_out;
};

// `store` outlives the result. With `force_own` the relay uses the log in its folder without asking the
// relays that hold replicas. Throws std::exception if the settings turn replication on and it can't be
// started, or this build has none.
std::unique_ptr<LogReplication> open_log_copies(boost::asio::io_context& io, store::Store& store,
                                                const Config& config, bool force_own, LogCopiesHooks hooks);

}  // namespace heronvane

// How the relay gets the copies of its log at further relays, or the null implementation of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "config.hpp"
#include "core/log_replication.hpp"
#include "core/message.hpp"
#include "store/store.hpp"

namespace heronvane {

// What the copies ask of the relay; all are called on the event loop's thread.
struct LogCopiesHooks {
  // What was added to the store is to be written.
  std::function<void()> commit;
  // The store's durable() has moved on.
  std::function<void()> durable_advanced;
  // The log is this relay's: what it holds may be acted on.
  std::function<void()> ready;
  // The log went to another relay: nothing that is held is this one's any more.
  std::function<void()> log_lost;
  // The messages of these numbers were another relay's and are this one's now.
  std::function<void(MessageId from, MessageId to)> taken_over;
  // What waits for copies has waited too long.
  std::function<void()> ack_timed_out;
};

// `store` outlives the copies. `force_own`: what the folder holds is this relay's, whatever others hold.
// Throws std::exception where the settings ask for copies that can't be had, in this build or at all.
std::unique_ptr<LogReplication> open_log_copies(boost::asio::io_context& io, store::Store& store,
                                                const Config& config, bool force_own, LogCopiesHooks hooks);

}  // namespace heronvane

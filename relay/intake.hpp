// The HTTP server for clients: reads their messages, passes each one on, and writes the reply.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "core/message.hpp"
#include "core/outbox.hpp"
#include "core/timer.hpp"
#include "log.hpp"
#include "settings.hpp"

namespace heronvane {

struct IntakeLimits {
  std::size_t max_connections = 1;
  std::size_t max_body_bytes = 0;  // of all request bodies being read
};

// Used on the event loop's thread only, where the callbacks run, too.
class Intake {
 public:
  // Takes a message without its deadline, and the time left until the deadline. Calls the reply once, at once
  // or later.
  using MessageHandler = std::function<void(Message, Microseconds time_left, ReplyCallback)>;
  using ReadyCallback = std::function<bool()>;

  // Accepts on `listener` at once. `is_ready` decides the answer to GET /_health. `settings` and `names` must
  // outlive the intake.
  Intake(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor listener,
         const heronvane::dispatch::Settings& settings, const heronvane::dispatch::adapter::NameTables& names,
         const IntakeLimits& limits, MessageHandler handle_message, ReadyCallback is_ready);
  ~Intake();

  // From now on each answer is the last one of its connection. Idle connections stay open: a request may be
  // on its way.
  void drain();
  // After drain(): closes idle connections, now and whenever one becomes idle. A request that arrives during
  // the close is not read, and its connection is reset.
  void close_idle();
  // After close_idle(): accepts no more connections and closes those that have sent no request yet after a
  // short wait. clients() becomes 0 within kMaxShutdownTime.
  void shut_down();
  static constexpr std::chrono::milliseconds kMaxShutdownTime{1200};
  // Whether a request is being read or answered, or a connection is in its lingering close.
  bool busy() const;
  std::size_t clients() const { return sessions_.size(); }  // connections
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();
  void accept_queued();
  void start_session(boost::asio::ip::tcp::socket socket);
  void evict_session();
  bool is_nearly_full() const;
  // A copy to iterate over: sessions remove themselves from the set.
  std::vector<std::shared_ptr<Session>> copy_sessions() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Timer accept_retry_timer_;
  const heronvane::dispatch::Settings& settings_;
  const heronvane::dispatch::adapter::NameTables& names_;
  IntakeLimits limits_;
  MessageHandler handle_message_;
  ReadyCallback is_ready_;
  bool draining_ = false;
  bool closing_idle_ = false;
  bool shutting_down_ = false;
  std::size_t body_bytes_ = 0;
  CounterLog rejections_, accept_failures_;
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace heronvane

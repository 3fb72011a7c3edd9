// Where clients hand in messages: an HTTP server that reads requests, asks for a decision on each, answers.
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
  std::size_t clients = 1;     // connections
  std::size_t body_bytes = 0;  // of all bodies that are being read
};

class Intake {
 public:
  // The message without its deadline, and the time that is left until then.
  using MessageHandler = std::function<void(Message, Microseconds left, ReplyCallback)>;
  using ReadyCallback = std::function<bool()>;

  // Accepts on `listener` at once. Each message goes to `take`, which answers by the reply, once, then or
  // later.
  Intake(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor listener,
         const heronvane::dispatch::Settings& settings, const heronvane::dispatch::adapter::NameTables& names,
         const IntakeLimits& limits, MessageHandler handle_message, ReadyCallback is_ready);
  ~Intake();

  // From now on each answer is the last one of its connection. Connections that rest stay open: a request may
  // be on its way.
  void drain();
  // After drain(): connections that rest are closed, from now on at once. A request that crosses the close is
  // never read, and its connection is reset.
  void close_idle();
  // After close_resting(): no new connections from now on, and those that brought no request yet are closed,
  // too. All are gone once clients() is 0, within kFinishMost.
  void shut_down();
  static constexpr std::chrono::milliseconds kMaxShutdownTime{1200};
  // Whether a request is being read or answered, or an answer may still be on its way.
  bool busy() const;
  std::size_t clients() const { return sessions_.size(); }  // connections
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();
  void accept_waiting();
  void begin(boost::asio::ip::tcp::socket socket);
  void evict_oldest();
  bool short_of_room() const;
  // A copy: sessions take themselves out of the set.
  std::vector<std::shared_ptr<Session>> all_sessions() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Timer pause_;
  const heronvane::dispatch::Settings& settings_;
  const heronvane::dispatch::adapter::NameTables& names_;
  IntakeLimits limits_;
  MessageHandler handle_message_;
  ReadyCallback is_ready_;
  bool draining_ = false;
  bool closing_idle_ = false;
  bool shutting_down_ = false;
  std::size_t body_bytes_ = 0;
  CounterLog tally_, accept_failures_;
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace heronvane

// Where clients hand in messages: an HTTP server that reads requests, asks for a decision on each, answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

#include "journal.hpp"
#include "settings.hpp"

namespace heronvane {

struct Answer {
  unsigned status = 202;
  Time retry_after = 0;  // 0: none
};
using Reply = std::function<void(const Answer&)>;

class Intake {
 public:
  using Take = std::function<void(Message, Reply)>;
  using Ready = std::function<bool()>;

  // Listens at once. Each message goes to `take`, which answers by the reply, once, then or later.
  Intake(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
         const cedarplank::adapter::Tables& names, std::size_t most_clients, Take take, Ready ready);
  ~Intake();

  // From now on connections are closed once they stand between requests; new ones are still answered.
  void drain();
  // Whether a request is being read or answered.
  bool busy() const;
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  const cedarplank::adapter::Tables& names_;
  std::size_t most_clients_;
  Take take_;
  Ready ready_;
  bool draining_ = false;
  bool turned_away_ = false;  // said so in the log
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace heronvane

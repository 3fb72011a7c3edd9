// The admin socket: HTTP/1.1 with JSON on a Unix socket, for the operator's own programs on this machine.
//
// It shares the relay's thread, so it may never hold clients up: few connections, bounded sizes and times,
// and all its requests together take no more than a part of the loop's time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "clock.hpp"
#include "frontends/admin_request.hpp"
#include "frontends/frontend.hpp"
#include "log.hpp"

namespace heronvane {

class AdminServer : public Frontend {
 public:
  using Reply = std::function<void(AdminAnswer)>;
  // Answers by the reply, once, then or later.
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  // Listens at `path`, a socket of mode 0600, and removes it at the end. One that an earlier life left there
  // is removed: the caller owns the folder. Throws std::runtime_error where it can't be had.
  AdminServer(boost::asio::io_context& io, const std::string& path, Handler handler);
  ~AdminServer() override;
  void start() override { accept(); }

  bool busy() const override;

 private:
  class Session;
  using Socket = boost::asio::local::stream_protocol::socket;
  void accept();
  bool make_room();

  boost::asio::io_context& io_;
  std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Handler handler_;
  CounterLog tally_;
  Microseconds turn_at_ = 0;  // the next request is answered no sooner
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace heronvane

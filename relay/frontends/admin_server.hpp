// The server of the admin socket: HTTP/1.1 with JSON on a Unix socket, for the operator's programs on this
// machine.
//
// It shares the event loop with the clients' server and must not delay it: connections, sizes and times are
// limited, and admin requests take at most a tenth of the loop's time.
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
  // Calls the reply once, at once or later.
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  // Listens on a socket of mode 0600 at `path` and removes it on destruction. A socket left there by an
  // earlier process is removed first: the caller owns the folder. Throws std::runtime_error if `path` is
  // unusable, startup::StartError if listening fails.
  AdminServer(boost::asio::io_context& io, const std::string& path, Handler handler);
  ~AdminServer() override;
  void start() override { accept(); }

  bool busy() const override;

 private:
  class Session;
  using Socket = boost::asio::local::stream_protocol::socket;
  void accept();
  bool evict_session();

  boost::asio::io_context& io_;
  std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  Handler handler_;
  CounterLog rejections_;
  Microseconds next_request_at_ = 0;  // the next request is handled no sooner
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace heronvane

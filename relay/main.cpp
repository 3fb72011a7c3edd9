// heronvane: one relay on real sockets. LB_CONFIG names its configuration, LB_STATE the folder that lasts.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>

#include "config.hpp"
#include "log.hpp"
#include "relay.hpp"

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    const heronvane::Config config = heronvane::load_config();
    boost::asio::io_context io(1);
    heronvane::Relay relay(io, config);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code bad, int) {
      if (!bad) relay.stop([&io] { io.stop(); });
    });
    io.run();
    return 0;
  } catch (const std::exception& e) {
    heronvane::log(std::string("heronvane: ") + e.what());
    return 1;
  }
}

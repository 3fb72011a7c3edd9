// heronvane: one relay on real sockets. LB_CONFIG names its configuration, LB_STATE the folder that lasts.
// SIGTERM and SIGINT drain and end it, SIGHUP has the configuration read again.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <functional>

#include "config.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace {

// A file that can't be read changes nothing.
void reload(heronvane::Relay& relay) {
  try {
    relay.reconfigure(heronvane::load_config());
  } catch (const std::exception& e) {
    heronvane::log(std::string("configuration: the old one stays: ") + e.what());
  }
}

}  // namespace

int main() {
  try {
    heronvane::open_standard_streams();
    std::signal(SIGPIPE, SIG_IGN);
    // A file over the limit is an error of its write, which the store and the log bear.
    std::signal(SIGXFSZ, SIG_IGN);
    boost::asio::io_context io(1);
    heronvane::LostLines lost_lines(io);
    // Before anything slow: a signal that comes while the store is read waits for the loop.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    const heronvane::Config config = heronvane::load_config();
    heronvane::Relay relay(io, config);
    ends.async_wait([&](boost::system::error_code bad, int) {
      if (!bad) relay.stop([&io] { io.stop(); });
    });
    const std::function<void()> await_reload = [&] {
      reloads.async_wait([&](boost::system::error_code bad, int) {
        if (bad) return;
        reload(relay);
        await_reload();
      });
    };
    await_reload();
    io.run();
    return 0;
  } catch (const std::exception& e) {
    heronvane::log(std::string("heronvane: ") + e.what());
    return 1;
  }
}

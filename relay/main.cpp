// heronvane: one relay on real sockets. Its configuration and the folder that lasts are named by options, or
// by LB_CONFIG and LB_STATE. SIGTERM and SIGINT end it, SIGHUP has the configuration read again.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <random>
#include <stdexcept>

#include "command_line.hpp"
#include "config.hpp"
#include "log.hpp"
#include "relay.hpp"
#include "version.hpp"

namespace {

// Less than this holds few messages, and much less than it none: that is told, for it looks like a relay that
// is well.
constexpr std::uint64_t kLittleDisk = 1'000'000;

// A file that can't be read changes nothing.
void reload(heronvane::Relay& relay, const heronvane::Places& places) {
  try {
    relay.reconfigure(heronvane::load_config(places));
  } catch (const std::exception& e) {
    heronvane::log(std::string("configuration: the old one stays: ") + e.what());
  }
}

std::string drawn_run() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

int run(const heronvane::CommandLine& options, const heronvane::Places& places) {
  boost::asio::io_context io(1);
  heronvane::LostLines lost_lines(io);
  // Before anything slow: a signal that comes while the store is read waits for the loop.
  boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
  const heronvane::Config config = heronvane::load_config(places);
  if (config.state_folder.empty())
    throw std::runtime_error("no state folder: name it by --state FOLDER or LB_STATE");
  if (config.disk_bytes < kLittleDisk)
    heronvane::log("configuration: limits.disk_mb is below 1: messages may be refused for want of room");
  heronvane::Relay::Start start;
  start.run = options.run.empty() ? drawn_run() : options.run;
  start.undrain = options.undrain;
  start.force_own = options.force_own;
  start.drained = [&io] { io.stop(); };
  heronvane::Relay relay(io, config, std::move(start));
  ends.async_wait([&](boost::system::error_code bad, int) {
    if (!bad) relay.stop([&io] { io.stop(); });
  });
  const std::function<void()> await_reload = [&] {
    reloads.async_wait([&](boost::system::error_code bad, int) {
      if (bad) return;
      reload(relay, places);
      await_reload();
    });
  };
  await_reload();
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    heronvane::open_standard_streams();
    std::signal(SIGPIPE, SIG_IGN);
    // A file over the limit is an error of its write, which the store and the log bear.
    std::signal(SIGXFSZ, SIG_IGN);
    const auto options = heronvane::read_command_line({argv + (argc > 0 ? 1 : 0), argv + argc});
    if (options.help) return std::fputs(heronvane::kUsage, stdout) < 0;
    if (options.version) return std::printf("heronvane %s\n", heronvane::kVersion) < 0;
    const auto places = heronvane::find_places(options);
    if (!options.check_config) return run(options, places);
    const auto config = heronvane::load_config(places);
    return std::printf("configuration: sound: %s\n", heronvane::summary(config, places).c_str()) < 0;
  } catch (const std::exception& e) {
    heronvane::log(std::string("heronvane: ") + e.what());
    return 1;
  }
}

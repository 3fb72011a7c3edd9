// heronvane: one relay on real sockets. Its configuration and the folder that lasts are named by options, or
// by LB_CONFIG and LB_STATE. SIGTERM and SIGINT end it, SIGHUP has the configuration read again.
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "command_line.hpp"
#include "config.hpp"
#include "log.hpp"
#include "startup/event_loop.hpp"
#include "startup/startup.hpp"
#include "version.hpp"

namespace {

std::string drawn_run() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

int run(const heronvane::CommandLine& options, const heronvane::Places& places) {
  const auto loop = heronvane::startup::make_event_loop();
  if (!loop) return 0;
  heronvane::RelayServer::Start start;
  start.run = options.run.empty() ? drawn_run() : options.run;
  start.undrain = options.undrain;
  start.force_own = options.force_own;
  start.drained = [&io = loop->io] { io.stop(); };
  heronvane::startup::Startup startup(loop->io, places, std::move(start));
  loop->ends.async_wait([&](boost::system::error_code bad, int signal) {
    if (!bad) startup.stop(signal == SIGTERM ? "SIGTERM" : "SIGINT");
  });
  const std::function<void()> await_reload = [&] {
    loop->reloads.async_wait([&](boost::system::error_code bad, int) {
      if (bad) return;
      startup.reload();
      await_reload();
    });
  };
  await_reload();
  startup.begin();
  loop->io.run();
  return startup.status();
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

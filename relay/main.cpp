// heronvane: runs one relay in the foreground. Options, or LB_CONFIG and LB_STATE, name the configuration
// file and the state folder. SIGTERM and SIGINT stop the relay, SIGHUP reloads the configuration.
//
// Exit status: 0 after a signal, a drain or an option that only prints; 1 after an error, which is logged.
#include <array>
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

constexpr std::size_t kRunIdBytes = 17;  // 16 hexadecimal digits and the terminating zero

std::string draw_run_id() {
  std::random_device random;
  std::array<char, kRunIdBytes> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", random(), random());
  return text.data();
}

int run_relay(const heronvane::CommandLine& options, const heronvane::ConfigPaths& paths) {
  const auto loop = heronvane::startup::make_event_loop();
  if (!loop) return 0;
  heronvane::RelayServer::Start start;
  start.run = options.run.empty() ? draw_run_id() : options.run;
  start.undrain = options.undrain;
  start.force_own = options.force_own;
  start.drained = [&io = loop->io] { io.stop(); };
  heronvane::startup::Startup startup(loop->io, paths, std::move(start));
  loop->termination_signals.async_wait([&](boost::system::error_code error, int signal) {
    if (!error) startup.stop(signal == SIGTERM ? "SIGTERM" : "SIGINT");
  });
  const std::function<void()> await_reload = [&] {
    loop->reload_signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
      if (error) return;
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
    // With SIGXFSZ ignored, a write past the file size limit fails with an error, which the store and the log
    // handle.
    std::signal(SIGXFSZ, SIG_IGN);
    const auto options = heronvane::read_command_line({argv + (argc > 0 ? 1 : 0), argv + argc});
    if (options.help) return std::fputs(heronvane::kUsage, stdout) < 0;
    if (options.version) return std::printf("heronvane %s\n", heronvane::kVersion) < 0;
    const auto paths = heronvane::find_config_paths(options);
    if (!options.check_config) return run_relay(options, paths);
    const auto config = heronvane::load_config(paths);
    return std::printf("configuration: sound: %s\n", heronvane::summary(config, paths).c_str()) < 0;
  } catch (const std::exception& error) {
    heronvane::log(std::string("heronvane: ") + error.what());
    return 1;
  }
}

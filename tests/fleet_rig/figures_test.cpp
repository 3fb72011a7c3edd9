// Measures a fleet under traffic: duration of operations, time to recover from SIGKILL, and the agent's
// processor and memory use. Checks no limits on them; runs only if HERONVANE_FLEET_FIGURES is not 0.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>

#include "rig.hpp"

namespace heronvane::rig {
namespace {

// Returns processor time in ms and resident memory in kB.
std::pair<Ms, long> resource_usage(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  const std::string all{std::istreambuf_iterator<char>(stat), {}};
  std::istringstream fields(all.substr(all.rfind(')') + 2));
  std::string skip;
  for (int i = 3; i < 14; i++) fields >> skip;
  Ms user = 0, system = 0;
  fields >> user >> system;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  long memory = 0;
  for (std::string word; status >> word;)
    if (word == "VmRSS:") status >> memory;
  return {(user + system) * 1'000 / ::sysconf(_SC_CLK_TCK), memory};
}

class Figures : public Rig {};

TEST_F(Figures, FleetUnderTraffic) {
  if (environment("HERONVANE_FLEET_FIGURES", 0) == 0) GTEST_SKIP() << "HERONVANE_FLEET_FIGURES is not set";
  begin(static_cast<int>(environment("HERONVANE_FLEET_INSTANCES", 30)), 1);
  const auto max_unavailable = std::to_string(environment("HERONVANE_FLEET_AWAY", 5));

  const auto before = resource_usage(machine_->agent());
  const Ms from = now_ms();
  std::this_thread::sleep_for(std::chrono::seconds(10));
  const auto after = resource_usage(machine_->agent());
  std::printf("agent: %.2f %% of a core, %.1f MB, with %d instances\n",
              100.0 * static_cast<double>(after.first - before.first) / static_cast<double>(now_ms() - from),
              static_cast<double>(after.second) / 1024, count_);

  for (int run = 0; run < 3; run++) {
    const Ms drain = operate({"drain", "--all"}), undrain = operate({"undrain", "--all"});
    expect_serving();
    const Ms restart = operate({"restart", "--rolling", "--max-unavailable", max_unavailable});
    expect_serving();
    std::printf(
        "drain --all %lld ms, undrain --all %lld ms, restart --rolling --max-unavailable %s %lld ms\n",
        static_cast<long long>(drain), static_cast<long long>(undrain), max_unavailable.c_str(),
        static_cast<long long>(restart));
    std::fflush(stdout);
  }

  std::vector<Ms> recovery_times;
  for (int i = 0; i < std::min(count_, 20); i++) {
    const auto relay = machine_->sampler().open(machine_->name(i));
    ASSERT_TRUE(relay);
    const Ms killed = now_ms();
    ASSERT_TRUE(relay.signal(SIGKILL));
    wait_for([&] { return relay.ended(); }, "the relay has ended");
    while (!machine_->healthy(i) && now_ms() < killed + 60'000)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    recovery_times.push_back(now_ms() - killed);
  }
  std::sort(recovery_times.begin(), recovery_times.end());
  std::printf("from SIGKILL to health 200: median %lld ms, most %lld ms, of %zu\n",
              static_cast<long long>(recovery_times[recovery_times.size() / 2]),
              static_cast<long long>(recovery_times.back()), recovery_times.size());
  stop_and_verify();
}

}  // namespace
}  // namespace heronvane::rig

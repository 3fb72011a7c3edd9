// Measures one relay under steady traffic from stand-in clients to stand-in endpoints, each side in its own
// process: the relay's cost per message, and the time from the client's first byte to the endpoint's last.
//
//   relay_bench PROGRAM SETTINGS RATE SECONDS DESTINATIONS SILENT_HELD TICK_MS
//
// SETTINGS: the operator's file, or "" for none. SILENT_HELD: messages held for one destination that never
// answers. The figures are of the relay alone, from /proc; the first half second is left out.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/clients.hpp"
#include "standins/endpoint.hpp"

namespace net = boost::asio;
using namespace heronvane::standins;

namespace {

double cpu_seconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; i++) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string entry(const std::string& name, const std::string& address, std::size_t destination) {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","type":"small","group":)" +
         std::to_string(destination) + R"(,"status":"ready","weight":1.0,"since_ms":0})";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 8) {
    std::fputs("relay_bench PROGRAM SETTINGS RATE SECONDS DESTINATIONS SILENT_HELD TICK_MS\n", stderr);
    return 2;
  }
  const std::string program = argv[1], settings = argv[2];
  const double rate = std::atof(argv[3]);
  const int seconds = std::atoi(argv[4]);
  const auto destinations = static_cast<std::size_t>(std::atoi(argv[5]));
  const auto silent = static_cast<std::size_t>(std::atoi(argv[6]));
  const std::string tick = std::to_string(std::atoi(argv[7]) * 1'000);

  net::io_context io;
  std::unordered_map<std::string, Microseconds> sent;
  Latencies latencies(3'600'000'000);
  std::uint64_t arrived = 0, twice = 0;
  Microseconds measured_from = steady_time() + 3'600'000'000;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  EndpointOptions options;
  options.habits.median = 0, options.habits.spread = 0;
  options.arrived = [&](const std::string& id, bool) {
    const auto it = sent.find(id);
    if (it == sent.end()) return void(twice++);
    const Microseconds now = steady_time();
    if (now >= measured_from) arrived++, latencies.add(now, now - it->second);
    sent.erase(it);
  };
  for (int i = 0; i < 8; i++) endpoints.push_back(std::make_unique<Endpoint>(io, options));
  EndpointOptions dead;
  dead.habits.silent = {1'000'000, 999'999};
  Endpoint quiet(io, dead);

  const auto folder = std::filesystem::temp_directory_path() / ("relay_bench-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder / "state");
  const std::string listen = "127.0.0.1:18990";
  std::string known;
  for (std::size_t d = 0; d < destinations; d++)
    known +=
        (d == 0 ? "" : ",") + entry("p-" + std::to_string(d), endpoints[d % endpoints.size()]->address(), d);
  known += "," + entry("silent", quiet.address(), destinations);
  {
    std::ofstream out(folder / "relay.json");
    out << R"({"name":"n0","listen":")" << listen << R"(","discovery":"127.0.0.1:1","seed":"1",)"
        << R"("limits":{"cores":1.0,"memory_mb":512,"sockets":1024,"disk_mb":800},"known":{"index":1,"snapshot":true,)"
        << R"("endpoints":[)" << known
        << R"(]},"settings":{"Classes":[{"Name":"load-status","Points":1.0,"Target":500000,)"
        << R"("Deadline":3600000000,"Idempotency":"read_like"}],"FamilyInfo":{"Workers":128,"BundleMax":[1],)"
        << R"("RoutesApart":[false],"Decay":"halves"},"HostTypes":["small"],"FailureDomains":["a"],"Locality":"a",)"
        << R"("Limits":{"OpenCap":100000,"MaxAttempts":8,"Cancelling":true,"ConnIdle":5000000,"ConnectTimeout":1500000,)"
        << R"("MaxRetryAfter":2000000},"Discovery":"subscribe","GroupSize":1,"Rules":{"AnswerSlack":20000,)"
        << R"("DrainGrace":1000000,"MustAskIn":10000000},"Tick":)" << tick << "}}";
  }
  const pid_t relay = fork();
  if (relay == 0) {
    const std::string config = (folder / "relay.json").string(), state = (folder / "state").string();
    const std::string log = (folder / "log").string();
    if (std::freopen(log.c_str(), "w", stderr) == nullptr) _exit(1);
    std::vector<const char*> words{program.c_str(), "--config", config.c_str(), "--state", state.c_str()};
    if (!settings.empty()) words.insert(words.end(), {"--settings", settings.c_str()});
    words.push_back(nullptr);
    execv(program.c_str(), const_cast<char* const*>(words.data()));
    _exit(127);
  }

  const auto plan_to = [&](std::size_t first, std::size_t count, double per_s) {
    TrafficPlan plan;
    plan.per_s = per_s;
    plan.classes = {{"load-status", 1, 3'000'000'000}};
    for (std::size_t d = first; d < first + count; d++)
      plan.destinations.push_back({static_cast<std::int64_t>(d), 1});
    return plan;
  };
  ClientsOptions clients;
  clients.relays = {{"n0", {net::ip::make_address("127.0.0.1"), 18990}}};
  clients.answer_timeout = 5'000'000;
  const auto run = [&](double for_seconds) {
    io.restart();
    net::steady_timer stop(io, std::chrono::microseconds(static_cast<Microseconds>(for_seconds * 1e6)));
    stop.async_wait([&](auto) { io.stop(); });
    io.run();
  };
  run(0.5);
  if (silent > 0) {
    clients.plan = plan_to(destinations, 1, 1'500);
    Clients fill(io, clients);
    fill.start();
    run(static_cast<double>(silent) / 1'500);
  }
  clients.plan = plan_to(0, destinations, rate);
  clients.seed = 2;  // a seed other than the first clients', so that ids differ
  clients.on_try = [&](const Message& m) { sent.emplace(m.id, steady_time()); };
  Clients good(io, clients);
  good.start();
  run(0.5);
  measured_from = steady_time();
  const double before = cpu_seconds(relay);
  run(seconds);
  const double used = cpu_seconds(relay) - before;
  const Microseconds now = steady_time();
  std::printf(
      "%.0f/s to %zu destinations, %zu held for a silent one: %.0f/s delivered, CPU %.1f us a message, "
      "p50 %.2f ms, p99 %.2f ms, twice %llu\n",
      rate, destinations, silent, static_cast<double>(arrived) / seconds,
      used * 1e6 / static_cast<double>(arrived), static_cast<double>(latencies.quantile(now, 0.5)) / 1e3,
      static_cast<double>(latencies.quantile(now, 0.99)) / 1e3, static_cast<unsigned long long>(twice));
  kill(relay, SIGKILL);
  waitpid(relay, nullptr, 0);
  std::filesystem::remove_all(folder);
}

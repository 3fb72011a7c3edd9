#include "rig.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace heronvane::rig {

namespace {

constexpr Ms kScanDelay = 200;  // allowed from an event to the scan that finds it
constexpr Ms kMinPause = 200, kMaxPause = 2'000;

void sleep_ms(Ms ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

std::uint64_t environment(const char* name, std::uint64_t default_value) {
  const char* const value = std::getenv(name);
  return value == nullptr || *value == '\0' ? default_value : std::strtoull(value, nullptr, 10);
}

// ---- Fault injector. ----
FaultInjector::FaultInjector(Sampler& sampler, std::vector<std::string> names, Ms span, std::uint64_t seed)
    : sampler_(sampler), names_(std::move(names)), random_(seed) {
  for (std::size_t i = 0; i < names_.size() / 2; i++) {
    Fault fault;
    fault.at = static_cast<Ms>(random_() % static_cast<std::uint64_t>(span));
    const auto draw = random_() % 10;
    fault.kind = draw < 5 ? Kind::kill : draw < 8 ? Kind::pause : Kind::stop;
    fault.lasts = kMinPause + static_cast<Ms>(random_() % (kMaxPause - kMinPause));
    faults_.push_back(fault);
  }
  std::sort(faults_.begin(), faults_.end(),
            [](const Fault& left, const Fault& right) { return left.at < right.at; });
  thread_ = std::thread([this] { run(); });
}

FaultInjector::~FaultInjector() { finish(); }

void FaultInjector::finish() {
  finish_ = true;
  if (thread_.joinable()) thread_.join();
}

void FaultInjector::run() {
  const Ms began = now_ms();
  struct Paused {
    Ms until;
    std::string name;
    lab::Process relay;
  };
  std::vector<Paused> paused;
  auto next = faults_.begin();
  while ((next != faults_.end() && !finish_) || !paused.empty()) {
    sleep_ms(3);
    for (auto& p : paused) {
      if (now_ms() < p.until) continue;
      p.relay.signal(SIGCONT);
      const std::lock_guard lock(mutex_);
      resumed_[p.name].push_back(now_ms());
    }
    std::erase_if(paused, [](const Paused& p) { return now_ms() >= p.until + 1; });
    if (finish_ || next == faults_.end() || now_ms() < began + next->at) continue;
    const Fault fault = *next++;
    std::vector<std::string> candidates;
    for (const auto& [name, pid] : sampler_.alive())
      if (fault_counts_.count(name) == 0 && std::find(names_.begin(), names_.end(), name) != names_.end())
        candidates.push_back(name);
    const std::string name = candidates.empty() ? "" : candidates[random_() % candidates.size()];
    auto relay = name.empty() ? lab::Process() : sampler_.open(name);
    if (!relay || !relay.signal(fault.kind == Kind::kill ? SIGKILL : SIGSTOP)) {
      missed_++;
      continue;
    }
    const std::lock_guard lock(mutex_);
    fault_counts_[name]++;
    switch (fault.kind) {
      case Kind::kill:
        killed_++;
        break;
      case Kind::pause:
        paused_++;
        paused.push_back({now_ms() + fault.lasts, name, std::move(relay)});
        break;
      case Kind::stop:
        stopped_.push_back(std::move(relay));
        break;
    }
  }
}

bool FaultInjector::stopped_are_ended() const {
  const std::lock_guard lock(mutex_);
  return std::all_of(stopped_.begin(), stopped_.end(), [](const lab::Process& p) { return p.ended(); });
}
std::map<std::string, int> FaultInjector::fault_counts() const {
  const std::lock_guard lock(mutex_);
  return fault_counts_;
}
std::map<std::string, std::vector<Ms>> FaultInjector::resumed() const {
  const std::lock_guard lock(mutex_);
  return resumed_;
}
std::string FaultInjector::text() const {
  const std::lock_guard lock(mutex_);
  return "killed=" + std::to_string(killed_) + " paused=" + std::to_string(paused_) +
         " stopped=" + std::to_string(stopped_.size()) + " missed=" + std::to_string(missed_);
}

// ---- Rig. ----
void Rig::begin(int count, std::uint64_t seed) {
  count_ = count, seed_ = seed;
  random_.seed(seed);
  machine_ = std::make_unique<Machine>(count);
  traffic_ = std::make_unique<Traffic>(ledger_, seed, machine_->unused_address());
  machine_->write_fleet(traffic_->partners());
  machine_->start_agent();
  operate({"apply", machine_->folder() + "/fleet.toml", "--yes"});
  wait_for([this] { return machine_->all_in("ready"); }, "all relays are ready");
  traffic_->start_clients(machine_->relays(),
                          static_cast<double>(environment("HERONVANE_FLEET_RATE", 20)) * count);
  expect_serving();
}

std::vector<std::string> Rig::names() const {
  std::vector<std::string> all;
  for (int i = 0; i < count_; i++) all.push_back(machine_->name(i));
  return all;
}

Ms Rig::operate(const std::vector<std::string>& words) {
  std::string command_line;
  for (const auto& w : words) command_line += (command_line.empty() ? "" : " ") + w;
  for (int attempt = 0; attempt < 3; attempt++) {
    const ToolResult result = machine_->tool(words);
    if (result.status == 0) return result.duration;
    // The tool must name each instance with an unfinished step.
    const auto operations = machine_->operations();
    std::string unfinished;
    if (!operations.empty())
      for (const auto& l : operations.front().unfinished_steps) {
        unfinished += "  " + l + "\n";
        EXPECT_NE(result.out.find(l.substr(0, l.find(' '))), std::string::npos) << l << "\n" << result.out;
      }
    std::printf("%s: status %d, unfinished:\n%s%s", command_line.c_str(), result.status, unfinished.c_str(),
                result.err.c_str());
    std::fflush(stdout);
    if (result.status != 4 || unfinished.empty()) {
      ADD_FAILURE() << command_line << ": status " << result.status << "\n"
                    << result.out << result.err << state();
      return result.duration;
    }
  }
  ADD_FAILURE() << command_line << ": not done in three runs\n" << state();
  return 0;
}

void Rig::expect_serving() {
  wait_for([this] { return machine_->all_in("ready"); }, "all relays are ready");
  for (int i = 0; i < count_; i++)
    wait_for([&] { return machine_->healthy(i); }, "the health check of each relay gives 200");
  const auto before = traffic_->taken();
  wait_for(
      [&] {
        const auto now = traffic_->taken();
        for (std::size_t i = 0; i < now.size(); i++)
          if (now[i] <= before[i]) return false;
        return true;
      },
      "all relays accept new messages");
}

std::map<std::string, std::size_t> Rig::starts() const {
  machine_->sampler().wait_for_full_scan();
  std::map<std::string, std::size_t> all;
  for (const auto& n : names()) all[n] = machine_->sampler().runs(n).size();
  return all;
}

void Rig::expect_starts(const std::map<std::string, std::size_t>& before, std::size_t most,
                        const std::map<std::string, int>& fault_counts, const char* when) {
  for (const auto& [name, count] : starts()) {
    const auto fault = fault_counts.find(name);
    const auto allowed = most + static_cast<std::size_t>(fault == fault_counts.end() ? 0 : fault->second);
    EXPECT_LE(count - before.at(name), allowed) << name << " was started too often " << when << "\n"
                                                << machine_->log();
  }
}

void Rig::record_resumed(const FaultInjector& faults) {
  for (const auto& [name, all] : faults.resumed())
    resumed_[name].insert(resumed_[name].end(), all.begin(), all.end());
}

std::string Rig::state() {
  std::string text;
  for (const auto& i : machine_->instances()) text += i.name + " " + i.phase + "\n";
  for (const auto& o : machine_->operations()) {
    text += std::to_string(o.id) + " " + o.kind + " " + o.state + " " + o.message + "\n";
    for (const auto& l : o.unfinished_steps) text += "  " + l + "\n";
  }
  return text + machine_->log();
}

void Rig::stop_and_verify() {
  traffic_->stop_clients();
  wait_for(
      [this] {
        ledger_.set_notices(machine_->notices());
        if (ledger_.open_count() == 0) return true;
        sleep_ms(200);
        return false;
      },
      "all accepted messages have ended");
  sleep_ms(500);  // for late second ends
  ledger_.set_notices(machine_->notices());
  const auto last_return = [this](std::size_t relay, Ms before) {
    Ms last = 0;
    const auto update = [&](Ms at) {
      // Found by scans, so a little later than the event.
      if (at <= before + kScanDelay) last = std::max(last, std::min(at, before));
    };
    const auto name = machine_->name(static_cast<int>(relay));
    const auto runs = machine_->sampler().runs(name);
    for (std::size_t i = 1; i < runs.size(); i++) update(runs[i].seen);
    for (std::size_t i = 1; i < machine_->agent_starts().size(); i++) update(machine_->agent_starts()[i]);
    for (const Ms at : resumed_[name]) update(at);
    return last;
  };
  const Tally tally = ledger_.evaluate(last_return);
  std::printf("fleet: seed=%llu instances=%d %s\n", static_cast<unsigned long long>(seed_), count_,
              tally.text().c_str());
  if (!ledger_.report().empty()) std::printf("%s", ledger_.report().c_str());
  std::fflush(stdout);
  EXPECT_EQ(tally.faults(), 0u);
  EXPECT_EQ(machine_->sampler().duplicates(), "") << "two processes on one state folder";
  EXPECT_GT(machine_->sampler().scans(), 20u);
  EXPECT_GT(tally.delivered, 0u);
  // Checks of times: only on request, on a machine of known speed.
  if (environment("HERONVANE_FLEET_STRICT", 0) != 0) {
    EXPECT_EQ(tally.overdue + tally.late_unkilled, 0u);
  }
}

}  // namespace heronvane::rig

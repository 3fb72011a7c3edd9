#include "rig.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace heronvane::rig {

namespace {

constexpr Ms kSeenAfter = 200;
constexpr Ms kPauseLeast = 200, kPauseMost = 2'000;

void sleep_ms(Ms ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

std::uint64_t environment(const char* name, std::uint64_t otherwise) {
  const char* const value = std::getenv(name);
  return value == nullptr || *value == '\0' ? otherwise : std::strtoull(value, nullptr, 10);
}

// ---- Attacks. ----
Attacks::Attacks(Sampler& sampler, std::vector<std::string> names, Ms span, std::uint64_t seed)
    : sampler_(sampler), names_(std::move(names)), random_(seed) {
  for (std::size_t i = 0; i < names_.size() / 2; i++) {
    Blow b;
    b.at = static_cast<Ms>(random_() % static_cast<std::uint64_t>(span));
    const auto lot = random_() % 10;
    b.how = lot < 5 ? How::kill : lot < 8 ? How::pause : How::stop;
    b.lasts = kPauseLeast + static_cast<Ms>(random_() % (kPauseMost - kPauseLeast));
    blows_.push_back(b);
  }
  std::sort(blows_.begin(), blows_.end(), [](const Blow& a, const Blow& b) { return a.at < b.at; });
  thread_ = std::thread([this] { run(); });
}

Attacks::~Attacks() { finish(); }

void Attacks::finish() {
  finish_ = true;
  if (thread_.joinable()) thread_.join();
}

void Attacks::run() {
  const Ms began = now_ms();
  struct Paused {
    Ms until;
    std::string name;
    lab::Process relay;
  };
  std::vector<Paused> paused;
  auto next = blows_.begin();
  while ((next != blows_.end() && !finish_) || !paused.empty()) {
    sleep_ms(3);
    for (auto& p : paused) {
      if (now_ms() < p.until) continue;
      p.relay.signal(SIGCONT);
      const std::lock_guard lock(mutex_);
      continued_[p.name].push_back(now_ms());
    }
    std::erase_if(paused, [](const Paused& p) { return now_ms() >= p.until + 1; });
    if (finish_ || next == blows_.end() || now_ms() < began + next->at) continue;
    const Blow blow = *next++;
    std::vector<std::string> open;
    for (const auto& [name, pid] : sampler_.alive())
      if (hit_.count(name) == 0 && std::find(names_.begin(), names_.end(), name) != names_.end())
        open.push_back(name);
    const std::string name = open.empty() ? "" : open[random_() % open.size()];
    auto relay = name.empty() ? lab::Process() : sampler_.open(name);
    if (!relay || !relay.signal(blow.how == How::kill ? SIGKILL : SIGSTOP)) {
      missed_++;
      continue;
    }
    const std::lock_guard lock(mutex_);
    hit_[name]++;
    switch (blow.how) {
      case How::kill:
        killed_++;
        break;
      case How::pause:
        paused_++;
        paused.push_back({now_ms() + blow.lasts, name, std::move(relay)});
        break;
      case How::stop:
        stopped_.push_back(std::move(relay));
        break;
    }
  }
}

bool Attacks::stopped_ended() const {
  const std::lock_guard lock(mutex_);
  return std::all_of(stopped_.begin(), stopped_.end(), [](const lab::Process& p) { return p.ended(); });
}
std::map<std::string, int> Attacks::hit() const {
  const std::lock_guard lock(mutex_);
  return hit_;
}
std::map<std::string, std::vector<Ms>> Attacks::continued() const {
  const std::lock_guard lock(mutex_);
  return continued_;
}
std::string Attacks::text() const {
  const std::lock_guard lock(mutex_);
  return "killed=" + std::to_string(killed_) + " paused=" + std::to_string(paused_) +
         " stopped=" + std::to_string(stopped_.size()) + " missed=" + std::to_string(missed_);
}

// ---- Rig. ----
void Rig::begin(int count, std::uint64_t seed) {
  count_ = count, seed_ = seed;
  random_.seed(seed);
  machine_ = std::make_unique<Machine>(count);
  world_ = std::make_unique<World>(books_, seed, machine_->nobody());
  machine_->write_fleet(world_->partners());
  machine_->start_agent();
  operate({"apply", machine_->folder() + "/fleet.toml", "--yes"});
  wait_for([this] { return machine_->all_in("ready"); }, "all are ready");
  world_->start_clients(machine_->relays(),
                        static_cast<double>(environment("HERONVANE_FLEET_RATE", 20)) * count);
  expect_serving();
}

std::vector<std::string> Rig::names() const {
  std::vector<std::string> all;
  for (int i = 0; i < count_; i++) all.push_back(machine_->name(i));
  return all;
}

Ms Rig::operate(const std::vector<std::string>& words) {
  std::string said;
  for (const auto& w : words) said += (said.empty() ? "" : " ") + w;
  for (int turn = 0; turn < 3; turn++) {
    const Ran ran = machine_->tool(words);
    if (ran.status == 0) return ran.took;
    // What is left is named by the tool, and so by the agent.
    const auto operations = machine_->operations();
    std::string left;
    if (!operations.empty())
      for (const auto& l : operations.front().left) {
        left += "  " + l + "\n";
        EXPECT_NE(ran.out.find(l.substr(0, l.find(' '))), std::string::npos) << l << "\n" << ran.out;
      }
    std::printf("%s: status %d, left:\n%s%s", said.c_str(), ran.status, left.c_str(), ran.err.c_str());
    std::fflush(stdout);
    if (ran.status != 4 || left.empty()) {
      ADD_FAILURE() << said << ": status " << ran.status << "\n" << ran.out << ran.err << state();
      return ran.took;
    }
  }
  ADD_FAILURE() << said << ": not done in three turns\n" << state();
  return 0;
}

void Rig::expect_serving() {
  wait_for([this] { return machine_->all_in("ready"); }, "all are ready");
  for (int i = 0; i < count_; i++) wait_for([&] { return machine_->healthy(i); }, "its health is 200");
  const auto before = world_->taken();
  wait_for(
      [&] {
        const auto now = world_->taken();
        for (std::size_t i = 0; i < now.size(); i++)
          if (now[i] <= before[i]) return false;
        return true;
      },
      "all take new messages");
}

std::map<std::string, std::size_t> Rig::starts() const {
  machine_->sampler().look_twice();
  std::map<std::string, std::size_t> all;
  for (const auto& n : names()) all[n] = machine_->sampler().runs(n).size();
  return all;
}

void Rig::expect_starts(const std::map<std::string, std::size_t>& before, std::size_t most,
                        const std::map<std::string, int>& blows, const char* when) {
  for (const auto& [name, count] : starts()) {
    const auto blow = blows.find(name);
    const auto allowed = most + static_cast<std::size_t>(blow == blows.end() ? 0 : blow->second);
    EXPECT_LE(count - before.at(name), allowed) << name << " was started too often " << when << "\n"
                                                << machine_->log();
  }
}

void Rig::went_on(const Attacks& attacks) {
  for (const auto& [name, all] : attacks.continued())
    continued_[name].insert(continued_[name].end(), all.begin(), all.end());
}

std::string Rig::state() {
  std::string text;
  for (const auto& i : machine_->instances()) text += i.name + " " + i.phase + "\n";
  for (const auto& o : machine_->operations()) {
    text += std::to_string(o.id) + " " + o.kind + " " + o.state + " " + o.message + "\n";
    for (const auto& l : o.left) text += "  " + l + "\n";
  }
  return text + machine_->log();
}

void Rig::settle() {
  world_->stop_clients();
  wait_for(
      [this] {
        books_.notices(machine_->notices());
        if (books_.open() == 0) return true;
        sleep_ms(200);
        return false;
      },
      "all that was taken on has an end");
  sleep_ms(500);  // for what comes twice
  books_.notices(machine_->notices());
  const auto up = [this](std::size_t relay, Ms before) {
    Ms last = 0;
    const auto take = [&](Ms at) {
      // Seen by looking again and again, so a little after it was so.
      if (at <= before + kSeenAfter) last = std::max(last, std::min(at, before));
    };
    const auto name = machine_->name(static_cast<int>(relay));
    const auto runs = machine_->sampler().runs(name);
    for (std::size_t i = 1; i < runs.size(); i++) take(runs[i].seen);
    for (std::size_t i = 1; i < machine_->agent_starts().size(); i++) take(machine_->agent_starts()[i]);
    for (const Ms at : continued_[name]) take(at);
    return last;
  };
  const Tally tally = books_.judge(up);
  std::printf("fleet: seed=%llu instances=%d %s\n", static_cast<unsigned long long>(seed_), count_,
              tally.text().c_str());
  if (!books_.charges().empty()) std::printf("%s", books_.charges().c_str());
  std::fflush(stdout);
  EXPECT_EQ(tally.faults(), 0u);
  EXPECT_EQ(machine_->sampler().doubles(), "") << "two processes on one state folder";
  EXPECT_GT(machine_->sampler().looks(), 20u);
  EXPECT_GT(tally.delivered, 0u);
  // By the clock: only where asked for, on a machine that is known.
  if (environment("HERONVANE_FLEET_STRICT", 0) != 0) {
    EXPECT_EQ(tally.overdue + tally.late_unkilled, 0u);
  }
}

}  // namespace heronvane::rig

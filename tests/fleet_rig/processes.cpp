#include "processes.hpp"

#include <dirent.h>
#include <signal.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>

namespace heronvane::rig {

namespace {

// Without stream iterators, which throw if the process ends between open and read.
std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string all;
  char piece[4096];
  while (in.read(piece, sizeof piece) || in.gcount() > 0)
    all.append(piece, static_cast<std::size_t>(in.gcount()));
  return all;
}

// Field `number` (3 or higher) of /proc/PID/stat; 0 if the process does not exist or has ended.
std::uint64_t stat_of(pid_t pid, int number) {
  const std::string stat = read_file("/proc/" + std::to_string(pid) + "/stat");
  const auto name_end = stat.rfind(')');
  if (name_end == std::string::npos || name_end + 2 >= stat.size()) return 0;
  if (stat[name_end + 2] == 'Z' || stat[name_end + 2] == 'X') return 0;
  std::size_t at = name_end + 2;
  for (int field = 3; field < number && at != std::string::npos; field++) {
    at = stat.find(' ', at);
    if (at != std::string::npos) at++;
  }
  return at == std::string::npos ? 0 : std::strtoull(stat.c_str() + at, nullptr, 10);
}

std::uint64_t start_time(pid_t pid) { return stat_of(pid, 22); }
pid_t parent_of(pid_t pid) { return static_cast<pid_t>(stat_of(pid, 4)); }

}  // namespace

Sampler::Sampler(std::string data)
    : prefix_(std::move(data) + "/instances/"), thread_([this] {
        while (!ending_) {
          scan();
          scans_++;
          std::this_thread::sleep_for(std::chrono::milliseconds(15));
        }
      }) {}

Sampler::~Sampler() {
  ending_ = true;
  thread_.join();
}

// The instance whose relay the process is, and the start time of the process; nothing for other processes.
std::optional<std::pair<std::string, std::uint64_t>> Sampler::relay_of(pid_t pid) const {
  const std::string command_line = read_file("/proc/" + std::to_string(pid) + "/cmdline");
  const std::string before = std::string("--state") + '\0' + prefix_;
  const auto at = command_line.find(before);
  if (at == std::string::npos) return std::nullopt;
  const auto from = at + before.size();
  const auto to = command_line.find('/', from);
  if (to == std::string::npos) return std::nullopt;
  const auto start = start_time(pid);
  if (start == 0) return std::nullopt;
  // Under AddressSanitizer, a relay that ends checks for leaks in a child process, which is not a second
  // relay.
  const std::string parent = read_file("/proc/" + std::to_string(parent_of(pid)) + "/cmdline");
  if (parent.find(before + command_line.substr(from, to - from) + '/') != std::string::npos)
    return std::nullopt;
  return std::pair(command_line.substr(from, to - from), start);
}

void Sampler::scan() {
  std::map<std::string, std::vector<Run>> now;
  DIR* const proc = ::opendir("/proc");
  if (proc == nullptr) return;
  while (const dirent* const entry = ::readdir(proc)) {
    const auto pid = static_cast<pid_t>(std::atoi(entry->d_name));
    if (pid <= 0 || pid == ::getpid()) continue;
    if (const auto relay = relay_of(pid)) now[relay->first].push_back({pid, relay->second, now_ms()});
  }
  ::closedir(proc);
  const std::lock_guard lock(mutex_);
  alive_.clear();
  for (auto& [name, all] : now) {
    // A scan takes time: only those that still run after the scan have run at the same time.
    if (all.size() > 1) {
      std::string text;
      int running = 0;
      for (const auto& r : all) {
        if (start_time(r.pid) != r.start_time) continue;
        running++;
        text += " " + std::to_string(r.pid);
      }
      if (running > 1) duplicates_ += name + ":" + text + "\n";
    }
    auto& known_runs = runs_[name];
    for (const auto& r : all) {
      alive_[name] = r.pid;
      const bool known_before = std::any_of(known_runs.begin(), known_runs.end(), [&](const Run& k) {
        return k.pid == r.pid && k.start_time == r.start_time;
      });
      if (known_before) continue;
      known_runs.push_back(r);
      unreaped_.insert(r.pid);
    }
  }
  // Relays whose agent was killed are children of the rig now.
  std::erase_if(unreaped_, [](pid_t pid) {
    return ::waitpid(pid, nullptr, WNOHANG) == pid || (::kill(pid, 0) != 0 && errno == ESRCH);
  });
}

std::vector<Sampler::Run> Sampler::runs(const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto it = runs_.find(instance);
  return it == runs_.end() ? std::vector<Run>() : it->second;
}
std::map<std::string, pid_t> Sampler::alive() const {
  const std::lock_guard lock(mutex_);
  return alive_;
}
lab::Process Sampler::open(const std::string& instance) const {
  const auto all = alive();
  const auto it = all.find(instance);
  if (it == all.end()) return {};
  lab::Process process(it->second, static_cast<int>(::syscall(SYS_pidfd_open, it->second, 0)));
  if (!process) return process;
  const auto relay = relay_of(it->second);
  if (!relay || relay->first != instance || process.ended()) return {};
  return process;
}
std::string Sampler::duplicates() const {
  const std::lock_guard lock(mutex_);
  return duplicates_;
}
void Sampler::wait_for_full_scan() const {
  const auto until = scans_ + 2;
  while (scans_ < until) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

}  // namespace heronvane::rig

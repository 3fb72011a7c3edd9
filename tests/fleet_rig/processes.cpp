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

// Not by stream iterators: they throw where a process has ended between open and read.
std::string whole(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string all;
  char piece[4096];
  while (in.read(piece, sizeof piece) || in.gcount() > 0)
    all.append(piece, static_cast<std::size_t>(in.gcount()));
  return all;
}

// A field past the second of /proc/PID/stat; 0 where it is none, or has ended.
std::uint64_t stat_of(pid_t pid, int number) {
  const std::string stat = whole("/proc/" + std::to_string(pid) + "/stat");
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
          look();
          looks_++;
          std::this_thread::sleep_for(std::chrono::milliseconds(15));
        }
      }) {}

Sampler::~Sampler() {
  ending_ = true;
  thread_.join();
}

// The instance whose relay that process is, and its start.
std::optional<std::pair<std::string, std::uint64_t>> Sampler::relay_of(pid_t pid) const {
  const std::string words = whole("/proc/" + std::to_string(pid) + "/cmdline");
  const std::string before = std::string("--state") + '\0' + prefix_;
  const auto at = words.find(before);
  if (at == std::string::npos) return std::nullopt;
  const auto from = at + before.size();
  const auto to = words.find('/', from);
  if (to == std::string::npos) return std::nullopt;
  const auto start = start_time(pid);
  if (start == 0) return std::nullopt;
  // Under the address sanitizer a relay that ends looks for leaks from a child of its own: no second relay.
  const std::string parent = whole("/proc/" + std::to_string(parent_of(pid)) + "/cmdline");
  if (parent.find(before + words.substr(from, to - from) + '/') != std::string::npos) return std::nullopt;
  return std::pair(words.substr(from, to - from), start);
}

void Sampler::look() {
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
    // A look takes time: only those that still stand when the last has been seen stood at once.
    if (all.size() > 1) {
      std::string text;
      int standing = 0;
      for (const auto& r : all) {
        if (start_time(r.pid) != r.start_time) continue;
        standing++;
        text += " " + std::to_string(r.pid);
      }
      if (standing > 1) doubles_ += name + ":" + text + "\n";
    }
    auto& known = runs_[name];
    for (const auto& r : all) {
      alive_[name] = r.pid;
      const bool old = std::any_of(known.begin(), known.end(), [&](const Run& k) {
        return k.pid == r.pid && k.start_time == r.start_time;
      });
      if (old) continue;
      known.push_back(r);
      unreaped_.insert(r.pid);
    }
  }
  // Relays whose agent was killed became children of the rig.
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
std::string Sampler::doubles() const {
  const std::lock_guard lock(mutex_);
  return doubles_;
}
void Sampler::look_twice() const {
  const auto until = looks_ + 2;
  while (looks_ < until) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

}  // namespace heronvane::rig

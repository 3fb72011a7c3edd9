#include "machine.hpp"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace heronvane::rig {

namespace net = boost::asio;

namespace {

constexpr std::uint16_t kFirstPort = 8'081, kPlatformPort = 8'500;
constexpr auto kToolTimeout = std::chrono::seconds(150), kAgentTimeout = std::chrono::seconds(45);

std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// The address and the folder depend on the process id, so that several rigs can run at once.
std::string own_address() {
  const auto pid = ::getpid();
  return "127." + std::to_string(190 + (pid >> 16) % 60) + "." + std::to_string((pid >> 8) % 256) + "." +
         std::to_string(1 + pid % 254);
}
std::string own_folder() {
  static int number = 0;
  const auto folder = std::filesystem::temp_directory_path() /
                      ("heronvane-rig-" + std::to_string(::getpid()) + "-" + std::to_string(++number));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

pid_t spawn(std::vector<std::string> words, const std::string& out, const std::string& err) {
  std::vector<char*> arguments;
  for (auto& w : words) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid(), child = ::fork();
  if (child < 0) throw std::runtime_error("fork");
  if (child > 0) return child;
  // After fork() other threads may have held locks: only async-signal-safe calls from here on.
  ::prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (::getppid() != parent) ::_exit(127);
  const int null = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  const int to = ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const int to_err = ::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(null, STDIN_FILENO), ::dup2(to, STDOUT_FILENO), ::dup2(to_err, STDERR_FILENO);
  ::close_range(3, ~0u, 0);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

rapidjson::Document parsed(const std::string& text) {
  rapidjson::Document v;
  v.Parse(text.data(), text.size());
  return v;
}

std::string text_of(const rapidjson::Value& v, const char* field) {
  return v.HasMember(field) && v[field].IsString() ? v[field].GetString() : "";
}

}  // namespace

Machine::Machine(int count)
    : count_(count), folder_(own_folder()), address_(own_address()), sampler_(folder_ + "/data") {
  ::prctl(PR_SET_CHILD_SUBREAPER, 1);  // relays of a killed agent become children of the rig
}

Machine::~Machine() {
  if (agent_ > 0) kill_agent();
  for (int i = 0; i < count_; i++)
    if (const auto relay = sampler_.open(name(i))) relay.signal(SIGKILL);
  // A relay may have been started after the last scan.
  sampler_.wait_for_full_scan();
  for (int i = 0; i < count_; i++)
    if (const auto relay = sampler_.open(name(i))) relay.signal(SIGKILL);
  while (::waitpid(-1, nullptr, 0) > 0) {
  }
  if (std::getenv("HERONVANE_FLEET_KEEP") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::vector<standins::ClientsOptions::Relay> Machine::relays() const {
  std::vector<standins::ClientsOptions::Relay> all;
  for (int i = 0; i < count_; i++)
    all.push_back({name(i), {net::ip::make_address(address_), static_cast<std::uint16_t>(kFirstPort + i)}});
  return all;
}

void Machine::write_fleet(const std::string& partners) const {
  std::ofstream(folder_ + "/partners.json") << partners;
  std::ofstream out(folder_ + "/fleet.toml");
  out << "[fleet]\nmax_unavailable = 2\nprogram = \"" HERONVANE_PROGRAM
         "\"\n[fleet.limits]\ndisk_mb = 10\nsockets = 256\n[platform]\nlisten = \""
      << address_ << ":" << kPlatformPort << "\"\npartners = \"partners.json\"\n";
  for (int i = 0; i < count_; i++)
    out << "[[instance]]\nname = \"" << name(i) << "\"\nlisten = \"" << address_ << ":" << kFirstPort + i
        << "\"\n";
}

void Machine::start_agent() {
  const std::string log = folder_ + "/agent.log";
  // If the rig is ended, the agent ends with all its relays.
  agent_ = spawn({AGENT_PROGRAM, "--data", data(), "--foreground", "--stop-relays"}, log, log);
  const auto until = std::chrono::steady_clock::now() + kAgentTimeout;
  while (tool({"list", "-o", "json"}).status != 0) {
    if (std::chrono::steady_clock::now() > until)
      throw std::runtime_error("the agent does not answer; its log: " + log);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  agent_starts_.push_back(now_ms());
}

void Machine::kill_agent() {
  ::kill(agent_, SIGKILL);
  ::waitpid(agent_, nullptr, 0);
  agent_ = -1;
}

Machine::Tool Machine::start_tool(const std::vector<std::string>& words) {
  std::vector<std::string> all{TOOL_PROGRAM, "--agent", data() + "/agent.sock"};
  all.insert(all.end(), words.begin(), words.end());
  const std::string output_stem = folder_ + "/tool-" + std::to_string(++tools_);
  return {spawn(std::move(all), output_stem + ".out", output_stem + ".err"), output_stem, now_ms()};
}

bool Machine::ended(const Tool& tool) const {
  siginfo_t how{};
  return ::waitid(P_PID, static_cast<id_t>(tool.pid), &how, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         how.si_pid == tool.pid;
}

ToolResult Machine::finish_tool(const Tool& tool) {
  const auto until = std::chrono::steady_clock::now() + kToolTimeout;
  ToolResult result;
  result.pid = tool.pid;
  int status = 0;
  while (::waitpid(tool.pid, &status, WNOHANG) != tool.pid) {
    if (std::chrono::steady_clock::now() > until) ::kill(tool.pid, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  result.duration = now_ms() - tool.started;
  if (WIFEXITED(status)) result.status = WEXITSTATUS(status);
  result.out = read_file(tool.output_stem + ".out"), result.err = read_file(tool.output_stem + ".err");
  std::error_code ignored;
  std::filesystem::remove(tool.output_stem + ".out", ignored);
  std::filesystem::remove(tool.output_stem + ".err", ignored);
  return result;
}

std::vector<Machine::Operation> Machine::operations() {
  std::vector<Operation> all;
  const auto v = parsed(tool({"history", "--limit", "100", "-o", "json"}).out);
  if (!v.IsObject() || !v.HasMember("operations")) return all;
  for (const auto& o : v["operations"].GetArray()) {
    Operation one{o["id"].GetUint64(),
                  text_of(o, "kind"),
                  text_of(o, "by"),
                  text_of(o, "state"),
                  text_of(o, "message"),
                  {},
                  0};
    if (o.HasMember("steps")) {
      for (const auto& s : o["steps"].GetArray()) {
        const std::string state = text_of(s, "state");
        one.done += state == "done";
        if (state != "done")
          one.unfinished_steps.push_back(text_of(s, "instance") + " " + state + ": " + text_of(s, "what"));
      }
    }
    all.push_back(std::move(one));
  }
  return all;
}

std::vector<Machine::Instance> Machine::instances() {
  std::vector<Instance> all;
  const auto v = parsed(tool({"list", "-o", "json"}).out);
  if (!v.IsObject() || !v.HasMember("instances")) return all;
  for (const auto& i : v["instances"].GetArray())
    all.push_back({text_of(i, "name"), text_of(i, "phase"), i["restarts"].GetUint64()});
  return all;
}

bool Machine::all_in(const std::string& phase) {
  const auto all = instances();
  return all.size() == static_cast<std::size_t>(count_) &&
         std::all_of(all.begin(), all.end(), [&](const Instance& i) { return i.phase == phase; });
}

bool Machine::healthy(int i) const {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const timeval timeout{0, 300'000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const auto at = relays()[static_cast<std::size_t>(i)].address;
  const std::string request = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char answer[13] = {};
  const bool success =
      ::connect(fd, at.data(), static_cast<socklen_t>(at.size())) == 0 &&
      ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()) &&
      ::recv(fd, answer, 12, MSG_WAITALL) == 12;
  ::close(fd);
  return success && std::string(answer).substr(9, 3) == "200";
}

std::vector<Notice> Machine::notices() const {
  std::vector<Notice> all;
  sqlite3* db = nullptr;
  sqlite3_stmt* statement = nullptr;
  if (sqlite3_open_v2((data() + "/finals.db").c_str(), &db, SQLITE_OPEN_READONLY, nullptr) == SQLITE_OK) {
    sqlite3_busy_timeout(db, 2'000);
    if (sqlite3_prepare_v2(db, "SELECT id,status,received_ms,repeats FROM finals", -1, &statement, nullptr) ==
        SQLITE_OK)
      while (sqlite3_step(statement) == SQLITE_ROW)
        all.push_back(
            {reinterpret_cast<const char*>(sqlite3_column_text(statement, 0)),
             std::string(reinterpret_cast<const char*>(sqlite3_column_text(statement, 1))) == "deferred",
             sqlite3_column_int64(statement, 2), sqlite3_column_int64(statement, 3)});
  }
  sqlite3_finalize(statement);
  sqlite3_close(db);
  return all;
}

std::string Machine::log() const {
  const std::string all = read_file(folder_ + "/agent.log");
  return all.substr(all.size() > 6'000 ? all.size() - 6'000 : 0);
}

}  // namespace heronvane::rig

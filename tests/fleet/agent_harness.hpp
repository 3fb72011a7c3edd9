// Runs the real agent as a child process with stand-ins for relays, in its own folder. Tests wait for
// conditions, never for a fixed time.
#pragma once

#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "json.hpp"
#include "process.hpp"

namespace heronvane::fleet::testing {

constexpr auto kTimeout = std::chrono::seconds(45);

struct Answer {
  unsigned status = 0;  // 0: no complete answer
  std::string head, body;
  rapidjson::Document json() const {
    try {
      return parse_json(body);
    } catch (const JsonError&) {
      return rapidjson::Document();
    }
  }
};

inline int connect_to(const std::string& path) {
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::memcpy(at.sun_path, path.data(), std::min(path.size(), sizeof at.sun_path - 1));
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    const timeval patience{20, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    return fd;
  }
  ::close(fd);
  return -1;
}
// Sends `bytes` and returns all that is received until the peer closes.
inline std::string send_and_receive(const std::string& path, const std::string& bytes) {
  const int fd = connect_to(path);
  if (fd < 0) return {};
  std::string all;
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
    char piece[4096];
    for (ssize_t n = 0; (n = ::recv(fd, piece, sizeof piece, 0)) > 0;)
      all.append(piece, static_cast<std::size_t>(n));
  }
  ::close(fd);
  return all;
}
inline Answer read_answer(const std::string& all) {
  Answer a;
  const auto end = all.find("\r\n\r\n");
  if (end == std::string::npos || all.size() < 12) return a;
  a.status = static_cast<unsigned>(std::stoul(all.substr(9, 3)));
  a.head = all.substr(0, end + 2);
  a.body = all.substr(end + 4);
  if (a.head.find("chunked") == std::string::npos) return a;
  std::string rest;
  rest.swap(a.body);
  while (true) {
    const auto line = rest.find("\r\n");
    if (line == std::string::npos) break;
    const auto size = std::stoul(rest.substr(0, line), nullptr, 16);
    if (size == 0) break;
    a.body += rest.substr(line + 2, size);
    rest.erase(0, line + 2 + size + 2);
  }
  return a;
}
inline Answer ask(const std::string& path, const std::string& method, const std::string& target,
                  const std::string& body = "") {
  return read_answer(send_and_receive(
      path, method + " " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body));
}

class AgentTest : public ::testing::Test {
 protected:
  AgentTest() {
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);  // relays of a killed agent become children of the test
    folder = (std::filesystem::temp_directory_path() / ("heronvane-agent-test-" + std::to_string(::getpid())))
                 .string();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
  }
  ~AgentTest() override {
    if (agent > 0) kill_agent();
    for (const auto& [run, id] : relays()) ::kill(id.pid, SIGKILL);
    while (::waitpid(-1, nullptr, 0) > 0) {
    }
    if (!HasFailure()) std::filesystem::remove_all(folder);
  }

  std::string data() const { return folder + "/data"; }
  std::string socket() const { return data() + "/agent.sock"; }

  void start_agent(std::vector<std::string> extra = {}, bool wait = true) {
    std::vector<std::string> words{AGENT_PROGRAM, "--data", data()};
    if (foreground) words.push_back("--foreground");
    words.insert(words.end(), extra.begin(), extra.end());
    agent = ::fork();
    if (agent == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("STANDIN_OWNER", std::to_string(::getppid()).c_str(), 1);
      for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
      if (std::freopen((folder + "/agent.log").c_str(), "a", stderr) == nullptr) ::_exit(126);
      std::vector<char*> arguments;
      for (auto& w : words) arguments.push_back(w.data());
      arguments.push_back(nullptr);
      ::execv(AGENT_PROGRAM, arguments.data());
      ::_exit(127);
    }
    if (wait) wait_for([this] { return get("/v1/agent").status == 200; }, "the agent answers");
  }
  void kill_agent() {
    ::kill(agent, SIGKILL);
    ::waitpid(agent, nullptr, 0);
    agent = -1;
  }
  // Whether the agent has ended; reaps it then and stores its wait status.
  bool agent_ended(int* status = nullptr) {
    int how = 0;
    if (agent > 0 && ::waitpid(agent, &how, WNOHANG) != agent) return false;
    if (status != nullptr) *status = how;
    agent = -1;
    return true;
  }

  Answer get(const std::string& target) { return ask(socket(), "GET", target); }
  Answer post(const std::string& body) { return ask(socket(), "POST", "/v1/operations", body); }

  std::string fleet(int count, const std::string& extra = "") const {
    std::string all;
    for (int i = 0; i < count; i++)
      all += std::string(i > 0 ? "," : "") + R"({"name":"n)" + std::to_string(i) +
             R"(","listen":"127.0.0.1:)" + std::to_string(20000 + i) + "\"}";
    return R"({"program":")" + program + R"(","discovery":"127.0.0.1:1")" + extra + R"(,"instances":[)" +
           all + "]}";
  }
  static std::string apply(const std::string& fleet) {
    return R"({"kind":"apply","by":"test","fleet":)" + fleet + "}";
  }

  // The id of the operation that this request creates; 0 if it is refused.
  std::uint64_t start_operation(const std::string& body) {
    const auto a = post(body);
    EXPECT_EQ(a.status, 202u) << body << "\n" << a.body;
    const auto v = a.json();
    return v.IsObject() && v.HasMember("id") ? v["id"].GetUint64() : 0;
  }
  std::string state_of(std::uint64_t id) {
    const auto v = get("/v1/operations/" + std::to_string(id)).json();
    return v.IsObject() && v.HasMember("state") ? v["state"].GetString() : "";
  }
  void wait_done(std::uint64_t id, const std::string& state = "done") {
    wait_for(
        [&] {
          const auto s = state_of(id);
          return !s.empty() && s != "running";
        },
        "the operation ends");
    EXPECT_EQ(state_of(id), state) << get("/v1/operations/" + std::to_string(id)).body;
  }
  struct InstanceState {
    std::string phase, run, desired, last_exit;
    int pid = 0;
    std::uint64_t restarts = 0, operation = 0;
  };
  std::map<std::string, InstanceState> instances() {
    std::map<std::string, InstanceState> all;
    const auto v = get("/v1/instances").json();
    if (!v.IsObject() || !v.HasMember("instances")) return all;
    for (const auto& i : v["instances"].GetArray())
      all[i["name"].GetString()] = {i["phase"].GetString(),    i["run"].GetString(),
                                    i["desired"].GetString(),  i["last_exit"].GetString(),
                                    i["pid"].GetInt(),         i["restarts"].GetUint64(),
                                    i["operation"].GetUint64()};
    return all;
  }
  std::string phase(const std::string& name) { return instances()[name].phase; }
  bool all_in_phase(const std::string& phase, std::size_t count) {
    const auto all = instances();
    std::size_t n = 0;
    for (const auto& [name, i] : all) n += i.phase == phase;
    return n == count && all.size() == count;
  }
  // Applies a fleet of stand-ins and waits until all are ready.
  void apply_standins(int count, const std::string& extra = "") {
    wait_done(start_operation(apply(fleet(count, extra))));
    if (!all_in_phase("ready", static_cast<std::size_t>(count)))
      wait_done(start_operation(R"({"kind":"up","names":"all"})"));
    wait_for([&] { return all_in_phase("ready", static_cast<std::size_t>(count)); }, "all are ready");
  }

  // The relay processes of this test, by run.
  std::multimap<std::string, ProcessId> relays() const {
    std::multimap<std::string, ProcessId> all;
    for (const auto& [run, id] : find_by_option("--run")) {
      const auto state = argument_of(id.pid, "--state");
      if (state && state->rfind(data() + "/", 0) == 0) all.emplace(run, id);
    }
    return all;
  }
  std::string instance_log(const std::string& name) const {
    return read_file(data() + "/instances/" + name + "/log");
  }
  // Checks that no two processes have ever used one state folder at the same time.
  void expect_single(int count) {
    for (int i = 0; i < count; i++)
      EXPECT_EQ(instance_log("n" + std::to_string(i)).find("TWO PROCESSES"), std::string::npos) << i;
  }
  // Changes the agent's database; the agent must not run.
  void edit_database(const std::string& sql) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open((data() + "/agent.db").c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, sql.c_str(), nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
    sqlite3_close(db);
  }
  void set_behaviour(const std::string& name, const std::string& words) {
    std::ofstream(data() + "/instances/" + name + "/behave") << words;
  }
  static std::string read_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  template <class Condition>
  void wait_for(Condition condition, const char* what) {
    const auto until = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) {
        FAIL() << "waited in vain until " << what << "; instances: " << get("/v1/instances").body
               << "\noperations: " << get("/v1/operations?limit=3").body << "\nlog:\n"
               << read_file(folder + "/agent.log");
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::string folder, program = STANDIN_PROGRAM;
  std::map<std::string, std::string> environment{{"HERONVANE_AGENT_HASTE", "1"}};
  bool foreground = true;
  pid_t agent = -1;
};

}  // namespace heronvane::fleet::testing

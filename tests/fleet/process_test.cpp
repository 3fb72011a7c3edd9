// Processes that the agent starts, watches and signals.
#include "process.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace heronvane::fleet::testing {
namespace {

class ProcessTest : public ::testing::Test {
 protected:
  ProcessTest() {
    folder =
        (std::filesystem::temp_directory_path() / ("heronvane-process-test-" + std::to_string(::getpid())))
            .string();
    std::filesystem::create_directories(folder);
  }
  ~ProcessTest() override { std::filesystem::remove_all(folder); }

  Command shell(const std::string& script) const {
    return {"/bin/sh", {"-c", script}, folder, folder + "/log", {"HIDDEN"}};
  }
  std::string log() const {
    std::ifstream in(folder + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  // Runs the script and returns how it ended.
  ExitStatus run(const std::string& script) {
    pid_t pid = 0;
    EXPECT_FALSE(start_detached(shell(script), pid));
    return await(identify(pid).value_or(ProcessId{pid, 0, ""}));
  }
  ExitStatus await(const ProcessId& id, int signal = 0) {
    std::error_code bad;
    std::optional<ExitStatus> ending;
    const auto process = Process::open(
        io, id, [&](ExitStatus e) { ending = e; }, bad);
    EXPECT_FALSE(bad) << bad.message();
    if (!process) return {};
    if (signal != 0) {
      EXPECT_FALSE(process->signal(signal));
    }
    io.restart();
    io.run_for(std::chrono::seconds(30));
    EXPECT_TRUE(ending);
    return ending.value_or(ExitStatus{});
  }

  boost::asio::io_context io;
  std::string folder;
};

// The process may be reaped between open and read of its files in /proc.
TEST_F(ProcessTest, ProcessReapedDuringInspectionIsNotFound) {
  for (int turn = 0; turn < 400; turn++) {
    const pid_t pid = ::fork();
    ASSERT_GE(pid, 0);
    if (pid == 0) ::_exit(0);
    std::thread reaper([pid] { ::waitpid(pid, nullptr, 0); });
    while (identify(pid)) argument_of(pid, "--run");
    while (::kill(pid, 0) == 0) identify(pid), argument_of(pid, "--run");
    reaper.join();
  }
}

TEST_F(ProcessTest, ExitIsReportedWithStatusOrSignal) {
  EXPECT_EQ(run("exit 7").status, 7);
  const auto killed = run("kill -9 $$");
  EXPECT_TRUE(killed.known);
  EXPECT_EQ(killed.signal, SIGKILL);
}

TEST_F(ProcessTest, ProcessIsDetachedFromItsStarter) {
  const int leak = ::open("/dev/null", O_RDONLY);  // not close-on-exec
  ::setenv("HIDDEN", "x", 1);
  ::setenv("SHOWN", "y", 1);
  std::signal(SIGPIPE, SIG_IGN);
  run("read line; echo \"got $?\"; ls -m /proc/$$/fd; pwd; cut -d' ' -f1,6 /proc/$$/stat;"
      "echo \"$HIDDEN-$SHOWN\"; grep SigIgn /proc/$$/status");
  std::signal(SIGPIPE, SIG_DFL);
  ::close(leak);
  std::ifstream in(folder + "/log");
  std::string line;
  std::getline(in, line);
  EXPECT_EQ(line, "got 1");  // standard input is empty
  std::getline(in, line);
  EXPECT_EQ(line, "0, 1, 2");  // no pipe in the script: it would appear here
  std::getline(in, line);
  EXPECT_EQ(line, folder);
  long pid = 0, session = 0;
  in >> pid >> session;
  EXPECT_EQ(pid, session);
  std::getline(in, line);
  std::getline(in, line);
  EXPECT_EQ(line, "-y");
  std::getline(in, line);
  EXPECT_NE(line.find("0000000000000000"), std::string::npos) << line;
}

TEST_F(ProcessTest, FailedStartLeavesNoChild) {
  pid_t pid = 0;
  Command c = shell("");
  c.program = folder + "/none";
  EXPECT_EQ(start_detached(c, pid), std::errc::no_such_file_or_directory);
  c = shell("");
  c.folder = folder + "/none";
  EXPECT_EQ(start_detached(c, pid), std::errc::no_such_file_or_directory);
  EXPECT_EQ(pid, 0);
  EXPECT_EQ(::waitpid(-1, nullptr, WNOHANG), -1);  // no child is left
}

// A process of the same pid with another start time or boot id is a different one and must not be signalled.
TEST_F(ProcessTest, PidWithOtherStartTimeOrBootIsNotOpened) {
  auto id = identify(::getppid());
  ASSERT_TRUE(id);
  std::error_code bad;
  id->start_time += 1;
  EXPECT_EQ(Process::open(
                io, *id, [](ExitStatus) {}, bad),
            nullptr);
  EXPECT_EQ(bad, std::errc::no_such_process);
  id->start_time -= 1;
  id->boot = "another";
  EXPECT_EQ(Process::open(
                io, *id, [](ExitStatus) {}, bad),
            nullptr);
  EXPECT_FALSE(identify(0));
  EXPECT_FALSE(identify(-1));
}

// A process reaped between open and read of its file in /proc once ended the agent with an exception.
TEST_F(ProcessTest, ProcessReapedDuringIdentifyIsNotFound) {
  for (int i = 0; i < 500; i++) {
    const pid_t child = ::fork();
    if (child == 0) ::_exit(0);
    ASSERT_GT(child, 0);
    std::jthread reaper([child] { ::waitpid(child, nullptr, 0); });
    while (identify(child)) {
    }
  }
}

TEST_F(ProcessTest, ExitOfANonChildIsSeen) {
  pid_t pid = 0;
  ::prctl(PR_SET_CHILD_SUBREAPER, 0);
  // The shell prints the pid of its background child and exits.
  ASSERT_FALSE(start_detached(shell("sleep 1000 & echo $!"), pid));
  ::waitpid(pid, nullptr, 0);
  const pid_t orphan = static_cast<pid_t>(std::stol(log()));
  const auto id = identify(orphan);
  ASSERT_TRUE(id);
  EXPECT_FALSE(await(*id, SIGKILL).known);
  EXPECT_FALSE(identify(orphan));
}

TEST_F(ProcessTest, SignalAfterExitReachesNoProcess) {
  pid_t pid = 0;
  ASSERT_FALSE(start_detached(shell("exit 0"), pid));
  std::error_code bad;
  bool ended = false;
  const auto process = Process::open(
      io, identify(pid).value_or(ProcessId{pid, 0, ""}), [&](ExitStatus) { ended = true; }, bad);
  ASSERT_TRUE(process);
  io.run_for(std::chrono::seconds(30));
  ASSERT_TRUE(ended);
  EXPECT_EQ(process->signal(SIGKILL), std::errc::no_such_process);
}

TEST_F(ProcessTest, ProcessesAreFoundByTheirArguments) {
  // The shell blocks while it opens the FIFO. A command that forks would be found twice until its child's
  // exec.
  ASSERT_EQ(::mkfifo((folder + "/fifo").c_str(), 0600), 0);
  pid_t pid = 0;
  Command c{"/bin/sh", {"-c", "read line <fifo", "--run", "0123456789abcdef"}, folder, folder + "/log", {}};
  ASSERT_FALSE(start_detached(c, pid));
  const auto found = find_by_option("--run");
  const auto started = identify(pid);
  ::kill(-pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  const auto [from, to] = found.equal_range("0123456789abcdef");
  ASSERT_EQ(std::distance(from, to), 1);
  EXPECT_EQ(from->second, started);
  EXPECT_EQ(found.count("0123456789abcde"), 0u);
  EXPECT_EQ(find_by_option("--run").count("0123456789abcdef"), 0u);
}

}  // namespace
}  // namespace heronvane::fleet::testing

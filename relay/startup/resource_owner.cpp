#include "startup/resource_owner.hpp"

#include <sys/stat.h>
#include <sys/sysmacros.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace heronvane::startup {
namespace {

constexpr const char* kListeningState = "0A";  // a listening socket's state in /proc/net/tcp

// A line of /proc/locks: "1: FLOCK  ADVISORY  WRITE 4711 08:01:1234 0 EOF".
struct LockLine {
  std::string kind;
  std::string file;
  pid_t process = 0;
};

std::optional<LockLine> read_lock_line(const std::string& line) {
  std::istringstream in(line);
  std::string number;
  std::string advisory;
  std::string mode;
  LockLine lock;
  if (!(in >> number >> lock.kind >> advisory >> mode >> lock.process >> lock.file)) return std::nullopt;
  return lock;
}

// A file as /proc/locks names it: major and minor number of its device, and its inode.
std::string lock_table_name(const struct stat& file) {
  std::array<char, 64> text{};
  const int size = std::snprintf(text.data(), text.size(), "%02x:%02x:%llu", major(file.st_dev),
                                 minor(file.st_dev), static_cast<unsigned long long>(file.st_ino));
  return size > 0 ? std::string(text.data(), static_cast<std::size_t>(size)) : std::string();
}

// An address as /proc/net/tcp names it: the bytes of an IPv4 address in the machine's order, then the port.
std::string tcp_table_name(const boost::asio::ip::tcp::endpoint& address) {
  const auto bytes = address.address().to_v4().to_bytes();
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%02X%02X%02X%02X:%04X", bytes[3], bytes[2],
                                 bytes[1], bytes[0], static_cast<unsigned>(address.port()));
  return size > 0 ? std::string(text.data(), static_cast<std::size_t>(size)) : std::string();
}

// A line of /proc/net/tcp, without the fields that are not needed.
struct TcpTableLine {
  std::string local_address;
  std::string state;
  std::string inode;
};

TcpTableLine read_tcp_table_line(const std::string& line) {
  std::istringstream in(line);
  std::string skipped;
  TcpTableLine socket;
  in >> skipped >> socket.local_address >> skipped >> socket.state;
  // Skips queues, timer, retransmits, user and timeout.
  in >> skipped >> skipped >> skipped >> skipped >> skipped >> socket.inode;
  return socket;
}

// The inode of the socket that listens on `address`; empty if there is none.
std::string listening_inode(const boost::asio::ip::tcp::endpoint& address) {
  if (!address.address().is_v4()) return {};
  const std::string wanted = tcp_table_name(address);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    const TcpTableLine socket = read_tcp_table_line(line);
    if (socket.local_address == wanted && socket.state == kListeningState) return socket.inode;
  }
  return {};
}

// Parses `text` as a process id; empty if it is not a number.
std::optional<pid_t> read_process_number(const std::string& text) {
  pid_t process = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, process);
  if (error != std::errc() || end != last) return std::nullopt;
  return process;
}

bool has_descriptor(const std::filesystem::path& process, const std::string& target) {
  std::error_code none;
  for (std::filesystem::directory_iterator fd(process / "fd", none), end; !none && fd != end;
       fd.increment(none)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(fd->path(), gone) == target) return true;
  }
  return false;
}

}  // namespace

std::optional<pid_t> locking_process(const std::string& path) {
  struct stat file {};
  if (::stat(path.c_str(), &file) != 0) return std::nullopt;
  const std::string wanted = lock_table_name(file);
  std::ifstream locks("/proc/locks");
  std::string line;
  while (std::getline(locks, line)) {
    const auto lock = read_lock_line(line);
    if (lock && lock->kind == "FLOCK" && lock->file == wanted && lock->process > 0) return lock->process;
  }
  return std::nullopt;
}

std::optional<pid_t> listening_process(const boost::asio::ip::tcp::endpoint& address) {
  const std::string inode = listening_inode(address);
  if (inode.empty()) return std::nullopt;
  const std::string target = "socket:[" + inode + "]";
  std::error_code none;
  for (std::filesystem::directory_iterator entry("/proc", none), end; !none && entry != end;
       entry.increment(none)) {
    const auto process = read_process_number(entry->path().filename().string());
    if (process && has_descriptor(entry->path(), target)) return process;
  }
  return std::nullopt;
}

std::string describe_process(std::optional<pid_t> process) {
  if (!process) return "another process";
  const std::string number = std::to_string(*process);
  std::ifstream in("/proc/" + number + "/comm");
  std::string name;
  std::getline(in, name);
  return "process " + number + (name.empty() ? std::string() : " (" + name + ")");
}

}  // namespace heronvane::startup

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

constexpr const char* kListening = "0A";  // the state of a socket in /proc/net/tcp

// A line of /proc/locks: "1: FLOCK  ADVISORY  WRITE 4711 08:01:1234 0 EOF".
struct LockLine {
  std::string kind, file;
  pid_t process = 0;
};

std::optional<LockLine> read_lock_line(const std::string& line) {
  std::istringstream in(line);
  std::string number, advisory, mode;
  LockLine read;
  if (!(in >> number >> read.kind >> advisory >> mode >> read.process >> read.file)) return std::nullopt;
  return read;
}

// A file as /proc/locks names it.
std::string lock_name(const struct stat& file) {
  std::array<char, 64> text{};
  const int size = std::snprintf(text.data(), text.size(), "%02x:%02x:%llu", major(file.st_dev),
                                 minor(file.st_dev), static_cast<unsigned long long>(file.st_ino));
  return size > 0 ? std::string(text.data(), static_cast<std::size_t>(size)) : std::string();
}

// An address as /proc/net/tcp names it: the bytes of an IPv4 address in the machine's order, then the port.
std::string table_name(const boost::asio::ip::tcp::endpoint& address) {
  const auto bytes = address.address().to_v4().to_bytes();
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%02X%02X%02X%02X:%04X", bytes[3], bytes[2],
                                 bytes[1], bytes[0], static_cast<unsigned>(address.port()));
  return size > 0 ? std::string(text.data(), static_cast<std::size_t>(size)) : std::string();
}

// The inode of the socket that listens on `address`; empty where there is none.
std::string listening_inode(const boost::asio::ip::tcp::endpoint& address) {
  if (!address.address().is_v4()) return {};
  const std::string wanted = table_name(address);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream in(line);
    std::string slot, local, remote, state, queues, timer, retries, user, timeout, inode;
    in >> slot >> local >> remote >> state >> queues >> timer >> retries >> user >> timeout >> inode;
    if (local == wanted && state == kListening) return inode;
  }
  return {};
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
  const std::string wanted = lock_name(file);
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
    const std::string name = entry->path().filename().string();
    pid_t process = 0;
    const auto [rest, bad] = std::from_chars(name.data(), name.data() + name.size(), process);
    const bool is_process = bad == std::errc() && rest == name.data() + name.size();
    if (is_process && has_descriptor(entry->path(), target)) return process;
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

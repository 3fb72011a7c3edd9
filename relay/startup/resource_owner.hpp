// Finds the process that holds a resource that a start waits for, from /proc.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace heronvane::startup {

// The process that holds a lock (flock) on the file or folder at `path`. Empty if it can't be determined, for
// example for a process in another container.
std::optional<pid_t> locking_process(const std::string& path);

// The process that listens on an IPv4 address. Empty if there is none or it belongs to another user.
std::optional<pid_t> listening_process(const boost::asio::ip::tcp::endpoint& address);

// "process 4711 (heronvane)", or "another process".
std::string describe_process(std::optional<pid_t> process);

}  // namespace heronvane::startup

// Finds the process that holds a resource which a start waits for, as far as /proc shows it.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace heronvane::startup {

// The process that holds a lock (flock) on the file or folder at `path`. Nothing where that can't be known,
// as for a process of another container.
std::optional<pid_t> locking_process(const std::string& path);

// The process that listens on an IPv4 address. Nothing where none does, or it is another user's.
std::optional<pid_t> listening_process(const boost::asio::ip::tcp::endpoint& address);

// "process 4711 (heronvane)", or "another process".
std::string describe_process(std::optional<pid_t> process);

}  // namespace heronvane::startup

// Streams over Unix sockets, and over TLS with client certificates.
#pragma once

#include <memory>
#include <string>

#include "stream.hpp"

namespace heronvane::cli {

// Interrupts the blocking calls of streams in other threads. It can't be reset. stop() is thread-safe.
class Stop {
 public:
  Stop();
  ~Stop();
  Stop(const Stop&) = delete;
  Stop& operator=(const Stop&) = delete;
  void stop() noexcept;
  bool stopped() const noexcept;
  int descriptor() const noexcept { return fd_; }

 private:
  int fd_;
};

struct Credentials {
  std::string cert, key, ca;  // paths of PEM files; an empty `ca` selects the system's certificate store
};

// `agent` is the path of a Unix socket or https://HOST:PORT. std::invalid_argument if it is neither, or if a
// credential can't be loaded. `stop` must outlive the dialer and its streams.
std::unique_ptr<Dialer> make_dialer(const std::string& agent, const Credentials& credentials,
                                    const Stop& stop);

}  // namespace heronvane::cli

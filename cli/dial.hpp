// Streams over a Unix socket, and over TLS with client certificates.
#pragma once

#include <memory>
#include <string>

#include "stream.hpp"

namespace heronvane::cli {

// Ends waits of streams in other threads; once stopped it stays so.
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
  std::string cert, key, ca;  // PEM files; without `ca` the system's
};

// `agent`: the path of a socket, or https://HOST:PORT. std::invalid_argument where it is neither.
// `stop` must outlive the dialer and its streams.
std::unique_ptr<Dialer> make_dialer(const std::string& agent, const Credentials& credentials,
                                    const Stop& stop);

}  // namespace heronvane::cli

// Byte streams to one agent, as interfaces, so that tests can replace the transport.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace heronvane::cli {

using Instant = std::chrono::steady_clock::time_point;

struct TransportError : std::runtime_error {
  enum class Why {
    absent,      // no server at the address, or the host is unknown
    forbidden,   // this user has no permission to connect
    late,        // the deadline passed
    untrusted,   // TLS: one side rejected the other's certificate
    broken,      // the connection broke or could not be established for another reason
    interrupted  // ended through Stop
  };
  TransportError(Why w, const std::string& what) : std::runtime_error(what), why(w) {}
  Why why;
};

class Stream {
 public:
  virtual ~Stream() = default;
  // Blocks until all bytes are sent. TransportError, also (late) if `deadline` passes first.
  virtual void write(std::string_view bytes, Instant deadline) = 0;
  // Blocks until at least one byte is read; returns the number of bytes, 0 at the end of the stream.
  // TransportError, also (late) if `deadline` passes first.
  virtual std::size_t read(char* to, std::size_t capacity, Instant deadline) = 0;
};

class Dialer {
 public:
  virtual ~Dialer() = default;
  // Opens a new connection. TransportError, also (late) if `deadline` passes first.
  virtual std::unique_ptr<Stream> dial(Instant deadline) = 0;
};

}  // namespace heronvane::cli

// An HTTP/1.1 client of one agent, over the streams of a Dialer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "stream.hpp"

namespace heronvane::cli {

inline constexpr int kApi = 1;  // the version of the agent API that this client speaks
// The limit of an answer's body, except of a followed one.
inline constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
inline constexpr std::size_t kMaxLineBytes = 4 * 1024 * 1024;  // limit of a line of a followed operation

// The answer is not valid HTTP, is too large or is not the JSON that the agent API defines.
struct MalformedAnswer : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Answer {
  unsigned status = 0;
  int api = 0;       // 0: no valid X-Heronvane-Api header, so the server is not an agent
  std::string body;  // without what follow() passed to its callback
};

class Client {
 public:
  explicit Client(Dialer& dialer) : dialer_(dialer) {}

  // A GET may reuse the connection of the previous GET, and is retried once over a new connection if the
  // agent has closed the old one. Every other request is sent exactly once, over its own connection, since an
  // agent may have carried out a request whose connection broke. Throws TransportError, MalformedAnswer.
  Answer get(const std::string& target, Instant deadline) { return request("GET", target, {}, deadline); }
  Answer request(std::string_view method, const std::string& target, std::string_view body, Instant deadline);

  // Passes the bytes of the body to `on_bytes` as they arrive, preceded by one empty call when the 200 header
  // has arrived. Returns at the end of the body, or when `on_bytes` returns false. An answer with another
  // status is returned with its body, without a call of `on_bytes`. `header_timeout` limits connecting,
  // sending and waiting for the header, each on its own, and each read of the body of an error answer;
  // `idle_timeout` limits each read of a followed body. Throws TransportError if the body is cut off,
  // MalformedAnswer.
  Answer follow(const std::string& target, std::chrono::milliseconds header_timeout,
                std::chrono::milliseconds idle_timeout,
                const std::function<bool(std::string_view)>& on_bytes);

 private:
  Answer exchange(Stream& stream, const std::string& request, Instant deadline, bool& reusable,
                  bool& received_any);
  Dialer& dialer_;
  std::unique_ptr<Stream> idle_stream_;  // of the last GET, if it can be reused
};

}  // namespace heronvane::cli

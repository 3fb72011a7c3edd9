// HTTP/1.1 to one agent, over the bytes of a Dialer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "stream.hpp"

namespace heronvane::cli {

inline constexpr int kApi = 1;                                // the version of the agents' API spoken here
inline constexpr std::size_t kMostAnswer = 16 * 1024 * 1024;  // bytes of one whole answer
inline constexpr std::size_t kMostLine = 4 * 1024 * 1024;     // bytes of one line of a followed operation

// The answer can't be understood: not HTTP, too large, not from an agent, not the JSON of the page.
struct MalformedAnswer : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Answer {
  unsigned status = 0;
  int api = 0;       // 0: the answer names none, so what answered is no agent
  std::string body;  // empty of what was handed on by follow()
};

class Client {
 public:
  explicit Client(Dialer& dialer) : dialer_(dialer) {}

  // A GET may use the connection of the last one, and is asked once more over a new one where that has ended
  // meanwhile. Everything else is sent once over a connection of its own: whether a request that breaks was
  // carried out is then the only doubt. TransportError, MalformedAnswer.
  Answer get(const std::string& target, Instant until) { return request("GET", target, {}, until); }
  Answer request(std::string_view method, const std::string& target, std::string_view body, Instant until);

  // Hands on the bytes of a body as they come (none of them first, once a 200 has come), while `take` returns
  // true, and returns at its end. An answer that is no 200 is returned whole, nothing is handed on. `silent`:
  // how long nothing may come before it counts as broken. TransportError where the body breaks off.
  Answer follow(const std::string& target, std::chrono::milliseconds first, std::chrono::milliseconds silent,
                const std::function<bool(std::string_view)>& take);

 private:
  Answer exchange(Stream& stream, const std::string& request, Instant until, bool& reusable, bool& any);
  Dialer& dialer_;
  std::unique_ptr<Stream> kept_;
};

}  // namespace heronvane::cli

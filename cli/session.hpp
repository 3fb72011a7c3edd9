// The agents that a command is sent to: queries them in parallel, validates their answers and maps errors to
// exit statuses.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "client.hpp"
#include "commands.hpp"
#include "dial.hpp"
#include "model.hpp"
#include "render.hpp"

namespace heronvane::cli {

// Why a request to an agent failed, as it is reported to the user.
struct Failure {
  int exit = kRefused;
  std::string message, hint;  // the message; what the user can do about it, "" if nothing is suggested
  std::string json;           // the agent's error body, "" if it sent none
  bool not_found = false;     // the agent does not have the requested object
};

std::int64_t unix_ms();  // the current wall-clock time

// The client of one agent. Its members throw Failure, and TransportError (interrupted) where a followed
// stream is stopped. One thread at a time.
class AgentConnection {
 public:
  AgentConnection(const Global& global, const std::string& agent, const Stop& stop);

  // Returns the body of a 2xx answer; with `json`, checks that it is JSON. An answer of another API version
  // is accepted, and other_api() then returns that version.
  std::string get(const std::string& target, bool json = true);
  // Sends a change. Refused before sending if the agent is known to speak another API version.
  std::string change(const std::string& method, const std::string& target, const std::string& body);
  // Returns read(json); a MalformedAnswer becomes a Failure that names the agent.
  template <class Read>
  auto as(const std::string& json, Read read) {
    try {
      return read(json);
    } catch (const MalformedAnswer& e) {
      throw malformed(e.what());
    }
  }
  // Follows the operation until it ends, and reconnects when the stream breaks. `each` receives the operation
  // and the agent's JSON of it at each change. TransportError (interrupted) if stopped.
  void follow_operation(std::int64_t id,
                        const std::function<void(const Operation&, const std::string&)>& each);
  // Follows an instance's log in the same way, from its last `lines` lines on. After a reconnect, lines that
  // were already passed to `on_lines` are skipped.
  void follow_log(const std::string& instance, unsigned lines,
                  const std::function<void(std::string_view)>& on_lines);

  const std::string& address() const { return address_; }
  std::string label;    // names the agent in output; "" if only one agent is queried
  std::string command;  // the command line that addresses this agent, for suggestions
  // The agent's API version if it differs from kApi, else 0.
  int other_api() const { return api_ == kApi ? 0 : api_; }
  std::string versions();  // "API 2 (heronvane-agent 0.3.0), this heronvanectl API 1 (0.1.0)"

 private:
  Instant deadline() const;
  std::string checked(Answer answer, bool json);
  Failure transport(const TransportError& e, bool change) const;
  Failure malformed(const std::string& what);
  Failure refusal(const AgentError& e, std::string json) const;
  struct Attempt {
    bool connected = false, progressed = false;
  };
  // Runs `attempt` until it returns true. Broken streams are retried with backoff until no attempt has made
  // progress for min(3 x timeout, kReconnectTimeout).
  void retry_until_done(const std::function<bool(Attempt&)>& attempt);
  std::string named() const;

  std::string address_;
  std::chrono::milliseconds timeout_;
  const Stop& stop_;
  std::unique_ptr<Dialer> dialer_;
  Client client_;
  int api_ = kApi;
};

class Session {
 public:
  Session(const Global& global, const Stop& stop);
  std::vector<std::unique_ptr<AgentConnection>>& connections() { return connections_; }
  const std::vector<std::unique_ptr<AgentConnection>>& connections() const { return connections_; }
  bool many() const { return connections_.size() > 1; }

  // Queries every agent in parallel, one thread each. The results are in the order of connections().
  template <class T, class Ask>
  std::vector<std::variant<T, Failure>> ask(Ask each) {
    std::vector<std::variant<T, Failure>> results(connections_.size(), Failure{});
    std::vector<std::thread> threads;
    const auto one = [&](std::size_t i) {
      try {
        results[i].template emplace<T>(each(*connections_[i]));
      } catch (Failure& f) {
        results[i] = std::move(f);
      } catch (const std::exception& e) {
        results[i] = Failure{kUnreachable, e.what(), "", "", false};
      }
    };
    for (std::size_t i = 1; i < connections_.size(); i++) threads.emplace_back(one, i);
    one(0);
    for (auto& t : threads) t.join();
    return results;
  }
  // With several agents, labels each with the name that it reports, unless two report the same name.
  void learn_labels();

 private:
  std::vector<std::unique_ptr<AgentConnection>> connections_;
};

// The exit status for several agents: their common status, or kPartial (4) if they differ.
int combined_exit(const std::vector<int>& exits);
std::string json_string(const std::string& text);  // as a quoted JSON string

}  // namespace heronvane::cli

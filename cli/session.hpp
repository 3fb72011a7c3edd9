// The agents that a command goes to: asked side by side, their answers checked and told apart.
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

// Why an agent did not do what was asked, as told to the person.
struct Failure {
  int exit = kRefused;
  std::string what, next;
  std::string json;      // the agent's own error, where it told one
  bool unknown = false;  // what was asked for is not there
};

std::int64_t unix_ms();

// One agent. Its members throw Failure.
class Port {
 public:
  Port(const Global& global, const std::string& agent, const Stop& stop);

  // A body that is 2xx JSON of an agent; one of another API version is noted, and read as far as it goes.
  std::string get(const std::string& target, bool json = true);
  // Only to an agent of this API version.
  std::string change(const std::string& method, const std::string& target, const std::string& body);
  // Reads `json` by `read`; what does not fit is a Failure that names the agent.
  template <class Read>
  auto as(const std::string& json, Read read) {
    try {
      return read(json);
    } catch (const MalformedAnswer& e) {
      throw malformed(e.what());
    }
  }
  // Follows the operation until it ends or TransportError says interrupted; reconnects where the stream
  // breaks. `each` gets the operation and the agent's JSON of it at each change.
  void follow_operation(std::int64_t id,
                        const std::function<void(const Operation&, const std::string&)>& each);
  // Follows an instance's log in the same way; lines that came before a break are not handed on again.
  void follow_log(const std::string& instance, unsigned lines,
                  const std::function<void(std::string_view)>& take);

  const std::string& address() const { return address_; }
  std::string label;    // "" where one agent is asked
  std::string command;  // how the tool is called for this agent
  int other_api() const { return api_ == kApi ? 0 : api_; }
  std::string versions();  // "API 2 (heronvane-agent 0.3.0), this heronvanectl API 1 (0.1.0)"

 private:
  Instant patience() const;
  std::string checked(Answer answer, bool json);
  Failure transport(const TransportError& e, bool change) const;
  Failure malformed(const std::string& what);
  Failure told(const AgentError& e, std::string json) const;
  struct Attempt {
    bool connected = false, got_on = false;
  };
  // Runs `attempt` until it returns true; breaks are tried again for a while, counted anew once an attempt
  // got on.
  void persist(const std::function<bool(Attempt&)>& attempt);
  std::string named() const;

  std::string address_;
  std::chrono::milliseconds patience_;
  const Stop& stop_;
  std::unique_ptr<Dialer> dialer_;
  Client client_;
  int api_ = kApi;
};

class Session {
 public:
  Session(const Global& global, const Stop& stop);
  std::vector<std::unique_ptr<Port>>& ports() { return ports_; }
  const std::vector<std::unique_ptr<Port>>& ports() const { return ports_; }
  bool many() const { return ports_.size() > 1; }

  // Asks each agent in a thread of its own. The order is that of the ports.
  template <class T, class Ask>
  std::vector<std::variant<T, Failure>> ask(Ask each) {
    std::vector<std::variant<T, Failure>> results(ports_.size(), Failure{});
    std::vector<std::thread> threads;
    const auto one = [&](std::size_t i) {
      try {
        results[i].template emplace<T>(each(*ports_[i]));
      } catch (Failure& f) {
        results[i] = std::move(f);
      } catch (const std::exception& e) {
        results[i] = Failure{kUnreachable, e.what(), "", "", false};
      }
    };
    for (std::size_t i = 1; i < ports_.size(); i++) threads.emplace_back(one, i);
    one(0);
    for (auto& t : threads) t.join();
    return results;
  }
  // The agents' own names in tables, where several are asked and no two are called the same.
  void learn_labels();

 private:
  std::vector<std::unique_ptr<Port>> ports_;
};

// 0 where all are; 4 where some are; else what they agree on, or 4.
int merged(const std::vector<int>& exits);
std::string escaped(const std::string& text);  // a JSON string, quoted

}  // namespace heronvane::cli

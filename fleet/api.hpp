// The agent's API, version 1 (docs/design/fleet.md), apart from sockets: a request in, an answer out.
//
// Whatever the request holds is answered; nothing throws. One thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decider.hpp"

namespace heronvane::fleet {

inline constexpr std::string_view kApiVersion = "1";

struct ApiRequest {
  std::string method, target, body;
  std::string peer;  // who asks, as the connection tells: "uid 0 pid 71", "certificate ops"
};

// What goes on after the answer's head, taken piece by piece as the reader can take it: a slow one costs no
// memory.
class ApiStream {
 public:
  struct Piece {
    std::string bytes;  // empty: nothing now
    bool last = false;  // no more comes after these bytes
  };
  virtual ~ApiStream() = default;
  virtual Piece next() = 0;
  // Called once when there may be more; in place of the one asked for before. Not after this object is gone.
  virtual void when_more(std::function<void()> wake) = 0;
};

struct ApiResponse {
  unsigned status = 200;
  std::string type = "application/json";
  std::string body;
  std::shared_ptr<ApiStream> stream;  // then `body` is empty
};

struct PlatformView {
  std::string listen;
  std::int64_t index = 0;
  std::size_t endpoints = 0, watchers = 0;
  std::int64_t finals = 0;
  std::string trouble;  // what hinders it and what to do; "" where nothing does
};
struct AgentView {
  std::string name, version;
  int pid = 0;
  Microseconds started = 0;
  std::optional<PlatformView> platform;
};
struct StatusView {
  std::string json;    // of the relay, whole
  std::string copies;  // of that, in short: {"phase","have","wanted","lag","epoch"}; empty: none are kept
  Microseconds age = 0;
};
struct MessageView {
  std::vector<std::pair<std::string, std::string>> found;  // instance, the relay's JSON object
  std::vector<std::string> not_asked;
};

struct TakeOverView {
  std::string by;                                            // the instance that takes over; empty: none does
  std::vector<std::pair<std::string, std::string>> refused;  // instance, why not
};

// What the API asks of the agent. Callbacks are called once, then or later.
class ApiBackend {
 public:
  virtual ~ApiBackend() = default;
  virtual const Decider& decider() const = 0;
  virtual AgentView about() const = 0;
  virtual std::optional<StatusView> status(const std::string& name) const = 0;
  virtual std::string log_file(const std::string& name) const = 0;
  // Throws where it can't be read.
  virtual FleetSpec read_fleet(const std::string& json) const = 0;
  virtual std::optional<FleetSpec> fleet_at(Generation generation) = 0;
  // `request` of the command is the backend's to give.
  virtual void command(event::Command command, std::function<void(Verdict)> done) = 0;
  virtual void cancel(OperationId operation, std::function<void(Verdict)> done) = 0;
  virtual void find_message(const std::string& id, std::function<void(MessageView)> done) = 0;
  // Has one of the instances take over what that relay, which may be anywhere, owes (docs/operate/copies.md).
  virtual void take_over(const std::string& relay, std::function<void(TakeOverView)> done) = 0;
  // A line of JSON for each change from now on, until it ends; the operation is there.
  virtual std::shared_ptr<ApiStream> follow_operation(OperationId operation) = 0;
  // The last `lines` of the log; where followed, also what comes to it.
  virtual std::shared_ptr<ApiStream> read_log(const std::string& name, std::size_t lines, bool follow) = 0;
};

class Api {
 public:
  explicit Api(ApiBackend& agent) : agent_(agent) {}
  // `done` is called once, within this call or later; not after the backend is gone.
  void handle(const ApiRequest& request, std::function<void(ApiResponse)> done);

 private:
  struct Target;
  using Done = std::function<void(ApiResponse)>;
  void get(const Target& target, const Done& done);
  void operate(const ApiRequest& request, const Done& done);
  ApiBackend& agent_;
};

ApiResponse api_error(unsigned status, std::string_view code, std::string_view message,
                      std::string_view hint = "");
std::string operation_json(const Operation& o);
std::string instance_json(const InstanceView& v, const std::optional<StatusView>& status, bool with_status);

}  // namespace heronvane::fleet

// The agent's API, version 1 (docs/design/fleet.md), without the transport: takes a request, gives a
// response.
//
// Every request gets a response, malformed ones an error; nothing throws. Not thread-safe.
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
  std::string peer;  // the client as the connection identifies it: "uid 0 pid 71", "certificate ops"
};

// The body of a streamed response, pulled one piece at a time as the client reads, so that nothing queues up
// for a slow client.
class ApiStream {
 public:
  struct Piece {
    std::string bytes;  // empty: nothing available now
    bool last = false;  // the stream ends after these bytes
  };
  virtual ~ApiStream() = default;
  virtual Piece next() = 0;
  // Registers `wake` in place of an earlier one. It is called once when next() may have more, and never after
  // this object is destroyed.
  virtual void notify_when_ready(std::function<void()> wake) = 0;
};

struct ApiResponse {
  unsigned status = 200;
  std::string type = "application/json";
  std::string body;
  std::shared_ptr<ApiStream> stream;  // if set, `body` is empty
};

// The state of the platform for relays.
struct PlatformView {
  std::string listen;
  std::int64_t index = 0;
  std::size_t endpoints = 0, watchers = 0;
  std::int64_t finals = 0;
  std::string error;  // the current error and advice; "" if there is none
};
// The agent's answer about itself.
struct AgentView {
  std::string name, version;
  int pid = 0;
  Microseconds started = 0;
  std::optional<PlatformView> platform;
};
// The last status of a relay.
struct StatusView {
  std::string json;    // the whole status
  std::string copies;  // summary of its copies: {"phase","have","wanted","lag","epoch"}; empty: it keeps none
  Microseconds age = 0;  // since it was received
};
// The result of a search for a message.
struct MessageView {
  std::vector<std::pair<std::string, std::string>> found;  // instance, the JSON object of its relay
  std::vector<std::string> not_asked;                      // instances that do not run or did not answer
};

// The result of a takeover request.
struct TakeOverView {
  std::string by;                                            // the instance that takes over; empty: none
  std::vector<std::pair<std::string, std::string>> refused;  // instance, reason
};

// The agent as the API uses it. Callbacks are called once, within the call or later.
class ApiBackend {
 public:
  virtual ~ApiBackend() = default;
  virtual const Decider& decider() const = 0;
  virtual AgentView about() const = 0;
  virtual std::optional<StatusView> status(const std::string& name) const = 0;
  virtual std::string log_file(const std::string& name) const = 0;
  // Throws std::exception if the fleet is invalid.
  virtual FleetSpec read_fleet(const std::string& json) const = 0;
  virtual std::optional<FleetSpec> fleet_at(Generation generation) = 0;
  // The backend sets `command.request`.
  virtual void command(event::Command command, std::function<void(Verdict)> done) = 0;
  virtual void cancel(OperationId operation, std::function<void(Verdict)> done) = 0;
  virtual void find_message(const std::string& id, std::function<void(MessageView)> done) = 0;
  // Asks the instances here to take over the unfinished messages of `relay`, which may run on any machine
  // (docs/operate/copies.md).
  virtual void take_over(const std::string& relay, std::function<void(TakeOverView)> done) = 0;
  // Streams a line of JSON for each change of the operation from now on, until it ends. It must exist.
  virtual std::shared_ptr<ApiStream> follow_operation(OperationId operation) = 0;
  // Streams the last `lines` lines of the log and, with `follow`, what is appended later.
  virtual std::shared_ptr<ApiStream> read_log(const std::string& name, std::size_t lines, bool follow) = 0;
};

class Api {
 public:
  explicit Api(ApiBackend& backend) : backend_(backend) {}
  // `done` is called once, within this call or later, but not after the backend is destroyed.
  void handle(const ApiRequest& request, std::function<void(ApiResponse)> done);

 private:
  struct Target;
  using Done = std::function<void(ApiResponse)>;
  void handle_get(const Target& target, const Done& done);
  void post_operation(const ApiRequest& request, const Done& done);
  ApiBackend& backend_;
};

ApiResponse api_error(unsigned status, std::string_view code, std::string_view message,
                      std::string_view hint = "");
std::string operation_json(const Operation& o);
std::string instance_json(const InstanceView& v, const std::optional<StatusView>& status, bool with_status);

}  // namespace heronvane::fleet

// The agent: passes the events of this machine to the decider and performs the actions that it returns.
//
// It holds the lock of its data folder while it runs. The relays run on when it ends or is killed, unless
// stop_relays() was called. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admin_client.hpp"
#include "api.hpp"
#include "database.hpp"
#include "decider.hpp"
#include "fleet_file.hpp"
#include "instance_folder.hpp"
#include "platform_host.hpp"
#include "process.hpp"
#include "streams.hpp"

namespace heronvane::fleet {

struct AgentOptions {
  std::string data;         // absolute path of the data folder; created if missing
  std::string own_program;  // path; relay programs are looked up in its folder first
  Tuning tuning;
  DatabaseOptions database;
  std::uint64_t log_bytes = 10'000'000;                 // an instance's log larger than this is rotated
  std::chrono::milliseconds status_interval{1'000};     // from a status answer to the next request
  std::chrono::milliseconds status_interval_busy{100};  // for instances that start, drain or stop
  std::uint64_t relay_descriptors = 0;  // the relays' soft limit of open files; 0: the agent's
  // Called before and after each database write, after each config write and spawn, and before each signal
  // and admin call. Tests kill the agent there.
  std::function<void()> on_step;
};

// The lock on the data folder: one agent at a time.
class DataFolder {
 public:
  // Throws std::runtime_error: the folder is in use or holds other files, or it can't be created. Waits up to
  // 2 s, since children of a killed agent hold its lock until they execute their program.
  explicit DataFolder(const std::string& path);
  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

 private:
  int lock_ = -1;
};

class Agent : public ApiBackend {
 public:
  // Opens the folder and its database. Throws std::exception.
  Agent(boost::asio::io_context& io, AgentOptions options);
  ~Agent() override;
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Looks for the processes of the recorded instances, passes the result to the decider and begins work.
  void start();
  // Starts nothing from now on. Sends SIGTERM to all relays, SIGKILL after `grace`, then calls `done`.
  void stop_relays(std::chrono::milliseconds grace, std::function<void()> done);

  const Decider& decider() const override { return decider_; }
  AgentView about() const override;
  std::optional<StatusView> status(const std::string& name) const override;
  std::string log_file(const std::string& name) const override;
  FleetSpec read_fleet(const std::string& json) const override;
  std::optional<FleetSpec> fleet_at(Generation generation) override;
  void command(event::Command command, std::function<void(Verdict)> done) override;
  void cancel(OperationId operation, std::function<void(Verdict)> done) override;
  void find_message(const std::string& id, std::function<void(MessageView)> done) override;
  void take_over(const std::string& relay, std::function<void(TakeOverView)> done) override;
  std::shared_ptr<ApiStream> follow_operation(OperationId operation) override;
  std::shared_ptr<ApiStream> read_log(const std::string& name, std::size_t lines, bool follow) override;

 private:
  struct Instance;

  Microseconds now() const;
  void handle_event(Event event);
  void process_events();
  void perform(const action::Record& action);
  void perform(const action::WriteConfig& action);
  void perform(const action::Spawn& action);
  void perform(const action::Signal& action);
  void perform(const action::AskDrain& action);
  void perform(const action::AskUndrain& action);
  void perform(const action::AskFence& action);
  void perform(const action::Removed& action);
  void perform(const action::SetTimer& action);
  void perform(const action::Reply& action);
  void perform(const action::OperationChanged& action);
  void perform(const action::Log& action);

  Instance& instance_for(const std::string& name);
  void adopt(const std::vector<InstanceRow>& rows);
  void process_started(Instance& instance, const std::string& run, std::unique_ptr<Process> process);
  void process_ended(const std::string& name, const std::string& run, ExitStatus ending);
  void call_admin(const std::string& name, const std::string& run, AdminCall call, OperationId fence);
  void poll_status(const std::string& name);
  void status_answered(const std::string& name, const AdminAnswer& answer);
  void schedule_status_poll(Instance& instance, std::chrono::milliseconds gap);
  std::string spawn(Instance& instance, const action::Spawn& action);
  std::string find_program(const std::string& program) const;
  std::shared_ptr<const Fleet> fleet_of(Generation generation);
  void apply_platform();
  void notify_step() const {
    if (options_.on_step) options_.on_step();
  }

  boost::asio::io_context& io_;
  AgentOptions options_;
  DataFolder folder_;
  Database database_;
  Microseconds started_;
  std::chrono::steady_clock::time_point started_steady_;
  PlatformHost platform_;
  std::string applied_platform_text_;       // text of the fleet whose platform is applied
  std::vector<InstanceRow> restored_rows_;  // the rows read at construction; empty after start()
  Decider decider_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  std::deque<Event> events_;
  bool fleet_changed_ = true;  // a fleet may have been recorded since apply_platform()
  bool processing_events_ = false, stopping_ = false;
  std::function<void()> on_relays_ended_;
  boost::asio::steady_timer timer_, kill_timer_;
  RequestId last_request_ = 0;
  std::map<RequestId, std::function<void(Verdict)>> requests_;
  std::map<OperationId, std::vector<std::weak_ptr<LineStream>>> followers_;
  std::map<Generation, std::shared_ptr<const Fleet>> fleets_;  // cache of at most kCachedFleets
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronvane::fleet

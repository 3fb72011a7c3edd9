// The relay: coordinates the owners of its state, from a client's request to its final answer.
//
// A request is stored, then acknowledged; an attempt is stored before its first byte; an end is stored before
// anybody is notified of it. No decision is made here: that is the decision module's.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin_port.hpp"
#include "committer.hpp"
#include "config.hpp"
#include "core/decision_cycle.hpp"
#include "core/lifecycle.hpp"
#include "core/log_replication.hpp"
#include "core/request_table.hpp"
#include "core/suspend_monitor.hpp"
#include "core/timer.hpp"
#include "drain_controller.hpp"
#include "endpoint_view.hpp"
#include "executor.hpp"
#include "frontends/frontend.hpp"
#include "intake.hpp"
#include "log_copies_port.hpp"
#include "peers.hpp"
#include "platform.hpp"
#include "status_reporter.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"

namespace heronvane {

// Lives on the event loop's thread: made, called and destroyed there. `io` and `config` outlive it.
class RelayServer {
 public:
  struct Start {
    std::string run;               // the id of this process's run
    std::optional<Fence> undrain;  // ends a drain that is stored; the start fails under a lower fence
    bool force_own = false;  // with copies: what the folder holds is this relay's, its holders are not asked
    std::function<void()> drained;  // a drain is complete: nothing is held or owed any more
    Microseconds waited = 0;        // how long the start was waiting before this try, in microseconds
    std::string waited_for;         // what for; empty: it was not waiting
  };

  // Takes the folder and the addresses, then what an earlier process left; from then on clients are accepted.
  // Throws startup::StartError where the folder or an address can't be had; what is held was not touched
  // then.
  RelayServer(boost::asio::io_context& io, const Config& config, Start start);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Takes over what may change while the relay runs: where discovery is found, who may hold copies.
  void reconfigure(const Config& config);
  // Graceful shutdown: answers clients on, lets calls come back, then calls `done`, within
  // Lifecycle::kShutdownTime.
  void stop(std::function<void()> done);

 private:
  // What the owners ask of one another.
  Committer::Hooks commit_hooks();
  DecisionCycle::Hooks cycle_hooks();
  EndpointView::Hooks endpoint_hooks();
  Executor::Hooks executor_hooks();
  LogCopiesHooks copies_hooks();
  SuspendMonitor::Hooks suspend_hooks();
  DrainController::Hooks drain_hooks();
  AdminContext admin_context();
  StatusReporter::StartInfo start_info() const;
  StatusReporter::Sources status_sources() const;

  std::unique_ptr<Peers> open_peers();
  void recover_store();
  void accept_clients();

  // Requests.
  void on_request(Message message, Microseconds time_left, ReplyCallback reply);
  bool is_known(const std::string& client_id) const;
  void reject(const ReplyCallback& reply, RejectReason reason);
  void completed(MessageId id, bool was_acknowledged = true);
  void end_request(WriteAheadPlan& plan, MessageId id, const Ending& decided);
  void expire_overdue();

  // The decision cycle.
  void run_cycle();
  void admit_queued();
  void decide(WriteAheadPlan& plan);
  void apply(WriteAheadPlan& plan, const heronvane::dispatch::Action& decided);
  heronvane::dispatch::event::RequestArrived arrival(MessageId id, const Message& message) const;

  // Outcomes.
  void on_attempt_ended(const heronvane::dispatch::event::AttemptEnded& outcome);
  void execute(WriteAheadPlan plan);
  void reject_uncommitted(const std::vector<WriteAheadPlan::PendingReply>& replies, CommitFailure why);
#ifdef HERONVANE_FAIL_POINTS
  void notify_late(MessageId id, const Ending& ending);
#endif

  // relay_recovery.cpp: requests of earlier incarnations and of other relays
  void recover();
  bool resume_request(MessageId id, const Held& held);
  heronvane::dispatch::event::RequestRecovered recovered(MessageId id, const Held& held) const;
  Microseconds held_since(const Held& held) const;
  void on_log_lost();
  void taken_over(MessageId from, MessageId to);
  bool may_be_non_idempotent(const Message& message) const;

  // relay_shutdown.cpp: the end, by a drain or a stop
  bool has_open_work() const;
  Lifecycle::OpenWork open_work() const;
  void check_shutdown();

  boost::asio::io_context& io_;
  const Config& config_;
  const Start start_;
  const Microseconds started_ = wall_now();
  const Microseconds started_steady_ = steady_now();
  // In this order: a start that fails for want of the folder or an address has not touched what is held.
  std::unique_ptr<store::Disk> folder_;
  boost::asio::ip::tcp::acceptor listener_;  // until the intake has it
  std::unique_ptr<Peers> peers_;             // null where the settings have no gossip
  std::unique_ptr<Frontend> admin_;
  Committer committer_;
  store::Store& store_;  // the committer's
  std::unique_ptr<LogReplication> copies_;
  DecisionCycle cycle_;
  EndpointView endpoints_;
  Executor executor_;
  Platform platform_;
  RequestTable requests_;
  Lifecycle lifecycle_;
  DrainController drain_;
  SuspendMonitor suspend_monitor_;
  StatusReporter status_;
  Timer shutdown_timer_;
  std::function<void()> stopped_;
  std::optional<Intake> intake_;  // last: it accepts once all else stands
};

}  // namespace heronvane

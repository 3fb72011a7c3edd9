// The relay: coordinates the objects that own its state, from a client's request to its final answer.
//
// A request is stored before it is acknowledged, an attempt before its first byte is sent, and an end before
// anybody is notified of it. Decisions are made by the decision module, not here.
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

// Created, used and destroyed on the event loop's thread. `io` and `config` outlive it.
class RelayServer {
 public:
  struct Start {
    std::string run;                // the id of this process's run
    std::optional<Fence> undrain;   // ends a stored drain; the start fails if a higher fence is stored
    bool force_own = false;         // with replication: use the folder's log without asking the replicas
    std::function<void()> drained;  // called once a drain is complete
    Microseconds waited = 0;        // microseconds that the start waited before this attempt
    std::string waited_for;         // the reason of the wait; empty: there was none
  };

  // Locks the folder, binds the addresses, recovers what an earlier process left, then accepts clients.
  // Throws startup::StartError if the folder can't be locked or an address can't be bound; the stored
  // messages are untouched then.
  RelayServer(boost::asio::io_context& io, const Config& config, Start start);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Applies the parts of `config` that may change while the relay runs: the address of discovery, the
  // generation, and the members that may hold copies.
  void reconfigure(const Config& config);
  // Shuts down gracefully: goes on answering clients, waits for calls in flight, then calls `done`, within
  // Lifecycle::kShutdownTime.
  void stop(std::function<void()> done);

 private:
  // Hooks between the relay's parts.
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

  // relay_recovery.cpp: takes up requests of earlier incarnations and of other relays
  void recover();
  bool resume_request(MessageId id, const Held& held);
  heronvane::dispatch::event::RequestRecovered recovered(MessageId id, const Held& held) const;
  Microseconds held_since(const Held& held) const;
  void on_log_lost();
  void taken_over(MessageId from, MessageId to);
  bool may_be_non_idempotent(const Message& message) const;

  // relay_shutdown.cpp: drain, graceful shutdown and suspension
  bool has_open_work() const;
  Lifecycle::OpenWork open_work() const;
  void check_shutdown();

  boost::asio::io_context& io_;
  const Config& config_;
  const Start start_;
  const Microseconds started_ = wall_now();
  const Microseconds started_steady_ = steady_now();
  // In this order, so that a start that can't lock the folder or bind an address leaves the stored messages
  // untouched.
  std::unique_ptr<store::Disk> folder_;
  boost::asio::ip::tcp::acceptor listener_;  // until it is moved into the intake
  std::unique_ptr<Peers> peers_;             // null if gossip is off
  std::unique_ptr<Frontend> admin_;
  Committer committer_;
  store::Store& store_;  // owned by the committer
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
  std::optional<Intake> intake_;  // last: accepts clients once all other members exist
};

}  // namespace heronvane

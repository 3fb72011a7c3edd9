// The round: gathers what has come in, lets the dispatcher decide, carries out its actions.
//
// No decision is made here and no action is taken before its record stands in the store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "committer.hpp"
#include "config.hpp"
#include "core/alarm.hpp"
#include "core/decision_cycle.hpp"
#include "core/in_flight_gauge.hpp"
#include "core/lifecycle.hpp"
#include "core/log_copies.hpp"
#include "core/outbox.hpp"
#include "core/request_table.hpp"
#include "core/status.hpp"
#include "core/suspend_monitor.hpp"
#include "drain_controller.hpp"
#include "endpoint_view.hpp"
#include "executor.hpp"
#include "fronts/front.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "intake.hpp"
#include "log.hpp"
#include "peers.hpp"
#include "platform.hpp"
#include "store/disk.hpp"

namespace heronvane {

class Relay {
 public:
  // Takes the folder and the addresses, then what an earlier process left; from then on clients are accepted.
  // Throws startup::StartError where the folder or an address can't be had; what is held was not touched
  // then.
  struct Start {
    std::string run;               // the id of this process's run
    std::optional<Fence> undrain;  // takes back a drain that is kept; the start fails under a lower fence
    bool force_own = false;  // with copies: what the folder holds is this relay's, its holders are not asked
    std::function<void()> drained;  // a drain is done and told: nothing is held or owed any more
    Microseconds waited = 0;        // how long the start was waiting before this try, in microseconds
    std::string waited_for;         // what for; empty: it was not waiting
  };
  Relay(boost::asio::io_context& io, const Config& config, Start start);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Takes over what may change while the relay runs: where discovery is found, who may hold copies.
  void reconfigure(const Config& config);
  // Answers clients on, lets calls out come home, then calls `done`, within kDrainMost.
  void stop(std::function<void()> done);

 private:
  std::unique_ptr<Peers> hear_peers();
  void on_request(Message message, Microseconds left, ReplyCallback reply);
  void ended(const heronvane::dispatch::event::AttemptEnded& e);
  Committer::Hooks commit_hooks();
  Executor::Hooks executor_hooks();
  EndpointView::Hooks endpoint_hooks();
  void run_cycle();
  void decide(WriteAheadPlan& plan);
  void expire_overdue();
  void execute(WriteAheadPlan plan);
  void reject(std::vector<WriteAheadPlan::PendingReply> replies, CommitFailure why);
  void completed(MessageId id, bool was_taken_on = true);
  bool is_known(const std::string& client_id) const;
  void refuse(const ReplyCallback& reply, const char* why);
  void finish(WriteAheadPlan& plan, MessageId id, const Ending& ending);
#ifdef HERONVANE_FAIL_POINTS
  void tell_late(MessageId id, const Ending& ending);
#endif

  // relay_lifecycle.cpp, with stop()
  void without_copies();
  void recover();
  bool adopt(MessageId id, const Held& held);
  SuspendMonitor::Hooks suspend_hooks();
  DrainController::Hooks drain_hooks();
  bool has_open_work() const;
  void check_shutdown();
  Microseconds held_since(const Held& held) const;

  // relay_admin.cpp, or relay_no_admin.cpp in a build without the socket
  std::unique_ptr<Front> open_admin();
  Status status() const;

  // relay_copies.cpp, or relay_no_copies.cpp in a build without them
  std::unique_ptr<LogCopies> open_copies();
  void disown();
  void taken_over(MessageId from, MessageId to);
  // What is handed in now can be kept as the settings ask.
  bool copied() const { return !copies_ || (copies_->ready() && !copies_->is_short()); }

  bool ready() const;
  heronvane::dispatch::event::RequestArrived arrival(MessageId id, const Message& m) const;

  boost::asio::io_context& io_;
  const Config& config_;
  const Start start_;
  const Microseconds started_ = wall_now(), started_steady_ = steady_now();
  // In this order: a start that fails for want of the folder or an address has not touched what is held.
  std::unique_ptr<store::Disk> folder_;
  boost::asio::ip::tcp::acceptor listener_;  // until the intake has it
  std::unique_ptr<Peers> peers_;             // where the settings allow notes
  std::unique_ptr<Front> admin_;             // where the operator's settings ask for it
  Committer committer_;
  store::Store& store_;                // the committer's
  std::unique_ptr<LogCopies> copies_;  // where the operator's settings ask for them
  DecisionCycle cycle_;
  EndpointView endpoints_;
  Executor executor_;
  Platform platform_;

  RequestTable requests_;
  Tally refused_;        // told once a second, by reason
  InFlightGauge gauge_;  // kept where there is an admin socket
  Lifecycle lifecycle_;
  DrainController drain_;
  SuspendMonitor suspend_monitor_;
  std::int64_t generation_;
  Alarm shutdown_timer_;
  std::function<void()> done_;
  std::optional<Intake> intake_;  // last: it accepts once all else stands
};

}  // namespace heronvane

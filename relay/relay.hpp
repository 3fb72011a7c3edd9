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

#include "calls.hpp"
#include "config.hpp"
#include "core/cycle_pacing.hpp"
#include "core/directory.hpp"
#include "core/in_flight_gauge.hpp"
#include "core/learned_state_store.hpp"
#include "core/lifecycle.hpp"
#include "core/log_replication.hpp"
#include "core/outbox.hpp"
#include "core/request_table.hpp"
#include "core/status.hpp"
#include "core/suspend_monitor.hpp"
#include "core/timer.hpp"
#include "core/unavailable_endpoints.hpp"
#include "drain_controller.hpp"
#include "fronts/front.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "intake.hpp"
#include "log.hpp"
#include "peers.hpp"
#include "platform.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"
#include "store/sync_thread.hpp"

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
  std::unique_ptr<store::SyncThread> sync_thread();
  void tell_listed(const std::vector<heronvane::dispatch::Endpoint>& endpoints);
  void tell_next_listed();
  bool keep(const std::string& key, const std::string& value);
  void on_request(Message message, Microseconds left, ReplyCallback reply);
  void ended(const heronvane::dispatch::event::AttemptEnded& e);
  void listed(EndpointList list);
  template <class E>
  void happened(E event) {
    events_.emplace_back(std::move(event));
    schedule();
  }
  void schedule(bool urgent = false);
  void settle_soon();
  void round();
  void decide(WriteAheadPlan& plan);
  void settle(WriteAheadPlan plan = {});
  void synced();
  void not_written();
  void retry_later();
  void tell_overdue();
  void keep_from(const EndpointId& endpoint);
  void cancel(MessageId id, int attempt);
  void carry_out();
  void begin(const EndpointId& endpoint, std::vector<Outgoing> messages);
  void take_back(const EndpointId& endpoint, const Outgoing& message);
  void turn_away(std::vector<WriteAheadPlan::PendingReply> answers, unsigned status);
  void completed(MessageId id, bool was_taken_on = true);
  bool is_known(const std::string& client_id) const;
  void refuse(const ReplyCallback& reply, const char* why);
  void send(WriteAheadPlan& plan, const heronvane::dispatch::action::Send& a);
  void finish(WriteAheadPlan& plan, MessageId id, const Ending& ending);
  void set_timer(Microseconds after, std::uint64_t token);
  void arm_timers();
  void hold_back(const EndpointId& endpoint);
  void compact();
#ifdef HERONVANE_FAIL_POINTS
  void tell_late(MessageId id, const Ending& ending);
#endif

  // relay_lifecycle.cpp, with stop()
  void without_copies();
  void recover();
  bool adopt(MessageId id, const Held& held);
  void recall(const std::vector<heronvane::dispatch::Endpoint>& endpoints);
  void remember_targets();
  SuspendMonitor::Hooks suspend_hooks();
  DrainController::Hooks drain_hooks();
  bool has_open_work() const;
  void check_shutdown();
  Microseconds held_since(const Held& held) const;

  // relay_admin.cpp, or relay_no_admin.cpp in a build without the socket
  std::unique_ptr<Front> open_admin();
  Status status() const;

  // relay_copies.cpp, or relay_no_copies.cpp in a build without them
  std::unique_ptr<LogReplication> open_copies();
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
  boost::asio::ip::tcp::acceptor listener_;         // until the intake has it
  std::unique_ptr<Peers> peers_;                    // where the settings allow notes
  std::unique_ptr<Front> admin_;                    // where the operator's settings ask for it
  std::unique_ptr<store::SyncThread> sync_thread_;  // where records must outlast the machine
  store::Store store_;
  std::unique_ptr<LogReplication> copies_;  // where the operator's settings ask for them
  Outbox outbox_;                           // until their records stand
  bool unwritten_ = false;                  // the store can't be written now: the module is not asked
  std::map<std::string, std::string> kept_meanwhile_;
  UnavailableEndpoints unavailable_endpoints_;
  EndpointList known_;  // the configuration's list, as it holds
  RestoredStates restored_states_;
  heronvane::dispatch::Dispatcher dispatcher_;
  Calls calls_;
  Platform platform_;

  Directory directory_;
  std::unordered_map<EndpointId, std::size_t> filling_;  // of the plan that is made, the last call to each
  RequestTable requests_;
  CounterLog refused_;      // told once a second, by reason
  InFlightGauge gauge_;     // kept where there is an admin socket
  bool list_told_ = false;  // by discovery, in this life
  std::deque<std::vector<heronvane::dispatch::Endpoint>>
      listed_later_;  // told by a list, not to the module yet
  std::vector<heronvane::dispatch::Event> events_;
  std::multimap<Microseconds, std::uint64_t> timers_;
  Microseconds last_round_ = 0;
  bool list_missed_ = false;  // the list changed meanwhile
  CyclePacing round_gap_;
  Microseconds round_at_ = 0;  // when the next is due
  bool round_due_ = false, settle_due_ = false, compacting_ = false;
  Lifecycle lifecycle_;
  DrainController drain_;
  SuspendMonitor suspend_monitor_;
  std::int64_t generation_;
  Timer round_timer_, module_timer_, stall_timer_, shutdown_timer_, compact_timer_;
  std::function<void()> done_;
  std::optional<Intake> intake_;  // last: it accepts once all else stands
};

}  // namespace heronvane

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
#include "core/directory.hpp"
#include "core/drain.hpp"
#include "core/held_gauge.hpp"
#include "core/learned_state_store.hpp"
#include "core/log_replication.hpp"
#include "core/outbox.hpp"
#include "core/round_gap.hpp"
#include "core/status.hpp"
#include "core/timer.hpp"
#include "core/unavailable_endpoints.hpp"
#include "core/wake.hpp"
#include "fronts/front.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "intake.hpp"
#include "log.hpp"
#include "peers.hpp"
#include "platform.hpp"
#include "recent.hpp"
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
  struct Arrived {
    Message message;
    Reply reply;
  };

  std::unique_ptr<Peers> hear_peers();
  std::unique_ptr<store::SyncThread> sync_thread();
  void tell_listed(const std::vector<heronvane::dispatch::Endpoint>& endpoints);
  void tell_next_listed();
  bool keep(const std::string& key, const std::string& value);
  void arrive(Message message, Microseconds left, Reply reply);
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
  void decide(Plan& plan);
  void settle(Plan plan = {});
  void synced();
  void not_written();
  void retry_later();
  void tell_overdue();
  void keep_from(const EndpointId& endpoint);
  void cancel(MessageId id, int attempt);
  void carry_out();
  void begin(const EndpointId& endpoint, std::vector<Outgoing> messages);
  void take_back(const EndpointId& endpoint, const Outgoing& message);
  void turn_away(std::vector<Plan::Answered> answers, unsigned status);
  void over(MessageId id, bool was_taken_on = true);
  void refuse(const Reply& reply, const char* why);
  Reply shared(const std::string& id, Reply reply);
  void send(Plan& plan, const heronvane::dispatch::action::Send& a);
  void finish(Plan& plan, MessageId id, const Ending& ending);
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
  void check_drained();

  // relay_fleet.cpp
  void start_drained();
  void change_drain(const DrainState& to, std::function<void(bool kept)> done);
  void look_drained();
  bool owes_nothing() const;
  bool turned();
  void beat();
  void woke(Microseconds gap);
  void awake();
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
  std::unordered_map<std::string, MessageId> numbers_;   // of the messages held, by the client's id
  std::map<MessageId, Reply> unanswered_;                // taken in this round
  // Ids that wait for their answer, with those that handed the same one in meanwhile.
  std::unordered_map<std::string, std::vector<Reply>> twins_;
  RecentIds recent_;        // taken on and over; those that may run again
  CounterLog refused_;      // told once a second, by reason
  HeldGauge gauge_;         // kept where there is an admin socket
  bool list_told_ = false;  // by discovery, in this life
  std::deque<std::vector<heronvane::dispatch::Endpoint>>
      listed_later_;  // told by a list, not to the module yet
  std::vector<Arrived> arrived_;
  std::vector<heronvane::dispatch::Event> events_;
  std::multimap<Microseconds, std::uint64_t> timers_;
  Microseconds last_round_ = 0, stop_at_ = 0;
  bool list_missed_ = false;  // the list changed meanwhile
  RoundGap round_gap_;
  Microseconds round_at_ = 0;  // when the next is due
  bool round_due_ = false, settle_due_ = false, compacting_ = false, stopping_ = false, frozen_ = false;
  DrainState drain_;
  bool changing_drain_ = false;   // until it is kept
  bool drained_failed_ = false;   // the file could not be written, as was told
  Microseconds quiet_since_ = 0;  // nothing is held or owed; 0: something is
  WakeWatch wake_;
  bool waking_ = false;  // the module is not asked
  std::int64_t generation_;
  Timer beat_timer_, wake_timer_, drained_timer_;
  Timer round_timer_, module_timer_, stall_timer_, drain_timer_, compact_timer_;
  std::function<void()> done_;
  std::optional<Intake> intake_;  // last: it accepts once all else stands
};

}  // namespace heronvane

// Taking over logs that this relay holds: when an owner counts as gone, one claim at a time, what it brings
// into the relay's own log, and when that may be acted on. The claim itself is claim.hpp's.
//
// One thread. Time is the caller's.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "claim.hpp"
#include "packet.hpp"
#include "shelf.hpp"
#include "store/store.hpp"

namespace heronvane::copies {

class Takeover {
 public:
  struct Host {
    store::Store& store;
    ReplicaLogs& replica_logs;
    std::function<Member()> self;
    std::function<LogId()> own_log;
    std::function<Acks()> acks;
    std::function<Microseconds()> steady;
    std::function<std::uint64_t(std::uint64_t above)> next_epoch;  // kept before it is used
    // To a member, this relay's own shelves among them. False: not now.
    std::function<bool(const Member& to, const Packet& packet)> send;
    std::function<void()> commit;
    std::function<void(MessageId from, MessageId to)> taken_over;
    std::function<void(const std::string&)> log;
    Microseconds takeover_after = 0;  // an owner not heard for so long is gone; 0: only by hand
  };
  explicit Takeover(Host host) : host_(std::move(host)) {}

  // What an earlier life had begun to take over: parked from here on.
  void load();
  bool parked(MessageId number) const;
  std::string begin_by_operator(const std::string& name);
  void tick();  // some times a second, once the relay's own log stands
  // An answer about a log that is not this relay's own.
  void handle(const Member& from, const Packet& packet);
  // What had been begun is given up: its log is taken over anew later. The own log is gone.
  void abandon_all();

  // Members that it wants to speak to.
  std::vector<Member> wanted_members() const;
  std::size_t completed() const { return completed_; }  // since the start
  std::string describe_progress() const;                // for people; empty: nothing

 private:
  struct SilentLeader {  // an owner not heard: what other holders say
    std::map<Member, Microseconds> silence;
    Microseconds asked_at = -1;
  };
  struct ChainedImport {
    Import import;  // numbers as that log had them, then as they are here
    MessageId first = 0, end = 0;
  };
  void begin(const LogId& log, const Config& config, std::uint64_t above);
  void check_for_lost_leaders();
  void send_requests();
  void on_claim_state();
  void import_chunk(const Packet& packet);
  void import_record(store::Record&& record);
  void on_won();
  void abandon_claim(const std::string& why);
  void end_claim();
  void persist_import(const LogId& log);
  void drop_import(const LogId& log);
  const Import* import_of(const LogId& log) const;

  Host host_;
  std::vector<Import> imports_;  // parked, those of `claim_` among them
  std::map<LogId, SilentLeader> silent_leaders_;
  std::optional<Claim> claim_;
  LogId claimed_log_;  // that is claimed
  bool by_operator_ = false;
  Microseconds last_sent_at_ = 0, read_requested_at_ = 0, retry_at_ = 0, claim_started_at_ = 0;
  std::uint64_t next_chunk_ = 0;
  MessageId next_number_ = 0;              // number of the next message that is read
  Microseconds clock_shift_ = 0;           // of its times
  bool state_complete_ = false;            // all parts are here
  store::Sequence imported_sequence_ = 0;  // with them
  std::vector<ChainedImport> chained_imports_;
  std::size_t completed_ = 0;
};

}  // namespace heronvane::copies

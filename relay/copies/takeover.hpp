// Takes over logs of which this relay keeps a replica: detects lost leaders, runs one claim (claim.hpp) at a
// time, imports the messages into the relay's own log, and decides when they may be acted on.
//
// Called from one thread. The caller supplies the time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "claim.hpp"
#include "frame_codec.hpp"
#include "replica_logs.hpp"
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
    std::function<std::uint64_t(std::uint64_t above)> next_epoch;  // persisted before use
    // Sends to a member; this relay's own replicas count as one. False: can't be sent now.
    std::function<bool(const Member& to, const Packet& packet)> send;
    std::function<void()> commit;
    std::function<void(MessageId from, MessageId to)> taken_over;
    std::function<void(const std::string&)> log;
    Microseconds takeover_after = 0;  // silence after which a leader is lost; 0: only on request
  };
  explicit Takeover(Host host) : host_(std::move(host)) {}

  // Loads the takeovers that an earlier process began. Their messages are parked.
  void load();
  bool parked(MessageId number) const;
  std::string begin_by_operator(const std::string& name);
  void tick();  // several times a second, once the relay's own log is ready
  // Handles an answer about another relay's log.
  void handle(const Member& from, const Packet& packet);
  // Abandons the takeovers in progress, because the own log was lost. They start anew later.
  void abandon_all();

  // Members to which connections are needed.
  std::vector<Member> wanted_members() const;
  std::size_t completed() const { return completed_; }  // since the process started
  std::string describe_progress() const;                // for the status; empty: idle

 private:
  struct SilentLeader {  // a silent leader, and the silence that other replicas report
    std::map<Member, Microseconds> silence;
    Microseconds asked_at = -1;
  };
  struct ChainedImport {
    Import import;  // numbers in that log; first and end are the numbers here
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
  std::vector<Import> imports_;  // parked, including those of `claim_`
  std::map<LogId, SilentLeader> silent_leaders_;
  std::optional<Claim> claim_;
  LogId claimed_log_;  // the log of `claim_`
  bool by_operator_ = false;
  Microseconds last_sent_at_ = 0, read_requested_at_ = 0, retry_at_ = 0, claim_started_at_ = 0;
  std::uint64_t next_chunk_ = 0;
  MessageId next_number_ = 0;              // number for the next imported message
  Microseconds clock_shift_ = 0;           // added to imported times
  bool state_complete_ = false;            // all chunks have arrived
  store::Sequence imported_sequence_ = 0;  // sequence of the last imported record
  std::vector<ChainedImport> chained_imports_;
  std::size_t completed_ = 0;
};

}  // namespace heronvane::copies

// heronvane's fleet: the decisions of an agent that keeps relays on one machine.
//
// The agent feeds one Decider what it sees (commands, ends of processes, answers of admin sockets, records
// that stand) and carries out the actions that come back, in order. The decider never blocks, does no input
// or output, reads no clock and starts no thread: equal state, seed and events give equal actions.
//
// What lasts is Restored: after the agent was killed, a Decider made of exactly the rows whose records were
// acknowledged goes on. An action that touches a process comes out only after Recorded for the record that
// tells of it. One record is out at a time; decisions that come up meanwhile wait for its end.
//
// All times and durations are in microseconds. Time counts from the epoch on a clock that never goes back
// while the agent lives (the wall clock at its start, then the steady clock). Recorded times are for showing;
// no decision hangs on them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heronvane::fleet {

using Microseconds = std::int64_t;
using OperationId = std::uint64_t;  // also the fence that its admin calls carry; 0: none
using RecordId = std::uint64_t;     // ascending while one Decider lives; begins at 1 again in the next
using RequestId = std::uint64_t;    // the agent's own, given back in Tell
using Generation = std::uint64_t;

enum class Desired { running, drained, stopped };
enum class Phase {
  absent,
  starting,
  ready,
  unready,
  draining,
  drained,
  stopping,
  stopped,
  backoff,
  looping,
  stalled
};
enum class Kind { up, down, drain, undrain, restart, apply, rollback };
enum class OperationState { running, done, failed, cancelled, superseded };
enum class StepState { waiting, acting, done, failed, skipped };
enum class Signum { term, kill };
enum class AdminCall { drain, undrain, fence };  // what was asked of an admin socket

// The words of the API, as docs/design/fleet.md writes them.
std::string_view name_of(Desired value);
std::string_view name_of(Phase value);
std::string_view name_of(Kind value);
std::string_view name_of(OperationState value);
std::string_view name_of(StepState value);

// A configuration as far as the decisions need it: parts by name (`limits.disk_mb`) with their values as they
// are to be shown in a diff. What they mean is the agent's affair.
using ConfigParts = std::map<std::string, std::string>;

struct InstanceSpec {
  std::string name;  // 1 to 64 characters of a-z 0-9 -, no two alike
  ConfigParts own;   // `listen` and what else is its own; a change restarts it
};
struct FleetSpec {
  int max_unavailable = 1;
  ConfigParts common;                   // in the configuration of each instance: a change restarts all
  ConfigParts agent_parts;              // the agent's own (the platform): shown in the diff, restarts nothing
  std::vector<InstanceSpec> instances;  // at most 1,000
  std::string text;                     // as applied; opaque, only kept and given back
};

// ---- rows that last ----

struct InstanceRow {
  std::string name;
  std::string listen;  // own["listen"], for showing
  Desired desired = Desired::stopped;
  Generation changed = 0;      // of the last accepted change that names it: what staleness is judged by
  Generation wanted = 0;       // of the fleet whose configuration it shall run with
  Generation config = 0;       // of the fleet whose configuration its next start gets; 0: none yet
  std::string digest;          // of the parts that configuration was made of
  OperationId fence = 0;       // of the last operation that acted on it
  std::string run;             // last run started or about to be; empty: never started
  bool live = false;           // that run was to be started and its end has not been seen
  int pid = 0;                 // of the run; 0: not seen yet (it may live all the same)
  std::string retire;          // this run shall end and another start in its place; empty: none
  bool drain_kept = false;     // its store may hold a drain: started to run, it gets --undrain
  bool ended_drained = false;  // it ended by a drain and stays ended until undrained
  bool removing = false;       // goes out of the fleet once it is drained
  std::uint64_t restarts = 0;  // starts that no operation asked for
  std::string last_exit;       // "status 1", "signal 9", "drained", "gone" (ended while no agent looked)
};

struct Step {
  std::string instance;
  StepState state = StepState::waiting;
  std::string what;  // for people
  Microseconds since = 0;
  std::string run_before;  // the run that stood when it began to act
  // What an acting step does; of apply and rollback it differs by instance.
  enum class Work { start, stop, drain, undrain, restart, add, remove, rewrite } work = Work::start;
};
struct Operation {
  OperationId id = 0;  // 0 in the plan of a dry run
  Kind kind = Kind::up;
  std::string by;
  OperationState state = OperationState::running;
  Generation generation = 0;  // that it made
  int max_unavailable = 0;    // 0: no bound
  Microseconds created = 0;
  Microseconds ended = 0;
  std::string message;
  OperationId superseded_by = 0;
  std::vector<Step> steps;        // in the order in which they begin
  std::vector<std::string> diff;  // apply, rollback: lines for people
};

// What the database gives back. Rows in any order.
struct Restored {
  Generation generation = 0;
  OperationId last_operation = 0;
  FleetSpec fleet;  // the last one applied
  std::vector<InstanceRow> instances;
  std::vector<Operation> operations;  // all that run, and of the ended at least the last 200 where there are
};

// ---- events ----

namespace event {
// A change is asked for. Ends in exactly one Tell.
struct Command {
  RequestId request = 0;
  Kind kind = Kind::up;
  bool all = false;                // apply, rollback: neither all nor names counts
  std::vector<std::string> names;  // no order; twice the same is once
  std::optional<Generation> against;
  std::string by;
  std::optional<int> max_unavailable;  // at least 1
  bool supersede = false;
  bool dry_run = false;
  // apply: the fleet. rollback: the fleet that generation `to` had, read by the agent from its database;
  // empty where there is none such, and refused then.
  std::optional<FleetSpec> fleet;
  Generation to = 0;
};
// Ends in exactly one Tell: Accepted with the operation as cancelled, Ended or Unknown. Steps that act leave
// their instances to become what is desired of them; nothing is taken back.
struct Cancel {
  RequestId request = 0;
  OperationId operation = 0;
};
struct Recorded {
  RecordId record = 0;
};  // it lasts; records are acknowledged in their order
struct RecordFailed {
  RecordId record = 0;
  std::string why;
};  // nothing of it lasts
struct Spawned {
  std::string name;
  int pid = 0;
  std::string run;
};
struct SpawnFailed {
  std::string name;
  std::string run;
  std::string why;
};  // no process of that run stands
struct Exited {
  std::string name;
  std::string run;
  int status = 0;  // meant where signal is 0
  int signal = 0;
  std::optional<OperationId> drained;  // fence in the file `drained`, where the file names this run
};
struct StatusSeen {
  std::string name;
  std::string run;
  bool ready = false;
  bool draining = false;
  bool stopping = false;
  std::uint64_t held = 0;
  std::int64_t oldest_ms = 0;
  OperationId fence = 0;
  Generation generation = 0;
};
struct StatusMissed {
  std::string name;
  std::string run;
};  // asked, and not answered in time or not at all
// The answer to an AskDrain, AskUndrain or AskFence; `failed` also where none came.
struct Answered {
  enum class Result { ok, fenced, failed };
  std::string name;
  std::string run;  // that was asked
  AdminCall call = AdminCall::fence;
  Result result = Result::failed;
  OperationId highest = 0;  // fenced: the highest fence that it saw
  std::string why;          // failed
};
// After the agent's start, exactly one of these for each row with `live`. The search goes by the run and not
// by the pid alone: the agent may have been killed between the start and its record.
struct Adopted {
  std::string name;
  int pid = 0;
  std::string run;
};
struct NotFound {
  std::string name;
  std::string run;
  std::optional<OperationId> drained;  // as in Exited
};
struct StateFolderMissing {
  std::string name;
};  // its state folder is no more
struct TimerExpired {};
}  // namespace event

using Event =
    std::variant<event::Command, event::Cancel, event::Recorded, event::RecordFailed, event::Spawned,
                 event::SpawnFailed, event::Exited, event::StatusSeen, event::StatusMissed, event::Answered,
                 event::Adopted, event::NotFound, event::StateFolderMissing, event::TimerExpired>;

// ---- actions ----

// How a request ended.
namespace verdict {
struct Accepted {
  Operation operation;
};  // its record stands
struct Conflict {
  OperationId with = 0;
  Kind kind = Kind::up;
  std::string by;
  Microseconds since = 0;
  std::vector<std::string> names;
};
struct Stale {
  Generation generation = 0;
  std::vector<std::string> names;
};  // now, and what changed since
struct Refused {
  std::string why;
};  // can't be done: why
struct Malformed {
  std::string why;
};  // a name, number or field that no command can have
struct Unknown {
  std::string what;
};  // no such instance or operation
struct Ended {
  Operation operation;
};  // Cancel of what has ended
struct Storage {
  std::string why;
};               // it could not be recorded, nothing is changed
struct Busy {};  // too many commands wait for the database
struct Plan {
  Operation operation;
};  // dry run: what would be, id 0
}  // namespace verdict
using Verdict =
    std::variant<verdict::Accepted, verdict::Conflict, verdict::Stale, verdict::Refused, verdict::Malformed,
                 verdict::Unknown, verdict::Ended, verdict::Storage, verdict::Busy, verdict::Plan>;

namespace action {
// To be written in one transaction and answered by Recorded or RecordFailed; the next comes only after that.
// Rows replace those of the same key. Where the agent sees no answer it can't go on.
struct Record {
  RecordId record = 0;
  std::vector<Operation> operations;  // whole, with their steps
  std::vector<InstanceRow> instances;
  std::vector<std::string> removed;  // instance rows that go
  Generation generation = 0;         // as it is then
  OperationId last_operation = 0;
  std::optional<FleetSpec> fleet;  // applied with `generation`; kept by it, for WriteConfig and rollback
};
// Its configuration is to be that of the fleet recorded for `generation`; whole or not at all. Comes before
// each Spawn; writing it again does no harm. Where it can't be written, the Spawn after it is SpawnFailed.
struct WriteConfig {
  std::string name;
  Generation generation = 0;
};
// Answered by Spawned or SpawnFailed. No earlier run of that instance stands.
struct Spawn {
  std::string name;
  std::string run;
  std::optional<OperationId> undrain;
};
// Nothing where that run has ended.
struct Signal {
  std::string name;
  std::string run;
  Signum signal = Signum::term;
};
// Answered by Answered. Repeats do no harm.
struct AskDrain {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
struct AskUndrain {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
struct AskFence {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
// The folder of an instance that is drained and out of the fleet may go; its row is gone.
struct Removed {
  std::string name;
};
struct SetTimer {
  Microseconds at = 0;
};  // in place of the earlier one
struct Reply {
  RequestId request = 0;
  Verdict verdict;
};
struct OperationChanged {
  OperationId operation = 0;
};  // for those that follow it; recorded changes only
struct Log {
  std::string text;
};
}  // namespace action

using Action = std::variant<action::Record, action::WriteConfig, action::Spawn, action::Signal,
                            action::AskDrain, action::AskUndrain, action::AskFence, action::Removed,
                            action::SetTimer, action::Reply, action::OperationChanged, action::Log>;

// ---- the decider ----

struct Tuning {
  Microseconds backoff_initial = 500'000;   // before a crashed instance starts again, doubling, with jitter
  Microseconds backoff_max = 30'000'000;    // (half to all of it)
  Microseconds backoff_reset = 60'000'000;  // ready for so long, the next crash is a first one
  int loop_crash_count = 5;                 // so many crashes ...
  Microseconds loop_window = 60'000'000;    // ... in this time are told as looping
  Microseconds stalled_after = 3'000'000;   // no answer of its admin socket
  Microseconds stalled_kill_after =
      10'000'000;  // then ended by SIGKILL; in an operation's step at stalled_after
  Microseconds first_status_timeout = 30'000'000;  // of one that starts: reading its store may take long
  Microseconds ready_timeout = 30'000'000;         // a step fails where its instance is not ready by then
  int step_crash_limit = 3;                        // or crashed so often
  Microseconds term_grace = 5'000'000;             // from SIGTERM to SIGKILL
  Microseconds admin_retry_delay = 1'000'000;      // admin calls without effect are repeated
  Microseconds record_retry_delay = 1'000'000;     // decisions whose record failed are taken up again
  Microseconds timer_interval =
      500'000;  // a timer is asked for at least so often while a process or operation is there
  Microseconds suspend_threshold =
      2'000'000;  // a timer later than this: the machine slept, and no one was silent meanwhile
  std::size_t operations_kept = 200;  // that ended
  std::size_t max_pending_commands = 64;
  std::size_t max_instances = 1000;
};

// What an instance is seen as now; I of the API together with its row.
struct InstanceView {
  const InstanceRow* row = nullptr;
  Phase phase = Phase::absent;
  Microseconds since = 0;       // in that phase
  Microseconds next_start = 0;  // backoff, looping: when it starts again; else 0
  bool ready = false;
  std::uint64_t held = 0;  // as last told
  std::int64_t oldest_ms = 0;
  Generation generation = 0;  // that its process told; 0: none
  OperationId operation = 0;  // that has a step for it not ended yet
};

class Decider {
 public:
  // Rows that contradict themselves (a step of an instance that is not there) are mended and told by Log in
  // the first handle().
  Decider(Restored state, std::uint64_t seed, Tuning tuning = {});
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  // `now` never goes back. Actions are appended. The first call may come with any event; the agent sends
  // TimerExpired once at its start. Events of unknown names or old runs change nothing.
  void handle(Microseconds now, const Event& event, std::vector<Action>& actions);

  // Views of what is recorded, valid until the next handle().
  Generation generation() const;
  const FleetSpec& fleet() const;
  std::vector<InstanceView> instances() const;  // by name
  std::optional<InstanceView> instance(std::string_view name) const;
  std::vector<const Operation*> operations(std::size_t limit) const;  // newest first
  const Operation* operation(OperationId id) const;                   // nullptr: unknown or forgotten
  OperationId running_operation() const;                              // the newest that runs; 0: none

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace heronvane::fleet

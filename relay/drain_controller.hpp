// The operator's drain of a relay: whether one is in force, under which fence, and when it is complete.
//
// A draining relay accepts no new messages. The drain is complete once no message is held and no outcome
// notification is owed: then the file `drained` is written and the process may end.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/drain.hpp"
#include "core/timer.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"

namespace heronvane {

// Owned by the relay, outlived by it; called on the event loop's thread only, and calls back there.
class DrainController {
 public:
  struct Hooks {
    std::function<bool()> store_is_writable;
    KeepFact keep;
    // Commits the values that were passed to `keep`; calls `done`, at once or later, with whether they are
    // durable.
    std::function<void(std::function<void(bool durable)> done)> when_durable;
    // Whether messages are held or notifications owed; a pending change of the drain does not count.
    std::function<bool()> has_open_work;
    // Whether a reply to a client or to the operator is still being sent.
    std::function<bool()> is_answering;
    std::function<void()> drained;  // called once the file `drained` is written
  };

  // `restored` is the stored state. `folder` outlives this. `run` identifies this process in the file
  // `drained`.
  DrainController(boost::asio::io_context& io, store::Disk& folder, std::string run, DrainState restored,
                  Hooks hooks);

  bool draining() const { return state_.drain.has_value(); }
  // The fence under which the drain was requested; empty: no drain is in force.
  std::optional<Fence> drain_fence() const { return state_.drain; }
  Fence highest_fence() const { return state_.fence; }
  // Whether a change waits for its record to become durable.
  bool change_pending() const { return change_pending_; }

  // At a start: ends a stored drain of an earlier incarnation. Throws std::runtime_error if `fence` is lower
  // than the highest seen, startup::StartError if the change can't be stored.
  void end_at_start(Fence fence, store::Store& store);
  // At a start: resumes the drain of an earlier incarnation; if there is none, removes a leftover file
  // `drained`.
  void resume();

  // Changes the drain or its fence, and calls `done` with whether the change is durable. The new state is in
  // force at once; if it can't be stored, the old one is restored. One change at a time: while one is
  // pending, another one fails.
  void change(const DrainState& to, std::function<void(bool durable)> done);
  // Completes the drain if no work is open, else checks again later.
  void check_complete();

 private:
  bool keep(const DrainState& state);
  void finish_change(const DrainState& from, const DrainState& to, bool durable);
  bool complete();

  store::Disk& folder_;
  const std::string run_;
  const Hooks hooks_;
  DrainState state_;
  bool change_pending_ = false;
  bool file_failure_logged_ = false;
  std::optional<Microseconds> idle_since_;  // on the steady clock; empty: work is open
  Timer timer_;
};

}  // namespace heronvane

// The operator's drain of a relay: whether one is in force, under which fence, and when it is complete.
//
// A draining relay takes on nothing new. The drain is complete once nothing is held or owed any more: then
// the file `drained` is written and the process may end.
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
    // Writes what was kept; calls back with whether it is durable, at once or later.
    std::function<void(std::function<void(bool durable)> done)> when_durable;
    // Whether something is held or owed, a change of the drain aside.
    std::function<bool()> has_open_work;
    // Whether a client or the operator is being answered.
    std::function<bool()> is_answering;
    std::function<void()> drained;  // the file `drained` stands
  };

  // `restored`: as the store kept it. `folder` outlives this. `run` names this process in the file `drained`.
  DrainController(boost::asio::io_context& io, store::Disk& folder, std::string run, DrainState restored,
                  Hooks hooks);

  bool draining() const { return state_.drain.has_value(); }
  // Under which fence a drain was asked for; empty: none is in force.
  std::optional<Fence> drain_fence() const { return state_.drain; }
  Fence highest_fence() const { return state_.fence; }
  // A change waits for its record.
  bool change_pending() const { return change_pending_; }

  // At a start: ends the drain that an earlier incarnation left. Throws std::runtime_error where `fence` is
  // lower than the highest seen, startup::StartError where that can't be stored.
  void end_at_start(Fence fence, store::Store& store);
  // At a start: takes up the drain of an earlier incarnation, or removes the file that an earlier one left.
  void resume();

  // Changes the drain or its fence; `done` hears whether the change is durable. The new state holds
  // meanwhile; where it can't be stored the old one returns. One change at a time: a second is refused.
  void change(const DrainState& to, std::function<void(bool durable)> done);
  // Completes the drain when nothing is open, and looks again later while something is.
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
  std::optional<Microseconds> idle_since_;  // on the steady clock; empty: something is held or owed
  Timer timer_;
};

}  // namespace heronvane

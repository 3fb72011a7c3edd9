// What the checkpoint notes of a rate-limit scope and of an endpoint. Only Checkpoint reads and writes it.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// When a scope is to be looked at again for changes worth storing.
class ScopeMark {
  friend class Checkpoint;

  Microseconds due_at_ = kNever;        // when changes are to be given out
  Microseconds examined_at_ = -kNever;  // when changes were last looked for
  bool may_be_stored_ = false;          // the store may hold a record that is not blank
};

// What the store holds of an endpoint.
class EndpointMark {
  friend class Checkpoint;

  bool is_stored_ = false;  // a record that is not blank
  Microseconds given_at_ = -kNever;
  Microseconds health_since_ = 0;
  Microseconds retry_after_until_ = 0;
  LearnedState given_;
};

}  // namespace heronvane::dispatch

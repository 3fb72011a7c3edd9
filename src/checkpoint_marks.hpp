// What Checkpoint records about a rate-limit scope and an endpoint. Only Checkpoint reads and writes it.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// When a scope is to be examined again for changes worth storing.
class ScopeMark {
  friend class Checkpoint;

  Microseconds due_at_ = kNever;        // when it is to be examined
  Microseconds examined_at_ = -kNever;  // when it was last examined
  bool may_be_stored_ = false;          // the store may hold a record that is not blank
};

// What the store holds of an endpoint.
class EndpointMark {
  friend class Checkpoint;

  bool is_stored_ = false;  // a record that is not blank
  Microseconds returned_at_ = -kNever;
  Microseconds health_since_ = 0;
  Microseconds retry_after_until_ = 0;
  LearnedState returned_;
};

}  // namespace heronvane::dispatch

#include "decider.hpp"

namespace heronvane::fleet {

// No default case, so that the compiler warns about a value without a name.
std::string_view name_of(Desired value) {
  switch (value) {
    case Desired::running:
      return "running";
    case Desired::drained:
      return "drained";
    case Desired::stopped:
      return "stopped";
  }
  return "";
}

std::string_view name_of(Phase value) {
  switch (value) {
    case Phase::absent:
      return "absent";
    case Phase::starting:
      return "starting";
    case Phase::ready:
      return "ready";
    case Phase::unready:
      return "unready";
    case Phase::draining:
      return "draining";
    case Phase::drained:
      return "drained";
    case Phase::stopping:
      return "stopping";
    case Phase::stopped:
      return "stopped";
    case Phase::backoff:
      return "backoff";
    case Phase::looping:
      return "looping";
    case Phase::stalled:
      return "stalled";
  }
  return "";
}

std::string_view name_of(Kind value) {
  switch (value) {
    case Kind::up:
      return "up";
    case Kind::down:
      return "down";
    case Kind::drain:
      return "drain";
    case Kind::undrain:
      return "undrain";
    case Kind::restart:
      return "restart";
    case Kind::apply:
      return "apply";
    case Kind::rollback:
      return "rollback";
  }
  return "";
}

std::string_view name_of(OperationState value) {
  switch (value) {
    case OperationState::running:
      return "running";
    case OperationState::done:
      return "done";
    case OperationState::failed:
      return "failed";
    case OperationState::cancelled:
      return "cancelled";
    case OperationState::superseded:
      return "superseded";
  }
  return "";
}

std::string_view name_of(StepState value) {
  switch (value) {
    case StepState::waiting:
      return "waiting";
    case StepState::acting:
      return "acting";
    case StepState::done:
      return "done";
    case StepState::failed:
      return "failed";
    case StepState::skipped:
      return "skipped";
  }
  return "";
}

}  // namespace heronvane::fleet

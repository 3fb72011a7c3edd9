// The step of a decision pass that chooses which requests are sent, cancelled, failed or rejected.
#pragma once

#include <functional>
#include <memory>

#include "call_cancellation.hpp"
#include "decision_pass.hpp"
#include "request_lifecycle.hpp"
#include "request_sender.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// Decides in which order requests are sent, cancelled, failed and shed.
class RequestScheduler {
 public:
  RequestScheduler() = default;
  RequestScheduler(const RequestScheduler&) = delete;
  RequestScheduler& operator=(const RequestScheduler&) = delete;
  virtual ~RequestScheduler() = default;

  // Once in each pass, after its events. Must leave nothing pending in the reevaluation queue.
  virtual void run(DecisionPass& pass) = 0;
};

// What a scheduler works with; all outlive it.
struct SchedulerContext {
  RequestState& state;
  RequestLifecycle& lifecycle;
  const CallCancellation& cancellation;
  RequestSender& sender;
};

using SchedulerFactory = std::function<std::unique_ptr<RequestScheduler>(const SchedulerContext&)>;

// The scheduler of the product: looks only at those requests for which something can have changed.
std::unique_ptr<RequestScheduler> make_indexed_scheduler(const SchedulerContext& context);

}  // namespace heronvane::dispatch

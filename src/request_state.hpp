// The owners of the state of requests, constructed together because the later ones depend on the earlier
// ones.
//
// `settings` must outlive it and be valid. Each owner guards its own state; this struct adds nothing to them.
#pragma once

#include "call_table.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "load_shedding.hpp"
#include "order_keys.hpp"
#include "priority.hpp"
#include "reevaluation_queue.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "send_queue.hpp"
#include "tenant_quota.hpp"

namespace heronvane::dispatch {

// The owners of the request side, in the order of their construction.
struct RequestState {
  explicit RequestState(const Settings& settings)
      : priority(settings),
        retry_policy(settings, priority.shortest_objective_s()),
        load_shedding(settings),
        tenant_quota(settings),
        calls(settings.max_concurrent_calls),
        send_queue(priority.phases_by_group()) {}

  Priority priority;
  RetryPolicy retry_policy;
  LoadShedding load_shedding;
  TenantQuota tenant_quota;
  RequestTable requests;
  OrderKeys order_keys;
  CallTable calls;
  ReevaluationQueue reevaluation;
  SendQueue send_queue;  // those that are ready to go; refers to entries of `requests`
};

}  // namespace heronvane::dispatch

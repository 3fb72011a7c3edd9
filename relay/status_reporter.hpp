// Reports on the relay: whether it is ready, its status for the operator, and rejected requests in the log.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "committer.hpp"
#include "config.hpp"
#include "core/decision_cycle.hpp"
#include "core/in_flight_gauge.hpp"
#include "core/lifecycle.hpp"
#include "core/log_replication.hpp"
#include "core/status.hpp"
#include "drain_controller.hpp"
#include "endpoint_view.hpp"
#include "executor.hpp"
#include "log.hpp"
#include "platform.hpp"

namespace heronvane {

// Why a request was rejected or failed; the log counts them by reason.
enum class RejectReason {
  draining,
  too_few_copies,
  no_destination_list,
  in_flight_limit,
  store_not_writable,
  no_capacity,
  decided_reject,
  decided_fail,
  commit_failed
};

// Owned by the relay; called on the event loop's thread only. Reads the relay's parts and changes none.
class StatusReporter {
 public:
  // The parts of the relay that it reads; they outlive it.
  struct Sources {
    const Lifecycle& lifecycle;
    const DrainController& drain;
    const Committer& committer;
    const LogReplication& copies;
    const DecisionCycle& cycle;
    const EndpointView& endpoints;
    const Executor& executor;
    const Platform& platform;
    std::function<std::size_t()> client_connections;
  };
  // How this process was started.
  struct StartInfo {
    std::string run;           // the id of this process's run
    Microseconds started = 0;  // wall time
    Microseconds started_steady = 0;
    Microseconds waited = 0;  // how long the start waited for a transient failure to pass
    std::string waited_for;   // the reason of the wait; empty: there was none
  };

  StatusReporter(boost::asio::io_context& io, const Config& config, StartInfo start, Sources sources);

  // Count requests in flight for the operator's status, if there is an admin socket. `since` is on the
  // store's persistent clock.
  void request_added(MessageId id, const std::string& message_class, Microseconds since);
  void request_removed(MessageId id) { in_flight_.remove(id); }
  // Counts a rejected request; the log has one line a second with the counts by reason.
  void rejected(RejectReason reason);
  // Sets the generation of the current configuration.
  void set_generation(std::int64_t generation) { generation_ = generation; }

  // Whether the health check may tell clients to send requests here.
  bool ready() const;
  Status status() const;

 private:
  void add_endpoints(Status& status) const;
  void add_resources(Status& status) const;

  const Config& config_;
  const StartInfo start_;
  const Sources sources_;
  InFlightGauge in_flight_;
  CounterLog rejections_;
  std::int64_t generation_;
};

}  // namespace heronvane

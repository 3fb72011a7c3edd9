// What the relay reports of itself: whether it is ready, the operator's status, rejected requests in the log.
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

// Why a request was answered with a rejection or a failure, as the log counts it.
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

// Owned by the relay; called on the event loop's thread only. Changes nothing that it reports on.
class StatusReporter {
 public:
  // What it reports on; all of it outlives this.
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
  // How this process came to run.
  struct StartInfo {
    std::string run;           // the id of this process's run
    Microseconds started = 0;  // wall time
    Microseconds started_steady = 0;
    Microseconds waited = 0;  // how long the start was waiting for something that passed
    std::string waited_for;   // what for; empty: it was not waiting
  };

  StatusReporter(boost::asio::io_context& io, const Config& config, StartInfo start, Sources sources);

  // Requests in flight, counted for the operator's status where there is an admin socket. `since`: on the
  // store's persistent clock.
  void request_added(MessageId id, const std::string& message_class, Microseconds since);
  void request_removed(MessageId id) { in_flight_.remove(id); }
  // Counted, and logged once a second by reason.
  void rejected(RejectReason reason);
  // The configuration that holds from now on.
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

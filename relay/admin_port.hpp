// Opens the relay's admin socket for the operator. A build without the admin socket provides a null
// implementation.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "config.hpp"
#include "core/log_replication.hpp"
#include "core/request_table.hpp"
#include "drain_controller.hpp"
#include "frontends/frontend.hpp"
#include "status_reporter.hpp"
#include "store/store.hpp"

namespace heronvane {

// The parts of the relay that the operator's requests read and change.
struct AdminContext {
  const Config& config;
  const store::Store& store;
  const RequestTable& requests;
  const StatusReporter& status;
  DrainController& drain;
  LogReplication& copies;
};

// Called for each of the operator's requests; none arrives before Frontend::start().
using AdminContextSource = std::function<AdminContext()>;

// Opens the admin socket if the operator's settings ask for one, else returns a NullAdminFrontend. Throws
// std::runtime_error if the socket can't be opened, or if this build has no admin socket.
std::unique_ptr<Frontend> open_admin_frontend(boost::asio::io_context& io, const Config& config,
                                              AdminContextSource context);

// Used where the admin socket is off: accepts no connections.
class NullAdminFrontend : public Frontend {
 public:
  void start() override {}
  bool busy() const override { return false; }
};

}  // namespace heronvane

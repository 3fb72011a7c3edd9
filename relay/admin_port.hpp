// The operator's way into the relay. A build without the admin socket has a null implementation of it.
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

// What the operator's requests are answered from.
struct AdminContext {
  const Config& config;
  const store::Store& store;
  const RequestTable& requests;
  const StatusReporter& status;
  DrainController& drain;
  LogReplication& copies;
};

// Asked at each of the operator's requests, none of which comes before Front::start().
using AdminContextSource = std::function<AdminContext()>;

// Listens where the operator's settings ask for it; else the front is one that nobody enters. Throws
// std::runtime_error where the socket can't be had, or this build has none.
std::unique_ptr<Frontend> open_admin_frontend(boost::asio::io_context& io, const Config& config,
                                              AdminContextSource context);

// The front that nobody enters.
class NullAdminFrontend : public Frontend {
 public:
  void start() override {}
  bool busy() const override { return false; }
};

}  // namespace heronvane

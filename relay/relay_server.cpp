#include "relay_server.hpp"

#include <algorithm>
#include <utility>

#include "fail_points.hpp"
#include "log.hpp"
#include "startup/start_error.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace event = heronvane::dispatch::event;

namespace {

// Request bodies that are being read may take this fraction of the memory: one eighth.
constexpr std::size_t kBodyMemoryDivisor = 8;

// The maximum size of an endpoint list: one eighth of the memory, and at least 4 MiB, which hold 30,000
// endpoints.
std::size_t max_list_bytes(const Config& config) {
  constexpr std::size_t kMinListBytes = 4 << 20;
  constexpr std::size_t kListMemoryDivisor = 8;
  return std::max<std::size_t>(kMinListBytes, config.memory_bytes / kListMemoryDivisor);
}

// `remembers` says whether the id of a request is to be remembered once the request is completed.
store::Options store_options(const Config& config, std::function<bool(const Message&)> remembers) {
  store::Options options;
  options.limit_bytes = config.disk_bytes;
  options.attempts_max = config.settings.max_attempts;
  options.memory_bytes = config.memory_bytes;
  options.remembers = std::move(remembers);
  options.vital_facts = drain_facts();
  options.log = log;
  options.durability = config.own.store.durability;
  options.remember_window = config.own.store.remember_window;
  return options;
}

Microseconds longest_deadline(const heronvane::dispatch::Settings& settings) {
  Microseconds longest = 0;
  for (const auto& cls : settings.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

template <class Endpoint>
std::string text_of(const Endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

std::unique_ptr<store::Disk> locked_folder(const std::string& path) {
  try {
    return store::open_folder(path);
  } catch (const std::exception& error) {
    throw startup::to_start_error(error, startup::Step::state_folder);
  }
}

// Returns a listening socket. Clients that connect to it wait in the backlog until the intake accepts them.
net::ip::tcp::acceptor listening(net::io_context& io, const net::ip::tcp::endpoint& address) {
  try {
    return {io, address};
  } catch (const boost::system::system_error& e) {
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "listen: " + text_of(address) + ": " + e.code().message());
  }
}

}  // namespace

RelayServer::RelayServer(net::io_context& io, const Config& config, Start start)
    : io_(io),
      config_(config),
      start_(std::move(start)),
      folder_(locked_folder(config.state_folder)),
      listener_(listening(io, config.listen)),
      peers_(open_peers()),
      admin_(open_admin_frontend(io, config, [this] { return admin_context(); })),
      committer_(io, *folder_,
                 store_options(config, [this](const Message& m) { return may_be_non_idempotent(m); }),
                 commit_hooks()),
      store_(committer_.store()),
      copies_(open_log_copies(io, store_, config, start_.force_own, copies_hooks())),
      cycle_(io, config.settings, config.seed,
             CyclePacing(config.settings.min_decision_interval, config.own.relay.early_rounds),
             cycle_hooks()),
      endpoints_(config, committer_, cycle_, endpoint_hooks()),
      executor_(io, config, committer_, endpoints_.directory(), executor_hooks()),
      platform_(
          io, config.discovery, config.names, config.known.index, max_list_bytes(config),
          [this](EndpointList list) { endpoints_.apply(std::move(list), text_of(platform_.address())); },
          [this] { cycle_.notify(event::EndpointListFailed{}); },
          [this](const std::vector<MessageId>& ids) {
            for (const MessageId id : ids) completed(id);
            committer_.commit();
          }),
      requests_(longest_deadline(config.settings)),
      drain_(io, *folder_, start_.run, read_drain(store_.facts()), drain_hooks()),
      suspend_monitor_(io, config.own.relay.wake, suspend_hooks()),
      status_(io, config, start_info(), status_sources()),
      shutdown_timer_(io) {
  recover_store();
  accept_clients();
}

// Replication is destroyed first: it refers to the store and calls hooks of the other members.
RelayServer::~RelayServer() { copies_.reset(); }

void RelayServer::recover_store() {
  endpoints_.start();
  committer_.start();
  if (start_.undrain) drain_.end_at_start(*start_.undrain, store_);
  drain_.resume();
  endpoints_.restore_learned_state();
  HERONVANE_POINT("recover.taken-back");
  // Calls recover() once the log is confirmed to be this relay's.
  copies_->start();
  HERONVANE_POINT("recover.done");
}

void RelayServer::accept_clients() {
  // No asynchronous operation is started before this point, so a constructor that has thrown leaves no
  // handler behind that would refer to this relay.
  if (peers_) peers_->start();
  admin_->start();
  intake_.emplace(
      io_, std::move(listener_), config_.settings, config_.names,
      IntakeLimits{config_.client_connections, config_.memory_bytes / kBodyMemoryDivisor},
      [this](Message message, Microseconds time_left, ReplyCallback reply) {
        on_request(std::move(message), time_left, std::move(reply));
      },
      [this] { return status_.ready(); });
  suspend_monitor_.start();
  drain_.check_complete();
  log("listening as " + config_.name);
}

std::unique_ptr<Peers> RelayServer::open_peers() {
  const auto& settings = config_.settings;
  if (!settings.gossip || !config_.peer_listen) return nullptr;
  const auto received = [this](int from, std::string body) {
    // Dropped while the decision module is not asked, since they would pile up; gossip may be lost.
    if (!committer_.is_writable() || !lifecycle_.rules().decides) return;
    cycle_.notify(event::GossipReceived{from, std::move(body)});
  };
  try {
    return std::make_unique<Peers>(io_, *config_.peer_listen, config_.peers, config_.peers_all,
                                   settings.relay_index, received);
  } catch (const boost::system::system_error& e) {
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "peer_listen: " + text_of(*config_.peer_listen) + ": " + e.code().message());
  }
}

// ---- Hooks between the relay's parts. ----
Committer::Hooks RelayServer::commit_hooks() {
  Committer::Hooks hooks;
  hooks.execute = [this](WriteAheadPlan plan) { execute(std::move(plan)); };
  hooks.reject = [this](const std::vector<WriteAheadPlan::PendingReply>& replies, CommitFailure why) {
    reject_uncommitted(replies, why);
  };
  hooks.withdrawn = [this](const EndpointId& endpoint, const Outgoing& message) {
    executor_.withdraw_message(endpoint, message);
  };
  hooks.plans_pending = [this] { copies_->send_now(); };
  hooks.writable_again = [this] {
    endpoints_.resynchronize();
    cycle_.schedule();  // decides on the events that arrived meanwhile
  };
  hooks.expire_overdue = [this] { expire_overdue(); };
  return hooks;
}

DecisionCycle::Hooks RelayServer::cycle_hooks() {
  DecisionCycle::Hooks hooks;
  hooks.may_run = [this] { return suspend_monitor_.is_current(); };
  hooks.run = [this] { run_cycle(); };
  return hooks;
}

EndpointView::Hooks RelayServer::endpoint_hooks() {
  EndpointView::Hooks hooks;
  hooks.located = [this](const ListedEndpoint& member) { executor_.set_address(member); };
  hooks.inactive = [this](const EndpointId& endpoint) { executor_.deactivate(endpoint); };
  return hooks;
}

Executor::Hooks RelayServer::executor_hooks() {
  Executor::Hooks hooks;
  hooks.ended = [this](const event::AttemptEnded& outcome) { on_attempt_ended(outcome); };
  hooks.may_begin = [this] { return suspend_monitor_.is_current(); };
  hooks.withdrawn = [this](const event::AttemptEnded& outcome) { cycle_.notify(outcome); };
  return hooks;
}

LogCopiesHooks RelayServer::copies_hooks() {
  LogCopiesHooks hooks;
  hooks.commit = [this] { committer_.commit(); };
  hooks.durable_advanced = [this] { committer_.durable_advanced(); };
  hooks.ready = [this] { recover(); };
  hooks.log_lost = [this] { on_log_lost(); };
  hooks.taken_over = [this](MessageId from, MessageId to) { taken_over(from, to); };
  hooks.ack_timed_out = [this] { committer_.reject_waiting_replies(); };
  return hooks;
}

AdminContext RelayServer::admin_context() { return {config_, store_, requests_, status_, drain_, *copies_}; }

StatusReporter::StartInfo RelayServer::start_info() const {
  return {start_.run, started_, started_steady_, start_.waited, start_.waited_for};
}

StatusReporter::Sources RelayServer::status_sources() const {
  return {lifecycle_, drain_,    committer_,
          *copies_,   cycle_,    endpoints_,
          executor_,  platform_, [this] { return intake_->clients(); }};
}

// ---- A new configuration. ----
void RelayServer::reconfigure(const Config& config) {
  log("configuration read again: discovery at " + text_of(config.discovery));
  platform_.set_address(config.discovery);
  status_.set_generation(config.generation);
  if (config.own.copies.on) copies_->members(config.own.copies.members);
}

}  // namespace heronvane

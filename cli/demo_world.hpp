// The environment of the demonstration's relays: partners with endpoints that misbehave in defined ways,
// clients, and the ledger of their messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "demo_ledger.hpp"
#include "demo_view.hpp"
#include "model.hpp"
#include "standins/clients.hpp"
#include "standins/endpoint.hpp"

namespace heronvane::cli {

class DemoWorld {
 public:
  using Microseconds = standins::Microseconds;
  using ReportEvent = std::function<void(const std::string& what)>;
  // Starts the endpoints and writes the list of partners to `partners_file`, atomically. `report_event`
  // receives a description of each event. std::runtime_error if the file can't be written.
  DemoWorld(boost::asio::io_context& io, std::string partners_file, ReportEvent report_event,
            std::uint64_t seed);
  ~DemoWorld();
  DemoWorld(const DemoWorld&) = delete;
  DemoWorld& operator=(const DemoWorld&) = delete;

  void start_clients(std::vector<standins::ClientsOptions::Relay> relays);
  void stop_clients();
  bool clients_out() const;  // whether a client still waits for an answer
  // Call about every 250 ms: reports changes of the endpoints' behaviour and replaces endpoints that are due.
  void tick(Microseconds now);
  // Fills in endpoints and totals, and the rates and latencies of the relays that `view` already lists.
  void fill(DemoView& view, const std::vector<Instance>& instances, Microseconds now);
  std::size_t partners() const { return partners_.size(); }
  Ledger& ledger() { return ledger_; }
  standins::Clients::Counts counts() const;

 private:
  struct Partner {
    std::string name, kind;
    std::int64_t group;
    double per_s;  // messages per second from the clients
  };
  struct EndpointState {
    std::unique_ptr<standins::Endpoint> endpoint;
    std::size_t partner = 0;
    standins::Habits habits;
    std::string behaviour;
    bool silent = false, waits = false, replaced_regularly = false;
    std::string status = "ready";  // its status in the partner list
    // Of a draining endpoint: when it is listed as gone, and when it stops.
    Microseconds gone_at = 0, ends_at = 0;
    std::uint64_t resets_reported = 0;
    Microseconds reported_at = 0;
  };
  // A sample of the counters, to compute rates.
  struct Sample {
    Microseconds at = 0;
    std::vector<std::uint64_t> taken;  // per relay
    std::vector<std::pair<std::string, standins::Endpoint::Counts>> endpoints;
  };
  void add(std::size_t partner, const standins::Habits& habits, std::string behaviour, bool replaced = false);
  void write_partners() const;
  void replace(std::size_t index, Microseconds now);
  void take_sample(Microseconds now);

  boost::asio::io_context& io_;
  std::string partners_file_;
  ReportEvent report_event_;
  std::uint64_t seed_;
  unsigned last_endpoint_number_ = 0;
  Microseconds replace_at_ = 0;
  std::vector<Partner> partners_;
  std::vector<EndpointState> endpoints_;
  Ledger ledger_;
  std::unique_ptr<standins::Clients> clients_;
  std::size_t relays_ = 0;
  std::deque<Sample> samples_;
};

// The state of one endpoint, combined from the status of all relays.
struct SeenState {
  std::string text;
  Tone tone = Tone::plain;
};
SeenState seen_state(std::string_view endpoint, const std::vector<Instance>& instances);

}  // namespace heronvane::cli

// The demonstration's outside: partners with endpoints that misbehave in known ways, clients, and the books
// on them.
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
  using Tell = std::function<void(const std::string& what)>;
  // Endpoints serve at once. The list of partners is written to `partners_file`, whole or not at all.
  DemoWorld(boost::asio::io_context& io, std::string partners_file, Tell tell, std::uint64_t seed);
  ~DemoWorld();
  DemoWorld(const DemoWorld&) = delete;
  DemoWorld& operator=(const DemoWorld&) = delete;

  void start_clients(std::vector<standins::ClientsOptions::Relay> relays);
  void stop_clients();
  bool clients_out() const;  // a message is handed in and not answered yet
  // Each 250 ms or so: spells that began, endpoints due to be replaced.
  void tick(Microseconds now);
  // Fills endpoints and totals; relays' rates and latencies of those that stand there already.
  void fill(DemoView& view, const std::vector<Instance>& instances, Microseconds now);
  std::size_t partners() const { return partners_.size(); }
  Ledger& ledger() { return ledger_; }
  standins::Clients::Counts counts() const;

 private:
  struct Partner {
    std::string name, kind;
    std::int64_t group;
    double per_s;  // of the clients' messages
  };
  struct Row {
    std::unique_ptr<standins::Endpoint> endpoint;
    std::size_t partner = 0;
    standins::Habits habits;
    std::string ways;
    bool silent = false, waits = false, replaced_by_turns = false;
    std::string status = "ready";           // as the list tells it
    Microseconds gone_at = 0, ends_at = 0;  // of one that drains
    std::uint64_t resets_told = 0;
    Microseconds told_at = 0;
  };
  // Counts of the past seconds, for rates.
  struct Mark {
    Microseconds at = 0;
    std::vector<std::uint64_t> taken;  // by relay
    std::vector<std::pair<std::string, standins::Endpoint::Counts>> endpoints;
  };
  void add(std::size_t partner, const standins::Habits& habits, std::string ways, bool replaced = false);
  void write_partners() const;
  void replace(std::size_t row, Microseconds now);
  void mark(Microseconds now);

  boost::asio::io_context& io_;
  std::string partners_file_;
  Tell tell_;
  std::uint64_t seed_;
  unsigned named_ = 0;
  Microseconds replace_at_ = 0;
  std::vector<Partner> partners_;
  std::vector<Row> rows_;
  Ledger ledger_;
  std::unique_ptr<standins::Clients> clients_;
  std::size_t relays_ = 0;
  std::deque<Mark> marks_;
};

// How relays see one endpoint, from what each tells of it.
struct SeenState {
  std::string text;
  Tone tone = Tone::plain;
};
SeenState seen_state(std::string_view endpoint, const std::vector<Instance>& instances);

}  // namespace heronvane::cli

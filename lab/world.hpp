// One run as it stands on this machine: relays on their machines, the fabric between all parties,
// destinations, platform and clients, and the faults of the plan. It writes the history; it judges nothing.
//
// One thread, one loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "addresses.hpp"
#include "catalog.hpp"
#include "destination.hpp"
#include "fabric.hpp"
#include "history.hpp"
#include "launcher.hpp"
#include "machine.hpp"
#include "platform.hpp"
#include "standins/clients.hpp"
#include "standins/endpoint.hpp"

namespace heronvane::lab {

struct RunOptions {
  std::string program;                                // the relay's
  std::string folder;                                 // of the run; made, and left behind
  std::vector<std::string> environment;               // of the relays, NAME=value
  std::function<void(const std::string& line)> told;  // notable events, for people; may be empty
  std::function<void(Microseconds now, const std::string&)> progress;  // a few times a second; may be empty
};

// Ten times a second.
struct Sample {
  Microseconds at = 0;
  std::vector<double> capacity;  // of each destination, in messages a second
  std::uint64_t connections_open = 0;
  int relays_up = 0;
};

struct RunResult {
  History history;  // by time
  std::vector<Sample> samples;
  Microseconds end = 0;
  Fabric::Counts fabric;
  double relay_cpu_s = 0;          // of all relays that ran at the end, since their last starts
  std::uint64_t relay_memory = 0;  // the largest that one held at the end
  std::vector<double> lags_ms;     // of the loop, sampled
  PeakColdLoad peak_cold_load;     // of all destinations
};

class World {
 public:
  // Throws std::exception where addresses, descriptors or folders can't be had.
  World(boost::asio::io_context& io, Launcher& launcher, const Experiment& experiment, const Plan& plan,
        RunOptions options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Starts all, plays the plan, waits until nothing is owed or `settle` has passed. Throws std::runtime_error
  // where the relays don't become ready at the beginning.
  RunResult run();

 private:
  struct Active {
    Strike strike;
    std::size_t number;
  };
  // ---- Set-up. ----
  void take_addresses();
  void build_endpoints();
  void build_links();
  void build_machines();
  void build_clients();
  std::string config(Index relay, unsigned life) const;
  std::string settings(Index relay) const;
  std::string operator_settings(Index relay) const;
  void configure(Index relay, const std::string& field, double value);  // from its next start on
  // ---- What happens. ----
  Microseconds now() const;
  Event& note(Kind kind, Index relay = kNobody, Index endpoint = kNobody);
  void tell(const std::string& line) const;
  Index relay_at(const boost::asio::ip::address& address) const;
  void followed(Index endpoint, const standins::Call& call, standins::Stage stage, Microseconds until);
  // The place of an endpoint among those of its destination.
  Index lane_of(Index endpoint) const;
  standins::Fate decide(Index endpoint, const standins::Call& call);
  void heard(Index relay, const standins::Message& message, standins::TryResult heard);
  void went_up(Index relay);
  void went_down(Index relay, Machine::End end);
  // ---- Faults. ----
  void strike(std::size_t number);
  void strike_machine(const Strike& s, Index relay);
  void strike_destinations(const Strike& s);
  void drain(const Strike& s, bool replace);
  void end_outage(const Strike& s);
  void link_strike(std::size_t number);
  // One end of a link; `index` of a relay or endpoint.
  struct Party {
    enum class Kind { relay, endpoint, platform, clients } kind;
    Index index = 0, destination = 0;
  };
  void each_link(Index relay, const std::function<void(LinkId, Party from, Party to)>& what) const;
  void recompute_links();  // after the strikes have changed
  void refresh(LinkId link, Party from, Party to);
  void refresh_clients(Index relay);
  void refresh_endpoint(Index endpoint, Door door);
  LinkFaults faults_of(Party from, Party to, bool& refuse) const;
  void after(Microseconds span, std::function<void()> then);
  void duty(Index relay, double share, Microseconds until);
  void start_later(Index relay, Microseconds back);
  // ---- The loop. ----
  bool wait_until(const std::function<bool()>& done, Microseconds at_most);
  void tick();
  bool owed() const;
  void lost(Index relay, Microseconds since);  // what it took on from then on went down with its disk

  boost::asio::io_context& io_;
  Launcher& launcher_;
  const Experiment experiment_;
  Plan plan_;
  RunOptions options_;
  std::unique_ptr<Addresses> addresses_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> lock_;
  std::map<boost::asio::ip::address, Index> relay_by_address_;
  std::unique_ptr<Fabric> fabric_;
  std::vector<Destination> destinations_;
  std::vector<std::unique_ptr<standins::Endpoint>> endpoints_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<standins::Clients>> clients_;
  // Links by relay: to each endpoint, to the platform, from clients.
  struct RelayLinks {
    std::vector<LinkId> endpoints;
    std::vector<LinkId> copies;  // to the others' copies listeners, by relay; empty without copies
    LinkId platform = 0, clients = 0;
  };
  std::vector<RelayLinks> links_;
  std::vector<LinkFaults> link_faults_;  // by link, as they stand
  std::vector<Door> doors_;
  std::vector<bool> up_;
  std::vector<bool> endpoint_down_;
  std::vector<int> endpoint_outages_;
  std::vector<Fleet> fleets_;  // by relay: what it is told
  std::vector<Microseconds>
      back_;  // by relay: so long after its process has ended it starts again; -1: never
  std::vector<std::function<void()>> on_down_;  // by relay: done once its process has ended
  std::map<std::size_t, Strike> active_;        // strikes on links that last
  std::vector<Index> away_by_cut_, disturbed_;  // counts by relay
  std::vector<double> bursts_;
  Index next_new_endpoint_ = 0;

  History history_;
  std::vector<Sample> samples_;
  std::vector<double> lags_ms_;
  struct Owed {
    Index relay;
    Microseconds taken;
  };
  std::map<std::string, Owed> owed_;  // taken and not ended yet, by id; not what was lost with a disk
  std::map<std::string, std::pair<Index, int>> message_of_;  // destination, class
  std::map<std::string, int> class_index_;
  std::map<std::pair<Index, std::uint64_t>, std::uint32_t> call_numbers_;
  std::uint32_t last_call_ = 0;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> timers_;
  boost::asio::steady_timer ticker_;
  Microseconds zero_ = 0, tick_due_ = 0, sampled_ = -1;
  bool running_ = false;
};

}  // namespace heronvane::lab

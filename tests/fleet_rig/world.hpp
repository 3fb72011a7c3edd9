// The outside of a fleet: partners' endpoints that misbehave in known ways, and clients, on a thread of their
// own.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "books.hpp"
#include "standins/clients.hpp"
#include "standins/endpoint.hpp"

namespace heronvane::rig {

class World {
 public:
  // Endpoints serve at once. `nobody`: an address where no one listens.
  World(Books& books, std::uint64_t seed, const std::string& nobody);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  std::string partners() const;  // the list, as a file of the fleet has it
  // Traffic over all of them, so many messages a second; until stop_clients, which waits for what is out.
  void start_clients(std::vector<standins::ClientsOptions::Relay> relays, double per_s);
  void stop_clients();
  std::vector<std::uint64_t> taken();  // by relay, so far

 private:
  struct Partner {
    std::string type;
    std::int64_t group;
    std::string address;
  };
  void add(const std::string& type, std::int64_t group, const standins::Habits& habits);
  template <class What>
  void on_loop(What what);

  Books& books_;
  std::uint64_t seed_;
  boost::asio::io_context io_;
  std::vector<Partner> partners_;
  std::deque<standins::Endpoint> endpoints_;
  std::unique_ptr<standins::Clients> clients_;
  std::size_t relays_ = 0;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace heronvane::rig

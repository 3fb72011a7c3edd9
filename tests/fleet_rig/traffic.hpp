// The traffic of a fleet: clients, and partners' endpoints that misbehave in known ways, on one thread of
// their own.
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

class Traffic {
 public:
  // The endpoints serve from now on. `unused_address`: the address of an endpoint where nothing listens.
  Traffic(Ledger& ledger, std::uint64_t seed, const std::string& unused_address);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  std::string partners() const;  // the partner list as JSON
  // Sends `per_s` messages a second over all relays, until stop_clients(), which waits for pending requests.
  void start_clients(std::vector<standins::ClientsOptions::Relay> relays, double per_s);
  void stop_clients();
  std::vector<std::uint64_t> taken();  // accepted messages by relay, so far

 private:
  struct Partner {
    std::string type;
    std::int64_t group;
    std::string address;
  };
  void add(const std::string& type, std::int64_t group, const standins::Habits& habits);
  template <class Function>
  void on_loop(Function function);

  Ledger& ledger_;
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

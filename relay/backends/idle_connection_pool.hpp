// A pool of the idle connections to all endpoints, in the order of their last use. Performs no I/O: a
// connection that is dropped closes with its last shared pointer.
//
// The cost of an operation does not depend on the number of endpoints. Endpoints without idle connections
// take no memory.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

template <class Connection>
class IdleConnectionPool {
 public:
  using EndpointId = heronvane::dispatch::EndpointId;
  using Microseconds = heronvane::dispatch::Microseconds;

  // `now` must not be less than in earlier calls.
  void put(const EndpointId& endpoint, std::shared_ptr<Connection> connection, Microseconds now) {
    const auto place = by_endpoint_.try_emplace(endpoint).first;
    all_.push_back({&place->first, std::move(connection), now});
    place->second.push_back(std::prev(all_.end()));
  }
  // Removes and returns the endpoint's most recently used connection that was last used at or before `until`;
  // null if there is none.
  std::shared_ptr<Connection> take(const EndpointId& endpoint, Microseconds until) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return nullptr;
    auto& connections = place->second;
    for (auto position = connections.rbegin(); position != connections.rend(); ++position) {
      if ((*position)->last_used > until) continue;
      auto connection = std::move((*position)->connection);
      all_.erase(*position);
      connections.erase(std::next(position).base());
      if (connections.empty()) by_endpoint_.erase(place);
      return connection;
    }
    return nullptr;
  }
  // When the endpoint's longest idle connection was last used; -1 if there is none.
  Microseconds longest_idle_since(const EndpointId& endpoint) const {
    const auto place = by_endpoint_.find(endpoint);
    return place == by_endpoint_.end() ? -1 : place->second.front()->last_used;
  }
  void drop(const EndpointId& endpoint, const Connection* connection) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return;
    for (const auto position : place->second)
      if (position->connection.get() == connection) return remove(position);
  }
  // Drops all of the endpoint's connections and returns their number.
  std::size_t drop_all(const EndpointId& endpoint) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return 0;
    const auto dropped = std::move(place->second);
    by_endpoint_.erase(place);
    for (const auto position : dropped) all_.erase(position);
    return dropped.size();
  }
  // Drops the longest idle connection of all endpoints; false if the pool is empty.
  bool drop_longest_idle() {
    if (all_.empty()) return false;
    remove(all_.begin());
    return true;
  }
  // Drops the connections last used at or before `until` and returns their number.
  std::size_t drop_idle_since(Microseconds until) {
    std::size_t dropped = 0;
    for (; !all_.empty() && all_.front().last_used <= until; dropped++) remove(all_.begin());
    return dropped;
  }
  // When the longest idle connection was last used. The pool must not be empty.
  Microseconds oldest() const { return all_.front().last_used; }
  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }

 private:
  struct IdleConnection {
    const EndpointId* endpoint;  // the key of its place
    std::shared_ptr<Connection> connection;
    Microseconds last_used = 0;
  };
  using All = std::list<IdleConnection>;  // longest idle first

  void remove(typename All::iterator position) {
    const auto place = by_endpoint_.find(*position->endpoint);
    std::erase(place->second, position);
    all_.erase(position);
    if (place->second.empty()) by_endpoint_.erase(place);
  }

  All all_;
  std::unordered_map<EndpointId, std::vector<typename All::iterator>> by_endpoint_;  // longest idle first
};

}  // namespace heronvane

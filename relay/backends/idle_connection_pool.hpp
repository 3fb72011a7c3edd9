// Connections to endpoints that are kept between calls, over all endpoints in the order in which they were
// last used. No input or output here: what is dropped ends with its last owner.
//
// Each step costs the same whatever number of endpoints there is; an endpoint without one takes no room.
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

  // `now` never goes back.
  void put(const EndpointId& endpoint, std::shared_ptr<Connection> connection, Microseconds now) {
    const auto place = by_endpoint_.try_emplace(endpoint).first;
    all_.push_back({&place->first, std::move(connection), now});
    place->second.push_back(std::prev(all_.end()));
  }
  // The freshest of an endpoint's that has not been used since `rested`; null where there is none.
  std::shared_ptr<Connection> take(const EndpointId& endpoint, Microseconds rested) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return nullptr;
    auto& kept = place->second;
    for (auto it = kept.rbegin(); it != kept.rend(); ++it) {
      if ((*it)->used > rested) continue;
      auto connection = std::move((*it)->connection);
      all_.erase(*it);
      kept.erase(std::next(it).base());
      if (kept.empty()) by_endpoint_.erase(place);
      return connection;
    }
    return nullptr;
  }
  // When the one of an endpoint's that is longest idle was used last; below 0 where there is none.
  Microseconds longest_idle_since(const EndpointId& endpoint) const {
    const auto place = by_endpoint_.find(endpoint);
    return place == by_endpoint_.end() ? -1 : place->second.front()->used;
  }
  void drop(const EndpointId& endpoint, const Connection* connection) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return;
    for (const auto at : place->second)
      if (at->connection.get() == connection) return remove(at);
  }
  // How many there were.
  std::size_t drop_all(const EndpointId& endpoint) {
    const auto place = by_endpoint_.find(endpoint);
    if (place == by_endpoint_.end()) return 0;
    const auto kept = std::move(place->second);
    by_endpoint_.erase(place);
    for (const auto at : kept) all_.erase(at);
    return kept.size();
  }
  // Of all endpoints the one that is longest idle; false where there is none.
  bool drop_longest_idle() {
    if (all_.empty()) return false;
    remove(all_.begin());
    return true;
  }
  // Those not used since `until`; how many there were.
  std::size_t drop_idle_since(Microseconds until) {
    std::size_t dropped = 0;
    for (; !all_.empty() && all_.front().used <= until; dropped++) remove(all_.begin());
    return dropped;
  }
  // When the one that is longest idle was used last; only where there is one.
  Microseconds oldest() const { return all_.front().used; }
  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }

 private:
  struct Kept {
    const EndpointId* endpoint;  // the key of its place
    std::shared_ptr<Connection> connection;
    Microseconds used = 0;
  };
  using All = std::list<Kept>;  // longest idle first

  void remove(typename All::iterator at) {
    const auto place = by_endpoint_.find(*at->endpoint);
    std::erase(place->second, at);
    all_.erase(at);
    if (place->second.empty()) by_endpoint_.erase(place);
  }

  All all_;
  std::unordered_map<EndpointId, std::vector<typename All::iterator>> by_endpoint_;  // longest idle first
};

}  // namespace heronvane

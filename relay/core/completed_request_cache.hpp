// Caches the client ids of recently completed requests, so that a duplicate is not delivered again.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>

#include "clock.hpp"

namespace heronvane {

// Holds at most kCapacity ids; beyond that the id that expires first is dropped. Reads no clock: the caller
// passes the time.
class CompletedRequestCache {
 public:
  explicit CompletedRequestCache(Microseconds lifetime) : lifetime_(lifetime) {}

  // `now` must not decrease from call to call.
  void add(const std::string& id, Microseconds now) {
    while (!by_expiry_.empty() && (now >= by_expiry_.front().expires || by_expiry_.size() >= kCapacity)) {
      ids_.erase(by_expiry_.front().id);
      by_expiry_.pop_front();
    }
    if (ids_.insert(id).second) by_expiry_.push_back({now + lifetime_, id});
  }
  bool has(const std::string& id) const { return ids_.contains(id); }
  std::size_t size() const { return ids_.size(); }

 private:
  static constexpr std::size_t kCapacity = 16'384;
  struct Entry {
    Microseconds expires = 0;
    std::string id;
  };

  Microseconds lifetime_;
  std::deque<Entry> by_expiry_;
  std::unordered_set<std::string> ids_;
};

}  // namespace heronvane

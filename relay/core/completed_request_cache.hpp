// Ids of messages that are over, for a while: handed in again they are not sent again.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "clock.hpp"

namespace heronvane {

class CompletedRequestCache {
 public:
  explicit CompletedRequestCache(Microseconds kept) : kept_(kept) {}
  void add(const std::string& id, Microseconds now) {
    while (!order_.empty() && (now >= order_.front().first || order_.size() >= kMost)) {
      ids_.erase(order_.front().second);
      order_.pop_front();
    }
    if (ids_.insert(id).second) order_.emplace_back(now + kept_, id);
  }
  bool has(const std::string& id) const { return ids_.count(id) > 0; }
  std::size_t size() const { return ids_.size(); }

 private:
  static constexpr std::size_t kMost = 16'384;
  Microseconds kept_;
  std::deque<std::pair<Microseconds, std::string>> order_;  // soonest forgotten first
  std::unordered_set<std::string> ids_;
};

}  // namespace heronvane

// What the module gave out to outlast a restart, as a store would keep it, and how it is handed back: whole
// and sound most of the time, at times old, doubled, of another destination or out of range.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "random.hpp"
#include "types.hpp"

namespace decisions {

class LearnedStore {
 public:
  void keep(const std::vector<LearnedState>& states, Micros now);
  // For an instance that starts at `now`, in an order drawn.
  std::vector<Event> restored(Micros now, Random& random) const;
  // As no instance gave it out; the endpoint may be listed or not.
  static event::Restored made_up(const std::string& endpoint, Random& random);

 private:
  struct Entry {
    LearnedState state;
    Micros at = 0;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace decisions

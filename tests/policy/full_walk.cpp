// The decisions once more under another name, with another dispatch().
#define Dispatcher WalkingDispatcher
#define HERONVANE_FULL_WALK "full_walk.inc"
#include "../../src/dispatcher.cpp"
#undef Dispatcher

#include "full_walk.hpp"

namespace heronvane::dispatch::testing {

struct FullWalk::Inside {
  WalkingDispatcher dispatcher;
};

FullWalk::FullWalk(const Settings& settings, std::uint64_t seed)
    : inside_(new Inside{WalkingDispatcher(settings, seed)}) {}
FullWalk::~FullWalk() = default;

void FullWalk::handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions) {
  inside_->dispatcher.handle(now, events, actions);
}

}  // namespace heronvane::dispatch::testing

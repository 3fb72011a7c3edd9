#include "standalone_log.hpp"

#include <stdexcept>
#include <utility>

namespace heronvane {

StandaloneLog::StandaloneLog(store::Store& store, bool force_own, std::function<void()> ready)
    : store_(store), force_own_(force_own), ready_(std::move(ready)) {}

void StandaloneLog::start() {
  forget_copies();
  ready_();
}

void StandaloneLog::forget_copies() {
  const std::string prefix = "copies.";
  std::vector<std::string> keys;
  const auto& facts = store_.facts();
  for (auto it = facts.lower_bound(prefix); it != facts.end(); ++it)
    if (it->first.starts_with(prefix)) keys.push_back(it->first);
  if (keys.empty()) return;
  if (!store_.held().empty() && !force_own_) {
    throw std::runtime_error(
        "settings: [copies] is off, but other relays hold copies of the messages in this folder and may have "
        "taken them over: start the relay with [copies] and drain it first; with --force-own it starts all "
        "the "
        "same, and messages that were taken over may run twice");
  }
  for (const auto& key : keys) store_.put(store::record::Fact{key, {}});
}

}  // namespace heronvane

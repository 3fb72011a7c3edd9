// The log of a relay without replication: owned by this relay from the start, and stored on its disk alone.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/log_replication.hpp"
#include "store/store.hpp"

namespace heronvane {

// The null implementation of LogReplication.
class StandaloneLog : public LogReplication {
 public:
  // `store` outlives this. `ready` is called from start(): the messages in the log may be processed.
  StandaloneLog(store::Store& store, bool force_own, std::function<void()> ready);

  // Throws std::runtime_error if the log holds messages and was replicated before, since another relay may
  // have taken it over; not with `force_own`.
  void start() override;
  bool ready() const override { return true; }
  bool is_under_replicated() const override { return false; }
  void send_now() override {}
  bool is_failover_pending(MessageId /*number*/) const override { return false; }
  std::string take_over(const std::string& /*name*/) override {
    return "this relay keeps no copies of others' logs";
  }
  std::string status_json() const override { return {}; }
  void members(std::vector<copies::Settings::Member> /*members*/) override {}

 private:
  void forget_copies();

  store::Store& store_;
  const bool force_own_;
  const std::function<void()> ready_;
};

}  // namespace heronvane

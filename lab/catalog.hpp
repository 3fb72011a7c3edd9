// The platform's list and how it works through calls: a version for each change, told late; one service that
// takes calls in turn and turns those away that would wait too long (PROTOCOL, "Discovery"). No I/O and no
// clock.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plan.hpp"

namespace heronvane::lab {

class Catalog {
 public:
  enum class Status { ready, draining, gone };
  struct Change {
    std::int64_t index = 0;
    Microseconds at = 0;
    Index endpoint = 0;
    Status status = Status::ready;
  };
  // The address of an endpoint as one relay has it.
  using AddressOf = std::function<std::string(Index endpoint)>;

  // Lists the plan's endpoints at the start.
  Catalog(const PlatformOptions& options, const Plan& plan, std::vector<std::string> zones);

  void change(Microseconds now, Index endpoint, Status status);
  // When the answer to a call that comes now is ready; nothing: it is answered 503.
  std::optional<Microseconds> admit(Microseconds now);
  void down(bool is) { down_ = is; }
  bool is_down() const { return down_; }

  std::int64_t told(Microseconds now) const;  // the version that is told now
  // The list as it is told now, or what changed after `since` in it. One line of JSON.
  std::string whole(Microseconds now, const AddressOf& address) const;
  std::string changes(Microseconds now, std::int64_t since, const AddressOf& address) const;
  // What came after `since`, as told now; in order.
  std::vector<Change> changed(Microseconds now, std::int64_t since) const;

 private:
  std::string text(std::int64_t index, bool snapshot, const std::vector<Change>& entries,
                   const AddressOf& address) const;

  PlatformOptions options_;
  std::vector<PlannedEndpoint> endpoints_;
  std::vector<PlannedDestination> destinations_;
  std::vector<std::string> zones_;
  std::vector<Change> log_;
  Microseconds free_at_ = 0;
  bool down_ = false;
};

}  // namespace heronvane::lab

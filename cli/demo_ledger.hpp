// Tracks the outcome of each message that the demonstration's clients send, as observed by clients, endpoints
// and platform. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "standins/clients.hpp"
#include "standins/latencies.hpp"

namespace heronvane::cli {

class Ledger {
 public:
  using Microseconds = standins::Microseconds;
  struct Totals {
    std::uint64_t taken = 0, delivered = 0;
    std::uint64_t ended = 0;     // accepted, not delivered, and ended by a notice; counted by settle()
    std::uint64_t open = 0;      // accepted, neither delivered nor ended
    std::uint64_t twice = 0;     // unsafe messages that ran twice, and refused ones that ran
    std::uint64_t repeated = 0;  // repeated runs of other messages, which are allowed
    std::uint64_t delivered_unanswered = 0;  // delivered although the client got no answer
  };

  // Call before the first byte of an attempt to send the message `id`. `unsafe`: it must not take effect
  // twice.
  void sent(Microseconds now, const std::string& id, bool unsafe);
  void heard(const std::string& id, standins::TryResult heard);
  void ran(const std::string& id);                          // the message took effect at an endpoint
  void delivered(Microseconds now, const std::string& id);  // the endpoint wrote its 200
  // Removes settled messages sent before `before`: accepted ones that were delivered or ended by a notice,
  // and those that were not accepted.
  void forget(Microseconds before);
  // Marks each open message for which `noticed` returns true as ended by a notice.
  void settle(const std::function<bool(const std::string& id)>& noticed);

  const Totals& totals() const { return totals_; }
  const standins::Latencies& latencies() const { return latencies_; }  // from sent() to delivered()
  std::size_t size() const { return entries_.size(); }

 private:
  enum class ClientResult { nothing, taken, refused, silence };
  struct Entry {
    Microseconds sent = 0;
    bool unsafe = false, delivered = false, ended = false, violation = false;
    ClientResult client_result = ClientResult::nothing;
    unsigned ran = 0;
  };
  void check_violation(Entry& e);

  std::unordered_map<std::string, Entry> entries_;
  Totals totals_;
  standins::Latencies latencies_;
};

}  // namespace heronvane::cli

// The demonstration's books: what became of each message that clients handed in, as seen from outside the
// relays. Pure: no I/O, no clock.
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
    std::uint64_t ended = 0;     // of those taken and not delivered: by a notice, once told by ended()
    std::uint64_t open = 0;      // taken, and neither
    std::uint64_t twice = 0;     // must not run twice and did, or was refused and ran
    std::uint64_t repeated = 0;  // effects of others beyond the first, which do no harm
    std::uint64_t delivered_unanswered = 0;  // delivered, though its client heard nothing
  };

  // One try to hand in, under its id, before its first byte; `unsafe`: it must not take effect twice.
  void sent(Microseconds now, const std::string& id, bool unsafe);
  void heard(const std::string& id, standins::TryResult heard);
  void ran(const std::string& id);                          // it took effect at an endpoint
  void delivered(Microseconds now, const std::string& id);  // a 200 was written
  // Drops what can change no more: of ids sent before `before`, those delivered or never taken.
  void forget(Microseconds before);
  // Asks of each message that is open whether a notice ended it.
  void settle(const std::function<bool(const std::string& id)>& noticed);

  const Totals& totals() const { return totals_; }
  const standins::Latencies& latencies() const { return latencies_; }  // from the try's start to its 200
  std::size_t kept() const { return entries_.size(); }

 private:
  enum class Said { nothing, taken, refused, silence };
  struct Entry {
    Microseconds sent = 0;
    bool unsafe = false, delivered = false, ended = false, breach = false;
    Said said = Said::nothing;
    unsigned ran = 0;
  };
  void look_for_breach(Entry& e);

  std::unordered_map<std::string, Entry> entries_;
  Totals totals_;
  standins::Latencies latencies_;
};

}  // namespace heronvane::cli

// Renders the demonstration's state as text. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "text.hpp"

namespace heronvane::cli {

struct DemoView {
  struct Relay {
    std::string name, phase;
    std::int64_t pid = 0, held = 0, restarts = 0;
    double per_s = 0;                       // messages accepted per second
    std::int64_t p50_us = -1, p99_us = -1;  // latency until 202; -1: no recent samples
  };
  struct Endpoint {
    // seen: its state according to the relays; behaviour: how it misbehaves.
    std::string name, partner, seen, behaviour;
    Tone tone = Tone::plain;  // of `seen`
    double served_s = 0, refused_s = 0, failed_s = 0;
    bool leaving = false;  // is drained or gone; omitted on small screens
  };
  struct Totals {
    std::uint64_t handed = 0, taken = 0, refused = 0, unanswered = 0, out = 0;  // counted by clients
    std::uint64_t delivered = 0, ended = 0, held = 0, twice = 0;
    std::int64_t p50_us = -1, p99_us = -1;  // latency from the client's attempt to the endpoint's 200
  };
  struct Event {
    std::int64_t at_s = 0;  // seconds since the start
    std::string what;
  };
  std::int64_t elapsed_s = 0;
  std::size_t partners = 0;
  std::string headline;  // such as "Ctrl-C ends it"
  std::vector<Relay> relays;
  std::vector<Endpoint> endpoints;
  Totals totals;
  std::vector<Event> events;  // newest first
  struct Suggestion {
    std::string command, reason;
  };
  std::vector<Suggestion> suggestions;  // commands suggested for another terminal
};

// Renders the screen for a terminal of `rows` rows; events fill the rows that are left, at most 12.
std::string render_demo(const DemoView& v, const Style& style, std::size_t rows);
// Renders one line of totals and phases, for output without a screen.
std::string plain_demo(const DemoView& v);
// Such as "1,234,567".
std::string grouped(std::uint64_t n);
// Minutes and seconds, such as "0:42".
std::string clock_time(std::int64_t seconds);

}  // namespace heronvane::cli

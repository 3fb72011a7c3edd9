// What the demonstration shows, as text. Pure.
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
    double per_s = 0;                       // messages taken on
    std::int64_t p50_us = -1, p99_us = -1;  // until 202; -1: none lately
  };
  struct Endpoint {
    std::string name, partner, seen, ways;  // seen: its state as relays see it
    Tone tone = Tone::plain;                // of `seen`
    double served_s = 0, refused_s = 0, failed_s = 0;
    bool leaving = false;  // drains, and is left out where there is no room
  };
  struct Totals {
    std::uint64_t handed = 0, taken = 0, refused = 0, unanswered = 0, out = 0;  // as clients heard
    std::uint64_t delivered = 0, ended = 0, held = 0, twice = 0;
    std::int64_t p50_us = -1, p99_us = -1;  // from handing in to the endpoint's 200
  };
  struct Happened {
    std::int64_t at_s = 0;  // since the start
    std::string what;
  };
  std::int64_t elapsed_s = 0;
  std::size_t partners = 0;
  std::string headline;  // "Ctrl-C ends it"
  std::vector<Relay> relays;
  std::vector<Endpoint> endpoints;
  Totals totals;
  std::vector<Happened> happened;  // newest first
  struct Try {
    std::string command, why;
  };
  std::vector<Try> tries;  // in another terminal
};

// At most `rows` lines; what happened gets the rows that are left.
std::string render_demo(const DemoView& v, const Style& style, std::size_t rows);
// The line for where there is no screen.
std::string plain_demo(const DemoView& v);
// 1,234,567
std::string grouped(std::uint64_t n);
// 0:42
std::string clock_time(std::int64_t seconds);

}  // namespace heronvane::cli

// The terminal and the signals that come from it.
#pragma once

#include <signal.h>

#include <cstddef>
#include <optional>
#include <string>

#include "stream.hpp"
#include "text.hpp"

namespace heronvane::cli {

bool is_terminal(int descriptor);
struct Size {
  std::size_t columns = 80, rows = 24;
};
Size terminal_size(int descriptor);
// For what goes to `descriptor`: no limit of width and no colour where it is no terminal.
Style style_of(int descriptor);
// All of it, or the process ends as one that writes to a closed pipe does.
void put(int descriptor, std::string_view text);

// While it lives, SIGINT, SIGTERM, SIGHUP and SIGWINCH are told by wait() and do nothing else. Made before
// threads are, so that they block the signals too.
class Interrupt {
 public:
  Interrupt();
  ~Interrupt();
  Interrupt(const Interrupt&) = delete;
  Interrupt& operator=(const Interrupt&) = delete;

  enum class Seen { ready, late, resized, interrupted };
  // Until `descriptor` can be read (-1: none) or `until` has come (none: never).
  Seen wait(int descriptor, std::optional<Instant> until);

 private:
  int fd_;
  sigset_t before_;
};

// The terminal's other screen, without a cursor; the first is back, untouched, once this ends.
class Screen {
 public:
  explicit Screen(int descriptor);
  ~Screen();
  Screen(const Screen&) = delete;
  Screen& operator=(const Screen&) = delete;
  // Draws over what stood there; lines that have no room are left out, and that is told in the last one.
  void draw(const std::string& text);

 private:
  int descriptor_;
};

// `text` in `rows` lines, each ended so that nothing older stays beside or below it.
std::string frame(const std::string& text, std::size_t rows);

}  // namespace heronvane::cli

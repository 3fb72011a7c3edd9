// Terminal output and the signals of the terminal.
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
// The style for output to `descriptor`; without colour and width limit if it is not a terminal.
Style style_of(int descriptor);
// Writes all of `text`. std::system_error on failure; a closed pipe ends the process through
// SIGPIPE unless that is ignored.
void put(int descriptor, std::string_view text);

// During its lifetime, SIGINT, SIGTERM, SIGHUP and SIGWINCH are blocked and only reported by wait(). Create
// it before starting threads, so that they inherit the signal mask.
class Interrupt {
 public:
  Interrupt();
  ~Interrupt();
  Interrupt(const Interrupt&) = delete;
  Interrupt& operator=(const Interrupt&) = delete;

  enum class Seen { ready, late, resized, interrupted };
  // Blocks until a signal arrives, `descriptor` is readable (-1: none) or `deadline` passes (empty: never).
  Seen wait(int descriptor, std::optional<Instant> deadline);

 private:
  int fd_;
  sigset_t previous_mask_;
};

// Switches to the terminal's alternate screen and hides the cursor; the destructor restores both.
class Screen {
 public:
  explicit Screen(int descriptor);
  ~Screen();
  Screen(const Screen&) = delete;
  Screen& operator=(const Screen&) = delete;
  // Replaces the content of the screen. If `text` has too many lines, the last row says how many are omitted.
  void draw(const std::string& text);

 private:
  int descriptor_;
};

// The escape sequences and text that replace the content of a screen of `rows` rows by `text`.
std::string frame(const std::string& text, std::size_t rows);

}  // namespace heronvane::cli

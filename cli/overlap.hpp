// A followed log whose stream broke: what was shown is not shown again. Pure.
#pragma once

#include <deque>
#include <string>
#include <string_view>

namespace heronvane::cli {

class Overlap {
 public:
  explicit Overlap(std::size_t most) : most_(most) {}
  // How many of the last lines to ask for after a break.
  unsigned known() const { return static_cast<unsigned>(most_); }
  // The stream ended; the next one begins some lines before that, if the log still has them.
  void broke();
  // Takes bytes of the stream, gives whole lines to show.
  std::string add(std::string_view bytes);

 private:
  bool still_old(const std::string& line);
  std::size_t most_;
  std::deque<std::string> shown_;  // the last lines
  std::string rest_;
  std::deque<std::string> again_;  // of the new stream, which may all have been shown
  std::size_t old_ = 0;            // so many of them certainly were: they end where what was shown ends
  bool matching_ = false;
};

}  // namespace heronvane::cli

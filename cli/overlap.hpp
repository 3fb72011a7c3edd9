// A followed log whose stream broke: what was shown is not shown again. Pure.
#pragma once

#include <deque>
#include <string>
#include <string_view>

namespace heronvane::cli {

class Overlap {
 public:
  explicit Overlap(std::size_t most) : most_(most) {}
  // How many of the last lines are known: as many the next stream is to begin with.
  unsigned known() const { return static_cast<unsigned>(shown_.size()); }
  unsigned most() const { return static_cast<unsigned>(most_); }
  // The stream ended. `log`: the last lines of the log as they are now, most() of them or all; gives those
  // that were not shown. The next stream begins within what is known then, but for what comes meanwhile.
  std::string catch_up(std::string_view log);
  // Takes bytes of the stream, gives whole lines to show.
  std::string add(std::string_view bytes);

 private:
  void show(std::string& out, const std::string& line);
  bool still_old(const std::string& line);
  std::size_t most_;
  std::deque<std::string> shown_;  // the last lines
  std::string rest_;
  std::deque<std::string> again_;  // of the new stream, which may all have been shown
  std::size_t old_ = 0;            // so many of them certainly were: they end where what was shown ends
  bool matching_ = false;
};

}  // namespace heronvane::cli

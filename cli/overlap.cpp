#include "overlap.hpp"

#include <algorithm>

namespace heronvane::cli {

void Overlap::broke() {
  rest_.clear();
  again_.clear();
  old_ = 0;
  matching_ = !shown_.empty();
}

// Whether what came anew, with `line`, is a part of what was shown. At its end the overlap is over.
bool Overlap::still_old(const std::string& line) {
  again_.push_back(line);
  const auto at = std::search(shown_.begin(), shown_.end(), again_.begin(), again_.end());
  if (at == shown_.end()) return false;
  if (static_cast<std::size_t>(shown_.end() - at) == again_.size())
    matching_ = false, again_.clear();
  else if (again_.size() <= shown_.size() && std::equal(again_.rbegin(), again_.rend(), shown_.rbegin()))
    old_ = again_.size();
  return true;
}

std::string Overlap::add(std::string_view bytes) {
  rest_ += bytes;
  std::string out;
  std::size_t at = 0;
  const auto show = [&](const std::string& line) {
    out.append(line).append("\n");
    shown_.push_back(line);
    if (shown_.size() > most_) shown_.pop_front();
  };
  for (std::size_t end; (end = rest_.find('\n', at)) != std::string::npos; at = end + 1) {
    const auto line = rest_.substr(at, end - at);
    if (matching_) {
      if (still_old(line)) continue;
      // The log went on past what is remembered, or is another one: none of it may go unshown.
      matching_ = false;
      const auto all = std::move(again_);
      again_.clear();
      for (std::size_t i = old_; i < all.size(); i++) show(all[i]);
      continue;
    }
    show(line);
  }
  rest_.erase(0, at);
  // A line without an end is shown as it is rather than held for ever.
  if (rest_.size() > 64 * 1024) show(rest_), rest_.clear();
  return out;
}

}  // namespace heronvane::cli

#include "overlap.hpp"

#include <algorithm>
#include <vector>

namespace heronvane::cli {

std::string Overlap::catch_up(std::string_view log) {
  rest_.clear();
  again_.clear();
  old_ = 0;
  std::vector<std::string> lines;
  for (std::size_t end; (end = log.find('\n')) != log.npos; log.remove_prefix(end + 1))
    lines.emplace_back(log.substr(0, end));
  // Where what was shown ends: the place before which the most lines agree, as far back as both go.
  std::size_t fresh = 0, agreed = 0;
  for (std::size_t p = 1; p <= lines.size(); p++) {
    const auto n = std::min(p, shown_.size());
    if (n > agreed && std::equal(shown_.end() - static_cast<std::ptrdiff_t>(n), shown_.end(),
                                 lines.begin() + static_cast<std::ptrdiff_t>(p - n)))
      fresh = p, agreed = n;
  }
  std::string out;
  for (std::size_t i = fresh; i < lines.size(); i++) show(out, lines[i]);
  matching_ = !shown_.empty();
  return out;
}

void Overlap::show(std::string& out, const std::string& line) {
  out.append(line).append("\n");
  shown_.push_back(line);
  if (shown_.size() > most_) shown_.pop_front();
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
  for (std::size_t end; (end = rest_.find('\n', at)) != std::string::npos; at = end + 1) {
    const auto line = rest_.substr(at, end - at);
    if (matching_) {
      if (still_old(line)) continue;
      // The log went on past what is remembered, or is another one: none of it may go unshown.
      matching_ = false;
      const auto all = std::move(again_);
      again_.clear();
      for (std::size_t i = old_; i < all.size(); i++) show(out, all[i]);
      continue;
    }
    show(out, line);
  }
  rest_.erase(0, at);
  // A line without an end is shown as it is rather than held for ever.
  if (rest_.size() > 64 * 1024) show(out, rest_), rest_.clear();
  return out;
}

}  // namespace heronvane::cli

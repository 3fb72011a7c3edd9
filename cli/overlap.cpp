#include "overlap.hpp"

#include <algorithm>
#include <vector>

namespace heronvane::cli {

std::string Overlap::catch_up(std::string_view log) {
  partial_line_.clear();
  resent_.clear();
  confirmed_ = 0;
  std::vector<std::string> lines;
  for (std::size_t end; (end = log.find('\n')) != log.npos; log.remove_prefix(end + 1))
    lines.emplace_back(log.substr(0, end));
  // Finds the end of the shown lines in `log`: the position before which the most lines match.
  std::size_t first_new = 0, best_match = 0;
  for (std::size_t p = 1; p <= lines.size(); p++) {
    const auto n = std::min(p, shown_.size());
    if (n > best_match && std::equal(shown_.end() - static_cast<std::ptrdiff_t>(n), shown_.end(),
                                     lines.begin() + static_cast<std::ptrdiff_t>(p - n)))
      first_new = p, best_match = n;
  }
  std::string out;
  for (std::size_t i = first_new; i < lines.size(); i++) show(out, lines[i]);
  matching_ = !shown_.empty();
  return out;
}

void Overlap::show(std::string& out, const std::string& line) {
  out.append(line).append("\n");
  shown_.push_back(line);
  if (shown_.size() > capacity_) shown_.pop_front();
}

// Whether the lines of the new stream, `line` included, occur in shown_. Matching ends with the last shown
// line.
bool Overlap::matches_shown(const std::string& line) {
  resent_.push_back(line);
  const auto at = std::search(shown_.begin(), shown_.end(), resent_.begin(), resent_.end());
  if (at == shown_.end()) return false;
  if (static_cast<std::size_t>(shown_.end() - at) == resent_.size())
    matching_ = false, resent_.clear();
  else if (resent_.size() <= shown_.size() && std::equal(resent_.rbegin(), resent_.rend(), shown_.rbegin()))
    confirmed_ = resent_.size();
  return true;
}

std::string Overlap::add(std::string_view bytes) {
  partial_line_ += bytes;
  std::string out;
  std::size_t at = 0;
  for (std::size_t end; (end = partial_line_.find('\n', at)) != std::string::npos; at = end + 1) {
    const auto line = partial_line_.substr(at, end - at);
    if (matching_) {
      if (matches_shown(line)) continue;
      // The log has moved past the remembered lines or was replaced: show every line that is not certainly
      // old.
      matching_ = false;
      const auto all = std::move(resent_);
      resent_.clear();
      for (std::size_t i = confirmed_; i < all.size(); i++) show(out, all[i]);
      continue;
    }
    show(out, line);
  }
  partial_line_.erase(0, at);
  // More than 64 KiB without a line end is shown as a line of its own, so that the buffer stays bounded.
  if (partial_line_.size() > 64 * 1024) show(out, partial_line_), partial_line_.clear();
  return out;
}

}  // namespace heronvane::cli

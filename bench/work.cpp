#include "work.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace heronvane::bench {

Message make_message(std::uint64_t n, Microseconds now, std::size_t body) {
  Message m;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(n * 0x9e3779b97f4a7c15));
  m.id = id, m.message_class = "pay-and-order", m.tenant = "acme";
  m.destination = static_cast<std::int64_t>(n % 64), m.deadline = now, m.repeat = false;
  m.body.assign(body, static_cast<char>('a' + n % 26));
  return m;
}

std::uint64_t process_wchar() {
  std::ifstream in("/proc/self/io");
  std::string name;
  std::uint64_t value = 0;
  while (in >> name >> value)
    if (name == "wchar:") return value;
  throw std::runtime_error("/proc/self/io tells no wchar");
}

double seconds_since(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

double Samples::quantile(double q) const {
  if (all_.empty()) return 0;
  if (!sorted_) std::sort(all_.begin(), all_.end());
  sorted_ = true;
  const auto at = static_cast<std::size_t>(std::ceil(q * static_cast<double>(all_.size())));
  return all_[std::clamp<std::size_t>(at, 1, all_.size()) - 1];
}

std::string Samples::spread(int digits, double scale) const {
  return text(median() * scale, digits) + " (" + text(quantile(0) * scale, digits) + "-" +
         text(max() * scale, digits) + ")";
}

std::string text(double v, int digits) {
  char t[64];
  std::snprintf(t, sizeof t, "%.*f", digits, v);
  return t;
}

void Table::print(const std::string& title) const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); i++) widths[i] = std::max(widths[i], row[i].size());
  }
  std::printf("\n%s\n", title.c_str());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); i++)
      std::printf(i == 0 ? "  %-*s" : "  %*s", static_cast<int>(widths[i]), row[i].c_str());
    std::printf("\n");
  }
  std::fflush(stdout);
}

Scratch::Scratch(const std::filesystem::path& parent, const std::string& name) : path_(parent / name) {
  if (!std::filesystem::create_directory(path_))
    throw std::runtime_error(path_.string() + " is there already: move it away");
}
Scratch::~Scratch() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace heronvane::bench

#include "faults/plan.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <stdexcept>
#include <utility>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace heronvane::faults {
namespace {

constexpr std::array kErrors = {
    std::pair{"EACCES", EACCES},
    std::pair{"EADDRINUSE", EADDRINUSE},
    std::pair{"EADDRNOTAVAIL", EADDRNOTAVAIL},
    std::pair{"EAGAIN", EAGAIN},
    std::pair{"ECONNABORTED", ECONNABORTED},
    std::pair{"ECONNREFUSED", ECONNREFUSED},
    std::pair{"ECONNRESET", ECONNRESET},
    std::pair{"EDQUOT", EDQUOT},
    std::pair{"EHOSTUNREACH", EHOSTUNREACH},
    std::pair{"EINTR", EINTR},
    std::pair{"EINVAL", EINVAL},
    std::pair{"EIO", EIO},
    std::pair{"EMFILE", EMFILE},
    std::pair{"ENETDOWN", ENETDOWN},
    std::pair{"ENETUNREACH", ENETUNREACH},
    std::pair{"ENFILE", ENFILE},
    std::pair{"ENOBUFS", ENOBUFS},
    std::pair{"ENOLCK", ENOLCK},
    std::pair{"ENOMEM", ENOMEM},
    std::pair{"ENOPROTOOPT", ENOPROTOOPT},
    std::pair{"ENOSPC", ENOSPC},
    std::pair{"EOPNOTSUPP", EOPNOTSUPP},
    std::pair{"EPERM", EPERM},
    std::pair{"EPIPE", EPIPE},
    std::pair{"EPROTO", EPROTO},
    std::pair{"EROFS", EROFS},
    std::pair{"ETIMEDOUT", ETIMEDOUT},
};

// One table of the plan, whose keys are taken out one by one; what is left over is no key.
class Rule {
 public:
  Rule(const toml::table& table, const std::string& file) : table_(table), file_(file) {}

  [[noreturn]] void malformed(const std::string& what) const {
    throw std::runtime_error(file_ + ":" + std::to_string(table_.source().begin.line) + ": " + what);
  }
  std::string text(const char* key) { return value<std::string>(key, ""); }
  double number(const char* key, double without) {
    const double read = value<double>(key, without);
    if (read != read) malformed(std::string(key) + " must be a number");
    return read;
  }
  double not_negative(const char* key, double without) {
    const double read = number(key, without);
    if (read < 0) malformed(std::string(key) + " must not be negative");
    return read;
  }
  std::uint64_t count(const char* key, std::int64_t without) {
    const auto read = value<std::int64_t>(key, without);
    if (read < 0) malformed(std::string(key) + " must not be negative");
    return static_cast<std::uint64_t>(read);
  }
  double share() {
    const double read = number("share", 1);
    if (read < 0 || read > 1) malformed("share must be from 0 to 1");
    return read;
  }
  Window window() {
    Window read;
    read.from_s = not_negative("from_s", 0);
    read.for_s = not_negative("for_s", 0);
    read.while_file = text("while");
    return read;
  }
  void done() const {
    for (const auto& [key, node] : table_)
      if (known_.count(std::string(key.str())) == 0) malformed(std::string(key.str()) + " is no key");
  }

 private:
  template <class T>
  T value(const char* key, T without) {
    known_.insert(key);
    const auto* node = table_.get(key);
    if (node == nullptr) return without;
    const auto read = node->value<T>();
    if (!read) malformed(std::string(key) + " is of another type");
    return *read;
  }
  const toml::table& table_;
  const std::string& file_;
  std::set<std::string> known_;
};

ErrorRule read_error(Rule& rule) {
  ErrorRule read;
  read.call = rule.text("call");
  if (read.call.empty()) rule.malformed("an error needs its call");
  const std::string name = rule.text("errno");
  read.error = error_number(name);
  if (read.error == 0) rule.malformed("errno: " + name + " is no known error");
  read.path = rule.text("path");
  read.after = rule.count("after", 0);
  read.times = rule.count("times", 0);
  read.share = rule.share();
  read.window = rule.window();
  return read;
}

ShortRule read_short(Rule& rule) {
  ShortRule read;
  read.call = rule.text("call");
  if (read.call.empty()) rule.malformed("a short call needs its call");
  read.bytes = rule.count("bytes", 1);
  if (read.bytes == 0) rule.malformed("bytes must be 1 or more");
  read.share = rule.share();
  read.window = rule.window();
  return read;
}

ClockStep read_step(Rule& rule) {
  ClockStep read;
  read.at_s = rule.not_negative("at_s", 0);
  read.by_s = rule.number("by_s", 0);
  read.while_file = rule.text("while");
  return read;
}

DelayRule read_delay(Rule& rule) {
  DelayRule read;
  read.ms = rule.not_negative("ms", 0);
  read.share = rule.share();
  read.window = rule.window();
  return read;
}

SlowRule read_slow(Rule& rule) {
  SlowRule read;
  read.call = rule.text("call");
  if (read.call.empty()) rule.malformed("a slow call needs its call");
  read.ms = rule.not_negative("ms", 0);
  read.share = rule.share();
  read.window = rule.window();
  return read;
}

template <class T, class Read>
void read_each(const toml::table& all, const char* key, const std::string& file, Read read,
               std::vector<T>& to) {
  const auto* node = all.get(key);
  if (node == nullptr) return;
  const auto* rules = node->as_array();
  if (rules == nullptr || !rules->is_array_of_tables())
    throw std::runtime_error(file + ": " + key + " must be tables, each begun by [[" + key + "]]");
  for (const auto& one : *rules) {
    Rule rule(*one.as_table(), file);
    to.push_back(read(rule));
    rule.done();
  }
}

}  // namespace

int error_number(const std::string& name) {
  const auto found =
      std::find_if(kErrors.begin(), kErrors.end(), [&](const auto& e) { return e.first == name; });
  return found == kErrors.end() ? 0 : found->second;
}

Plan read_plan(const std::string& text, const std::string& file) {
  toml::table all;
  try {
    all = toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    throw std::runtime_error(file + ":" + std::to_string(e.source().begin.line) + ": " +
                             std::string(e.description()));
  }
  const std::set<std::string> known = {"seed", "report", "error", "short", "step", "delay", "slow"};
  for (const auto& [key, node] : all)
    if (known.count(std::string(key.str())) == 0)
      throw std::runtime_error(file + ": " + std::string(key.str()) + " is no key of a plan");
  Plan plan;
  plan.seed = static_cast<std::uint64_t>(all["seed"].value_or(std::int64_t{0}));
  plan.report = all["report"].value_or(std::string());
  read_each(all, "error", file, read_error, plan.errors);
  read_each(all, "short", file, read_short, plan.shorts);
  read_each(all, "step", file, read_step, plan.steps);
  read_each(all, "delay", file, read_delay, plan.delays);
  read_each(all, "slow", file, read_slow, plan.slows);
  return plan;
}

}  // namespace heronvane::faults

#include "digest.hpp"

#include <bit>
#include <cinttypes>
#include <cstdio>

namespace decisions {
namespace {

std::string hex(std::uint64_t bits) {
  char text[17];
  std::snprintf(text, sizeof text, "%016" PRIx64, bits);
  return text;
}
std::string bits_of(double x) { return hex(std::bit_cast<std::uint64_t>(x)); }

std::string line_of(const action::Send& a) {
  const std::string begin = a.begin_within ? std::to_string(*a.begin_within) : "any";
  return "send " + std::to_string(a.id) + " " + a.endpoint + " " + std::to_string(a.timeout) + " " + begin;
}
std::string line_of(const action::Reject& a) {
  return "reject " + std::to_string(a.id) + " " + std::to_string(a.retry_after);
}
std::string line_of(const action::Fail& a) { return "fail " + std::to_string(a.id); }
std::string line_of(const action::Cancel& a) {
  return "cancel " + std::to_string(a.id) + " " + std::to_string(a.attempt);
}
std::string line_of(const action::CloseIdle& a) { return "close_idle " + a.endpoint; }
std::string line_of(const action::SetTimer& a) {
  return "set_timer " + std::to_string(a.after) + " " + std::to_string(a.token);
}
std::string line_of(const action::FetchList&) { return "fetch_list"; }
std::string line_of(const action::Subscribe& a) { return a.on ? "subscribe on" : "subscribe off"; }
std::string line_of(const action::HealthCheck& a) { return "health_check " + a.endpoint; }
std::string line_of(const action::Gossip& a) { return "gossip " + std::to_string(a.to) + " " + a.body; }
std::string line_of(const action::Log& a) { return "log " + a.text; }

std::string line_of(const LearnedState& s) {
  std::string line = s.endpoint + " " + std::to_string(s.destination);
  line += " health " + std::to_string(static_cast<int>(s.health)) + " " + std::to_string(s.health_age);
  line += " usual_rate " + bits_of(s.usual_rate) + " budget " + bits_of(s.budget);
  line += " failures " + std::to_string(s.failures_in_row) + " " + bits_of(s.failure_share);
  line += " unknown " + std::to_string(s.outcome_unknown) + " batch " + std::to_string(s.batch);
  line += " wait " + std::to_string(s.wait_left) + " backoff " + bits_of(s.backoff);
  line += " send_rate " + bits_of(s.send_rate) + " rejections " + std::to_string(s.rejections) + " " +
          std::to_string(s.rejected_age);
  line += " admission " + bits_of(s.admission) + " blank " + std::to_string(s.blank);
  return line;
}

}  // namespace

void Digest::add(const std::string& line) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  for (const char c : line) value_ = (value_ ^ static_cast<unsigned char>(c)) * kPrime;
  value_ = (value_ ^ '\n') * kPrime;
}

void Recorder::write(const std::string& line) {
  all_.add(line);
  if (lines_ != nullptr) *lines_ << line << '\n';
}

void Recorder::begin_round(Micros now, std::size_t events) {
  events_ += events;
  write("round " + std::to_string(now));
}

void Recorder::add(const Action& action) {
  if (const auto* log = std::get_if<action::Log>(&action)) return add_log(log->text);
  actions_++;
  write(std::visit([](const auto& a) { return line_of(a); }, action));
}

void Recorder::add_log(const std::string& text) {
  logs_++;
  log_places_.add(std::to_string(actions_) + " " + hex(all_.value()));
  log_text_digest_.add(text);
  if (lines_ != nullptr) *lines_ << (log_texts_ ? "log " + text : "log") << '\n';
}

void Recorder::add_states(const char* title, const std::vector<LearnedState>& states) {
  write(std::string(title) + " " + std::to_string(states.size()));
  for (const LearnedState& state : states) write(line_of(state));
}

void Recorder::add_gauges(std::size_t waiting, std::size_t kept) {
  write("waiting " + std::to_string(waiting) + " kept " + std::to_string(kept));
}

void Recorder::add_validation(int probe, bool accepted, const std::string& reason) {
  write("settings " + std::to_string(probe) + (accepted ? " accepted" : " refused"));
  if (!accepted) log_text_digest_.add(reason);
}

}  // namespace decisions

#include "request_table.hpp"

namespace decisions {
namespace {

void note_possible_execution(Request& request, const Attempt& attempt) {
  if (request.possibly_executed_zone && request.possibly_executed_at <= attempt.sent) return;
  request.possibly_executed_zone = attempt.zone;
  request.possibly_executed_at = attempt.sent;
}

}  // namespace

Request* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Request* RequestTable::at_or_after(RequestId id) {
  if (requests_.empty()) return nullptr;
  const auto it = requests_.lower_bound(id);
  return it == requests_.end() ? &requests_.begin()->second : &it->second;
}

void RequestTable::add(const event::Arrival& arrival, Micros now) {
  Request& request = requests_[arrival.id];
  request.arrival = arrival;
  request.deadline = now + arrival.time_left;
}

bool RequestTable::end_attempt(const event::AttemptEnded& ended) {
  Request* request = find(ended.id);
  if (request == nullptr) return false;
  const auto it = request->out.find(ended.attempt);
  if (it == request->out.end()) return false;
  const bool reached = ended.outcome != Outcome::connect_failed && ended.outcome != Outcome::not_sent;
  request->attempted |= reached;
  if (reached && ended.outcome != Outcome::rejected) note_possible_execution(*request, it->second);
  request->out.erase(it);
  if (ended.closed || ended.outcome == Outcome::served) request->completed = true;
  forget_if_done(ended.id);
  return true;
}

void RequestTable::complete(RequestId id) {
  Request* request = find(id);
  if (request == nullptr) return;
  request->completed = true;
  forget_if_done(id);
}

void RequestTable::forget_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it->second.completed && it->second.out.empty()) requests_.erase(it);
}

std::vector<event::Recovered> RequestTable::restart(Micros now) {
  std::vector<event::Recovered> recovered;
  for (auto it = requests_.begin(); it != requests_.end();) {
    Request& request = it->second;
    if (request.completed) {
      it = requests_.erase(it);
      continue;
    }
    for (const auto& [number, attempt] : request.out) note_possible_execution(request, attempt);
    request.attempted |= !request.out.empty();
    request.out.clear();
    event::Recovered& r = recovered.emplace_back();
    r.request = request.arrival;
    r.request.time_left = request.deadline - now;
    r.attempts = request.attempts;
    r.attempted = request.attempted;
    r.possibly_executed_zone = request.possibly_executed_zone;
    r.possibly_executed_ago = request.possibly_executed_zone ? now - request.possibly_executed_at : 0;
    ++it;
  }
  return recovered;
}

}  // namespace decisions

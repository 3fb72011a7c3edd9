#include "receivers.hpp"

#include <algorithm>

namespace decisions {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kKeepAlive = 15 * kSecond;  // a connection unused for longer may be dead unseen
constexpr int kColdCallsPerSecond = 4;

}  // namespace

Receivers::Receivers(const Scenario& day, Random& random)
    : day_(day), random_(random), failure_share_(day.failure_share) {
  for (int destination = 1; destination <= day.destinations; destination++) {
    Destination& model = destinations_[destination];
    model.kind = static_cast<int>(random_.between(0, static_cast<std::int64_t>(day.settings.kinds.size())));
    if (random_.chance(0.7)) model.rate = day.rate_limit_per_s;
    for (int i = 0; i < day.endpoints_per_destination; i++) add(destination, 0);
  }
}

Receiver& Receivers::add(std::int64_t destination, Micros now) {
  const std::string id = "s-" + std::to_string(++added_);
  Receiver& r = receivers_[id];
  r.info.id = id;
  r.info.destination = destination;
  r.info.zone = static_cast<int>(random_.between(0, 2));
  r.info.kind = destinations_[destination].kind;
  r.info.weight = random_.real(0.5, 2);
  r.info.added_at = now;
  r.latency = std::max<Micros>(day_.latency * random_.between(50, 200) / 100, 500);
  return r;
}

Receiver& Receivers::any() {
  auto it = receivers_.begin();
  std::advance(it, random_.between(0, static_cast<std::int64_t>(receivers_.size()) - 1));
  return it->second;
}

int Receivers::zone_of(const std::string& endpoint) const {
  const auto it = receivers_.find(endpoint);
  return it == receivers_.end() ? 0 : it->second.info.zone;
}

bool Receivers::batches(const std::string& endpoint) const {
  const auto it = receivers_.find(endpoint);
  if (it == receivers_.end()) return false;
  const auto kind = static_cast<std::size_t>(it->second.info.kind);
  return kind < day_.settings.kinds.size() && day_.settings.kinds[kind].batch_max > 1;
}

std::vector<Endpoint> Receivers::listed() const {
  std::vector<Endpoint> list;
  for (const auto& [id, r] : receivers_)
    if (r.info.listing != Listing::removed) list.push_back(r.info);
  return list;
}

void Receivers::end_call(const std::string& endpoint) {
  const auto it = receivers_.find(endpoint);
  if (it != receivers_.end() && it->second.calls_out > 0) it->second.calls_out--;
}

void Receivers::close_idle(const std::string& endpoint, Micros now) {
  const auto it = receivers_.find(endpoint);
  if (it != receivers_.end()) it->second.used_at = now;
}

void Receivers::forget_calls() {
  for (auto& [id, r] : receivers_) r.calls_out = 0;
}

// ---- What a call meets. ----

Reply Receivers::call(const action::Send& send, Micros now) {
  const auto it = receivers_.find(send.endpoint);
  if (it == receivers_.end()) return {Outcome::connect_failed, kMillisecond};
  Receiver& r = it->second;
  r.calls_out++;
  const Micros unused = now - r.used_at;
  r.used_at = now;
  const Micros connect = random_.chance(0.05) ? day_.settings.connect_timeout : random_.between(0, 5'000);
  if (send.begin_within && connect > *send.begin_within)
    return {Outcome::not_sent, std::max<Micros>(*send.begin_within, 0)};
  if (random_.chance(0.002)) return {Outcome::not_sent, 0};
  if (collapses(r, now) || now < r.fault_until) return faulty(r, send);
  if (r.info.listing == Listing::removed && random_.chance(0.5))
    return {Outcome::connect_failed, 2 * kMillisecond};
  if (r.calls_out > r.connections_max) return {Outcome::connect_failed, 3 * kMillisecond};
  if (unused > kKeepAlive && random_.chance(0.5)) return {Outcome::reset, kMillisecond};
  if (now < destinations_[r.info.destination].rejects_all_until) return rejected(10 * kSecond);
  if (limited(r, now)) return rejected(2 * kSecond);
  return sound(r, send, now);
}

// Warming up, it falls over again under more than a few calls a second.
bool Receivers::collapses(Receiver& r, Micros now) {
  if (now >= r.cold_until || now < r.fault_until) return false;
  if (now >= r.recent_from + kSecond) {
    r.recent_from = now;
    r.recent_calls = 0;
  }
  if (++r.recent_calls <= kColdCallsPerSecond) return false;
  fail(r, r.fault, now + random_.between(1, 4) * kSecond);
  return true;
}

bool Receivers::limited(const Receiver& r, Micros now) {
  Destination& model = destinations_[r.info.destination];
  if (model.rate <= 0) return false;
  const double burst = std::max(1.0, model.rate);
  model.tokens =
      std::min(burst, model.tokens + model.rate * static_cast<double>(now - model.tokens_at) * 1e-6);
  model.tokens_at = now;
  if (model.tokens < 1) return true;
  model.tokens -= 1;
  return false;
}

Reply Receivers::rejected(Micros longest_wait) {
  Reply reply{Outcome::rejected, random_.between(500, 20'000)};
  if (random_.chance(day_.retry_after_share)) reply.retry_after = random_.between(1, longest_wait);
  reply.limit_left = 0;
  reply.limit_rate = day_.rate_limit_per_s;
  return reply;
}

Reply Receivers::faulty(const Receiver& r, const action::Send& send) {
  const Micros quick = random_.between(200, 10'000);
  switch (r.fault) {
    case Fault::connections_refused:
      return {Outcome::connect_failed, random_.chance(0.2) ? day_.settings.connect_timeout : quick};
    case Fault::resets:
      return {Outcome::reset, std::min(r.latency / 2 + quick, send.timeout)};
    case Fault::errors:
      return {random_.chance(0.9) ? Outcome::error : Outcome::served, std::min(quick, send.timeout)};
    case Fault::none:
    case Fault::silent:
      break;
  }
  return {Outcome::timeout, send.timeout};
}

Reply Receivers::sound(const Receiver& r, const action::Send& send, Micros now) {
  Reply reply;
  reply.latency = r.latency * random_.skewed(50, 250) / 100;
  if (random_.chance(0.01)) reply.latency *= 12;
  if (now < r.slow_until) reply.latency = reply.latency * 15 + 200 * kMillisecond;
  if (random_.chance(failure_share_) && random_.chance(0.7))
    reply.outcome = random_.chance(0.5) ? Outcome::error : Outcome::reset;
  else if (random_.chance(failure_share_ / 3))
    reply.outcome = random_.one_of<Outcome>({Outcome::error, Outcome::reset, Outcome::error,
                                             Outcome::connect_failed, Outcome::timeout, Outcome::cancelled});
  if (reply.outcome == Outcome::timeout) reply.latency = send.timeout;
  if (reply.outcome == Outcome::error) reply.closed = random_.chance(0.3);
  if (random_.chance(0.003)) reply.retry_after = random_.between(1, 3 * kSecond);
  if (random_.chance(0.3)) reply.limit_left = random_.share();
  if (reply.latency <= send.timeout) return reply;
  reply.latency = send.timeout;
  reply.outcome = Outcome::timeout;
  reply.closed = false;
  return reply;
}

// ---- Incidents. ----

void Receivers::fail(Receiver& r, Fault fault, Micros until) {
  r.fault = fault == Fault::none ? Fault::silent : fault;
  r.fault_until = until;
  r.cold_until = until + (random_.chance(0.5) ? random_.between(1, 10) * kSecond : 0);
}

void Receivers::fail_endpoint(Micros now) {
  Receiver& r = any();
  const auto fault = static_cast<Fault>(random_.between(1, 4));
  fail(r, fault, now + random_.skewed(100, 30'000) * kMillisecond);
}

void Receivers::fail_destination(Micros now) {
  const std::int64_t destination = any().info.destination;
  const auto fault = static_cast<Fault>(random_.between(1, 4));
  const Micros until = now + random_.skewed(500, 40'000) * kMillisecond;
  for (auto& [id, r] : receivers_)
    if (r.info.destination == destination) fail(r, fault, until);
}

void Receivers::reject_all(Micros now) {
  destinations_[any().info.destination].rejects_all_until = now + random_.skewed(500, 30'000) * kMillisecond;
}

void Receivers::change_limit() {
  Destination& model = destinations_[any().info.destination];
  const double fair = day_.requests_per_s / day_.destinations;
  model.rate = random_.chance(0.3) ? 0 : fair * random_.real(0.2, 3);
}

void Receivers::slow_down(Micros now) { any().slow_until = now + random_.skewed(500, 20'000) * kMillisecond; }

void Receivers::limit_connections() {
  any().connections_max = random_.chance(0.5) ? 1'000'000 : static_cast<int>(random_.between(1, 12));
}

void Receivers::change_failure_share() {
  failure_share_ =
      random_.chance(0.5) ? day_.failure_share : random_.one_of<double>({0, 0.05, 0.15, 0.4, 0.6});
}

std::vector<Endpoint> Receivers::change_all(std::int64_t destination, Listing listing) {
  std::vector<Endpoint> changed;
  for (auto& [id, r] : receivers_) {
    if (r.info.destination != destination) continue;
    r.info.listing = listing;
    changed.push_back(r.info);
  }
  return changed;
}

std::vector<Endpoint> Receivers::change_list(Micros now) {
  Receiver& r = any();
  switch (random_.between(0, 9)) {
    case 0:
    case 1:
      return {add(random_.between(1, day_.destinations + 1), now).info};
    case 2:
      r.info.listing = Listing::removed;
      break;
    case 3:
      r.info.listing = Listing::draining;
      break;
    case 4:
      r.info.destination = random_.between(1, day_.destinations + 1);
      break;
    case 5:
      r.info.kind = static_cast<int>(random_.between(-1, 4));
      break;
    case 6:
      return change_all(r.info.destination, Listing::removed);
    case 7:
      return change_all(r.info.destination, Listing::active);
    default:
      r.info.listing = Listing::active;
      break;
  }
  return {r.info};
}

}  // namespace decisions

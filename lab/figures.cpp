#include "figures.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <unordered_map>

namespace heronvane::lab {

namespace {

namespace bh = boost::histogram;

// Durations from 10 us to 1,000 s, in bins 2% wide.
class Durations {
 public:
  void add(Microseconds span) {
    histogram_(static_cast<double>(std::max<Microseconds>(span, 10)));
    count_++;
  }
  // In milliseconds; the upper edge of its bin.
  double quantile(double share) const {
    if (count_ == 0) return 0;
    const double wanted = share * static_cast<double>(count_);
    double sum = 0;
    const auto& axis = histogram_.axis();
    for (auto&& cell : bh::indexed(histogram_, bh::coverage::all)) {
      sum += *cell;
      if (sum >= wanted) return axis.value(static_cast<double>(cell.index()) + 1) / 1e3;
    }
    return axis.value(axis.size()) / 1e3;
  }
  std::size_t count() const { return count_; }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  bh::histogram<std::tuple<Axis>> histogram_ = bh::make_histogram(Axis(930, 10.0, 1e9));
  std::size_t count_ = 0;
};

double quantile(std::vector<double> all, double share) {
  if (all.empty()) return 0;
  const auto at = all.begin() + static_cast<long>(std::min(share * static_cast<double>(all.size()),
                                                           static_cast<double>(all.size() - 1)));
  std::nth_element(all.begin(), at, all.end());
  return *at;
}

// Worth of a message that is delivered so long after it was handed in (BRIEF: full in time, then half with
// each further aim, some at least until the deadline).
double worth_of(const MessageClass& c, Microseconds took) {
  if (took <= c.aim) return c.worth;
  if (took > c.deadline) return 0;
  const double late = std::pow(
      0.5, static_cast<double>(took - c.aim) / static_cast<double>(std::max<Microseconds>(1, c.aim)));
  return c.worth * std::max(late, c.late_worth);
}

struct Message {
  Microseconds sent = 0, handed_in = 0;  // this try; the first
  int message_class = -1;
  bool taken = false, over = false;
};

}  // namespace

Figures figures(const RunResult& run, const Plan& plan, const Experiment& x) {
  Figures f;
  const auto steps = static_cast<std::size_t>(run.end / f.step + 1);
  const double per_s = 1e6 / static_cast<double>(f.step);
  f.points.resize(steps);
  for (std::size_t i = 0; i < steps; i++) f.points[i].at = static_cast<Microseconds>(i) * f.step;
  f.destinations.assign(plan.destinations.size(), std::vector<DestinationPoint>(steps));
  const auto step_of = [&](Microseconds at) {
    return std::min(steps - 1, static_cast<std::size_t>(std::max<Microseconds>(0, at) / f.step));
  };

  // Faults: the first and the last one's begin.
  std::optional<Microseconds> first_fault, last_fault;
  for (const auto& s : plan.strikes) {
    if (!first_fault) first_fault = s.at;
    last_fault = s.at;
  }
  const Microseconds before_until = first_fault.value_or(x.length);

  std::unordered_map<std::string, Message> messages;
  Durations accept, whole;
  std::vector<Durations> whole_by_step(steps);
  double calls = 0, connections = 0, tries = 0, refused = 0, offered_10 = 0, offered_30 = 0, served_10 = 0,
         served_30 = 0;
  double held = 0;
  std::vector<double> held_by_step(steps, 0);
  std::vector<std::vector<double>> calls_by_second(
      plan.destinations.size(), std::vector<double>(static_cast<std::size_t>(run.end / 1'000'000 + 2)));
  std::vector<double> list_by_second(static_cast<std::size_t>(run.end / 1'000'000 + 2));
  std::size_t held_step = 0;
  const auto hold_until = [&](std::size_t step) {
    for (; held_step < step; held_step++) held_by_step[held_step] = held;
  };
  for (const auto& e : run.history) {
    const auto step = step_of(e.at);
    hold_until(step);
    auto& p = f.points[step];
    switch (e.kind) {
      case Kind::sent: {
        auto& m = messages[e.id];
        m.sent = e.at, m.message_class = e.message_class;
        const auto& c = x.traffic.classes[static_cast<std::size_t>(e.message_class)];
        // A client's tries belong to its first.
        m.handed_in = e.until - c.deadline;
        tries++;
        if (e.value > 1) break;
        p.offered += per_s;
        if (first_fault && e.at >= *first_fault) {
          if (e.at < *first_fault + 10'000'000) offered_10 += c.worth;
          if (e.at < *first_fault + 30'000'000) offered_30 += c.worth;
        }
        f.offered_worth += c.worth;
        break;
      }
      case Kind::taken: {
        auto& m = messages[e.id];
        if (!m.taken && !m.over) held++;
        m.taken = true;
        p.taken += per_s;
        accept.add(e.at - m.sent);
        break;
      }
      case Kind::refused:
      case Kind::failed:
        p.refused += per_s, refused++;
        break;
      case Kind::silence:
      case Kind::unreached:
        p.unanswered += per_s;
        break;
      case Kind::call: {
        calls++;
        f.destinations[e.destination][step].calls += per_s;
        calls_by_second[e.destination][static_cast<std::size_t>(e.at / 1'000'000)]++;
        break;
      }
      case Kind::turned_away:
        f.destinations[e.destination][step].refused += per_s;
        break;
      case Kind::answered: {
        auto& m = messages[e.id];
        if (m.message_class < 0 || m.over) break;
        if (m.taken) held--;
        m.over = true;
        const auto& c = x.traffic.classes[static_cast<std::size_t>(m.message_class)];
        const double worth = worth_of(c, e.at - m.handed_in);
        f.served_worth += worth;
        p.served_worth += worth * per_s;
        whole.add(e.at - m.handed_in);
        whole_by_step[step].add(e.at - m.handed_in);
        if (first_fault && m.handed_in >= *first_fault) {
          if (m.handed_in < *first_fault + 10'000'000) served_10 += worth;
          if (m.handed_in < *first_fault + 30'000'000) served_30 += worth;
        }
        break;
      }
      case Kind::notice_undeliverable:
      case Kind::notice_deferred: {
        auto& m = messages[e.id];
        if (m.taken && !m.over) held--;
        m.over = true;
        break;
      }
      case Kind::connection:
        connections++;
        p.connections += per_s;
        break;
      case Kind::list_call:
        f.list_calls++;
        p.list_calls += per_s;
        p.list_refused += e.value * per_s;
        list_by_second[static_cast<std::size_t>(e.at / 1'000'000)]++;
        break;
      default:
        break;
    }
  }
  hold_until(steps);
  for (std::size_t i = 0; i < steps; i++) f.points[i].held = held_by_step[i];

  std::vector<int> samples(steps, 0);
  for (const auto& s : run.samples) {
    const auto step = step_of(s.at);
    samples[step]++;
    f.points[step].relays_up += s.relays_up;
    for (Index d = 0; d < s.capacity.size(); d++) f.destinations[d][step].capacity += s.capacity[d];
  }
  for (std::size_t i = 0; i < steps; i++) {
    if (samples[i] == 0) continue;
    f.points[i].relays_up /= samples[i];
    for (auto& d : f.destinations) d[i].capacity /= samples[i];
  }
  // Calls of each second over what the destination could take in it; small ones by at least five calls a
  // second.
  const auto in_second = static_cast<std::size_t>(1'000'000 / f.step);
  for (Index d = 0; d < f.destinations.size(); d++)
    for (std::size_t second = 0; (second + 1) * in_second <= steps; second++) {
      double capacity = 0;
      for (std::size_t i = 0; i < in_second; i++)
        capacity += f.destinations[d][second * in_second + i].capacity;
      capacity /= static_cast<double>(in_second);
      const double over = calls_by_second[d][second] / std::max(capacity, 5.0);
      if (capacity <= 0 || over <= f.peak_over) continue;
      f.peak_over = over;
      f.peak_at = plan.destinations[d].name + " at " + std::to_string(second) + " s";
    }
  for (const double n : list_by_second) f.list_calls_worst_second = std::max(f.list_calls_worst_second, n);

  f.accept_p50_ms = accept.quantile(0.5), f.accept_p99_ms = accept.quantile(0.99);
  f.whole_p50_ms = whole.quantile(0.5), f.whole_p99_ms = whole.quantile(0.99);
  f.connections_per_message = tries > 0 ? connections / tries : 0;
  f.attempts_per_message = tries > 0 ? calls / tries : 0;
  f.refused_share = tries > 0 ? refused / tries : 0;
  f.served_first_10s = offered_10 > 0 ? served_10 / offered_10 : 0;
  f.served_first_30s = offered_30 > 0 ? served_30 / offered_30 : 0;
  f.lag_p50_ms = quantile(run.lags_ms, 0.5), f.lag_p99_ms = quantile(run.lags_ms, 0.99);
  f.lag_max_ms = run.lags_ms.empty() ? 0 : *std::max_element(run.lags_ms.begin(), run.lags_ms.end());

  // ---- Full service. ----
  const auto from = step_of(x.warm), until = step_of(before_until);
  const std::size_t window = static_cast<std::size_t>(2'000'000 / f.step);
  if (!last_fault || until <= from + window) return f;
  std::vector<double> before_worth, before_p99, before_held;
  const auto over_window = [&](std::size_t begin, double& worth, double& p99, double& most_held) {
    worth = 0, p99 = 0, most_held = 0;
    for (std::size_t i = begin; i < begin + window; i++) {
      worth += f.points[i].served_worth / static_cast<double>(window);
      p99 = std::max(p99, whole_by_step[i].quantile(0.99));
      most_held = std::max(most_held, f.points[i].held);
    }
  };
  double worth = 0, p99 = 0, most_held = 0;
  for (std::size_t i = from; i + window <= until; i++) {
    over_window(i, worth, p99, most_held);
    before_worth.push_back(worth), before_p99.push_back(p99), before_held.push_back(most_held);
  }
  double sum = 0;
  for (const double w : before_worth) sum += w;
  f.before_worth = sum / static_cast<double>(before_worth.size());
  f.before_p99_ms = quantile(before_p99, 0.9);
  f.before_held = *std::max_element(before_held.begin(), before_held.end());
  // At small rates windows of the calm differ by more than 5%: then by what they differ.
  const double least = std::min(0.95 * f.before_worth, quantile(before_worth, 0.05));
  const auto last = step_of(x.length);
  for (std::size_t i = step_of(*last_fault) + 1; i + window <= last; i++) {
    over_window(i, worth, p99, most_held);
    if (worth < least || p99 > 1.5 * f.before_p99_ms || most_held > 1.5 * f.before_held) continue;
    f.full_service_s = static_cast<double>(f.points[i].at - *last_fault) / 1e6;
    break;
  }
  return f;
}

}  // namespace heronvane::lab

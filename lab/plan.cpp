#include "plan.hpp"

#include <xxhash.h>

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>

namespace heronvane::lab {

namespace {

using Random = boost::random::mt19937_64;

double uniform(Random& random, double least, double most) {
  return least >= most ? least : boost::random::uniform_real_distribution<double>(least, most)(random);
}
Index pick(Random& random, Index most) {
  return boost::random::uniform_int_distribution<Index>(0, most)(random);
}

// Weights whose sum is 1.
std::vector<double> shares(Random& random, std::size_t count, double uneven) {
  std::vector<double> all(count, 1);
  double sum = 0;
  for (auto& s : all) {
    if (uneven > 0) s = boost::random::lognormal_distribution<double>(0, uneven)(random);
    sum += s;
  }
  for (auto& s : all) s /= sum;
  return all;
}

// So many of them, drawn; in order.
std::vector<Index> some(Random& random, std::vector<Index> all, std::size_t count) {
  for (Index i = 0; i + 1 < all.size(); i++) std::swap(all[i], all[i + pick(random, all.size() - 1 - i)]);
  all.resize(std::min(count, all.size()));
  std::sort(all.begin(), all.end());
  return all;
}

class Sets {
 public:
  Sets(const Plan& plan, const Experiment& x) : plan_(plan), x_(x) {}

  Set of(const Parties& parties, Random& random, int line) const {
    Set set;
    for (const auto& words : parties) {
      std::istringstream each(words);
      for (std::string one; each >> one;) add(one, set, random, line);
    }
    for (auto* const list : {&set.relays, &set.endpoints, &set.destinations}) {
      std::sort(list->begin(), list->end());
      list->erase(std::unique(list->begin(), list->end()), list->end());
    }
    return set;
  }

 private:
  void add(const std::string& word, Set& set, Random& random, int line) const {
    const auto colon = word.find(':');
    const std::string what = word.substr(0, colon),
                      many = colon == std::string::npos ? "" : word.substr(colon + 1);
    if (word == "platform") {
      set.platform = true;
    } else if (word == "clients") {
      set.clients = true;
    } else if (what == "relays") {
      append(set.relays, drawn(plan_.relays.size(), many, random, word, line));
    } else if (what == "endpoints") {
      append(set.endpoints, drawn(plan_.endpoints_at_start, many, random, word, line));
    } else if (what == "destinations") {
      append(set.destinations, drawn(plan_.destinations.size(), many, random, word, line));
    } else if (what == "zone") {
      const auto zone = std::find(x_.fleet.zones.begin(), x_.fleet.zones.end(), many);
      if (zone == x_.fleet.zones.end()) unknown(word, line);
      const int z = static_cast<int>(zone - x_.fleet.zones.begin());
      for (Index i = 0; i < plan_.relays.size(); i++)
        if (plan_.relays[i].zone == z) set.relays.push_back(i);
      for (Index i = 0; i < plan_.endpoints.size(); i++)
        if (plan_.endpoints[i].zone == z) set.endpoints.push_back(i);
    } else if (const auto i = numbered(word, 'n', plan_.relays.size())) {
      set.relays.push_back(*i);
    } else if (const auto e = numbered(word, 'e', plan_.endpoints_at_start)) {
      set.endpoints.push_back(*e);
    } else if (const auto to = numbered(word, 'd', plan_.destinations.size())) {
      set.destinations.push_back(*to);
    } else {
      unknown(word, line);
    }
  }
  [[noreturn]] void unknown(const std::string& word, int line) const {
    throw ExperimentError(x_.path + ":" + std::to_string(line) + ": '" + word +
                          "' names no party of this experiment; take relays, relays:70%, relays:3, "
                          "endpoints:20%, destinations:2, zone:" +
                          x_.fleet.zones[0] + ", n0 to n" + std::to_string(plan_.relays.size() - 1) +
                          ", e0 to e" + std::to_string(plan_.endpoints_at_start - 1) + ", d0 to d" +
                          std::to_string(plan_.destinations.size() - 1) + ", platform, clients");
  }
  static void append(std::vector<Index>& to, const std::vector<Index>& more) {
    to.insert(to.end(), more.begin(), more.end());
  }
  static std::optional<Index> numbered(const std::string& word, char letter, std::size_t count) {
    Index i = 0;
    if (word.size() < 2 || word[0] != letter) return std::nullopt;
    const auto [end, error] = std::from_chars(word.data() + 1, word.data() + word.size(), i);
    if (error != std::errc() || end != word.data() + word.size() || i >= count) return std::nullopt;
    return i;
  }
  std::vector<Index> drawn(std::size_t count, const std::string& many, Random& random,
                           const std::string& word, int line) const {
    std::vector<Index> all(count);
    for (Index i = 0; i < count; i++) all[i] = i;
    if (many.empty()) return all;
    double number = 0;
    const auto [end, error] = std::from_chars(many.data(), many.data() + many.size(), number);
    const std::string unit(end, many.data() + many.size());
    if (error != std::errc() || !(number >= 0) || (unit != "%" && !unit.empty()) ||
        (unit == "%" && number > 100))
      unknown(word, line);
    const double wanted = unit == "%" ? std::round(number / 100 * static_cast<double>(count)) : number;
    return some(random, std::move(all), static_cast<std::size_t>(wanted));
  }

  const Plan& plan_;
  const Experiment& x_;
};

std::string words_of(const Fault& f, const Strike& s) {
  const auto count = [](const Set& set) {
    std::string text;
    const auto part = [&](std::size_t n, const char* one) {
      if (n > 0) text += (text.empty() ? "" : ", ") + std::to_string(n) + " " + one + (n == 1 ? "" : "s");
    };
    part(set.relays.size(), "relay"), part(set.endpoints.size(), "endpoint");
    part(set.destinations.size(), "destination");
    if (set.platform) text += (text.empty() ? "" : ", ") + std::string("platform");
    if (set.clients) text += (text.empty() ? "" : ", ") + std::string("clients");
    return text;
  };
  std::string text = word(f.kind);
  std::replace(text.begin(), text.end(), '_', ' ');
  if (!f.how.empty()) text += " (" + f.how + ")";
  if (f.kind == FaultKind::burst) return text + " of " + std::to_string(f.amount).substr(0, 4);
  if (f.kind != FaultKind::down) text += " " + count(s.strikes);
  if (!s.others.empty()) text += " from " + count(s.others);
  return text;
}

void draw_destinations(const Experiment& x, Plan& plan) {
  Random random(seed_of(plan.seed, "destinations"));
  const auto& d = x.destinations;
  const auto share = shares(random, static_cast<std::size_t>(d.count), d.shares);
  for (int i = 0; i < d.count; i++) {
    PlannedDestination to;
    to.name = "d" + std::to_string(i);
    to.number = i + 1;
    to.per_s = x.traffic.per_s * share[static_cast<std::size_t>(i)];
    to.routes_apart = uniform(random, 0, 1) < d.routes_apart;
    to.told_waits = uniform(random, 0, 1) < d.told_waits;
    to.limit_per_s = std::max(d.least_per_s, to.per_s * uniform(random, d.headroom.least, d.headroom.most));
    const auto count = static_cast<Index>(d.endpoints.least) +
                       pick(random, static_cast<Index>(d.endpoints.most - d.endpoints.least));
    // Endpoints with limits of their own share what the destination takes.
    if (to.routes_apart) to.limit_per_s /= static_cast<double>(count);
    // They stand in one zone, as a partner's machines do.
    const int zone = static_cast<int>(pick(random, x.fleet.zones.size() - 1));
    for (Index e = 0; e < count; e++) {
      to.endpoints.push_back(plan.endpoints.size());
      plan.endpoints.push_back({"e" + std::to_string(plan.endpoints.size()), static_cast<Index>(i), zone});
    }
    plan.destinations.push_back(std::move(to));
  }
  plan.endpoints_at_start = plan.endpoints.size();
}

}  // namespace

std::uint64_t seed_of(std::uint64_t seed, const std::string& part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), seed);
}

Plan make_plan(const Experiment& x, std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  Random random(seed_of(seed, "relays"));
  const auto share = shares(random, static_cast<std::size_t>(x.fleet.relays), x.traffic.uneven);
  for (int i = 0; i < x.fleet.relays; i++)
    plan.relays.push_back({"n" + std::to_string(i), i % static_cast<int>(x.fleet.zones.size()),
                           x.traffic.per_s * share[static_cast<std::size_t>(i)]});
  draw_destinations(x, plan);

  const Sets sets(plan, x);
  for (std::size_t n = 0; n < x.faults.size(); n++) {
    const auto& f = x.faults[n];
    // Each fault draws from a seed of its own, so that one more does not change the others.
    Random drawn(seed_of(seed, "fault " + std::to_string(n)));
    for (int i = 0; i < f.times; i++) {
      Strike s;
      s.kind = f.kind, s.lasts = f.lasts, s.back = f.back, s.amount = f.amount, s.how = f.how;
      s.at = f.at + f.every * i + static_cast<Microseconds>(uniform(drawn, 0, static_cast<double>(f.jitter)));
      s.strikes = sets.of(f.parties, drawn, f.line);
      s.others = sets.of(f.others, drawn, f.line);
      s.words = words_of(f, s);
      if (s.at < x.length) plan.strikes.push_back(std::move(s));
    }
  }
  std::stable_sort(plan.strikes.begin(), plan.strikes.end(),
                   [](const Strike& a, const Strike& b) { return a.at < b.at; });
  // What replaces an endpoint is of the same destination.
  for (const auto& s : plan.strikes)
    if (s.kind == FaultKind::replace)
      for (const Index e : s.strikes.endpoints) {
        const auto to = plan.endpoints[e].destination;
        plan.destinations[to].endpoints.push_back(plan.endpoints.size());
        plan.endpoints.push_back({"e" + std::to_string(plan.endpoints.size()), to, plan.endpoints[e].zone});
      }
  return plan;
}

Plan with_strikes(Plan plan, const std::vector<std::size_t>& kept) {
  const std::set<std::size_t> wanted(kept.begin(), kept.end());
  std::vector<Strike> left;
  for (std::size_t i = 0; i < plan.strikes.size(); i++)
    if (wanted.count(i) > 0) left.push_back(std::move(plan.strikes[i]));
  plan.strikes = std::move(left);
  return plan;
}

}  // namespace heronvane::lab

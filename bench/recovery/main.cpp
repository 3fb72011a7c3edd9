// Plays outages and returns of a destination in simulated fleets of many sizes, and prints for each scenario
// what was served, how near the returning destination came to a collapse, and how often it collapsed. Linked
// with the decision module of two checkouts it compares their decisions.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "recovery_play.hpp"

namespace {

using heronvane::recovery::Result;
using heronvane::recovery::Scenario;
using heronvane::recovery::Symptom;

struct Named {
  std::string name;
  Scenario scenario;
};

struct Summary {
  double served = 0;
  double largest_load = 0;
  int collapses = 0;
};

Summary play_seeds(Scenario scenario, int seeds) {
  std::vector<Result> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  for (int seed = 0; seed < seeds; seed++) {
    threads.emplace_back([&results, scenario, seed]() mutable {
      scenario.seed = static_cast<std::uint64_t>(seed) + 1;
      results[static_cast<std::size_t>(seed)] = play(scenario);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Summary summary;
  for (const Result& result : results) {
    summary.served += result.served_share / seeds;
    summary.largest_load = std::max(summary.largest_load, result.largest_load);
    summary.collapses += result.has_collapsed ? 1 : 0;
  }
  return summary;
}

const char* name_of(Symptom symptom) {
  switch (symptom) {
    case Symptom::silent:
      return "silent";
    case Symptom::held:
      return "held";
    case Symptom::refused:
      return "refused";
    case Symptom::errors:
      return "errors";
    case Symptom::most_failing:
      return "most failing";
  }
  return "";
}

std::vector<Named> scenarios() {
  std::vector<Named> all;
  for (const int relays : {1, 3, 30, 300, 900}) {
    const int slots = relays <= 3 ? 12 : 6;
    const Scenario base{.relays = relays, .slots = slots};
    const std::string fleet = std::to_string(relays) + " relays, ";
    Scenario calm = base;
    calm.outage_s = 0;
    all.push_back({fleet + "calm", calm});
    for (const double share : {0.01, 0.04}) {
      calm.background_failures = share;
      calm.endpoints = 3;
      char text[60];
      std::snprintf(text, sizeof text, "%.0f%% of the calls are reset", 100 * share);
      all.push_back({fleet + text, calm});
    }
    for (const Symptom symptom : {Symptom::silent, Symptom::refused, Symptom::errors}) {
      for (const int endpoints : {2, 4}) {
        for (const double rate : {3.0, 10.0, 30.0}) {
          Scenario one_out = base;
          one_out.endpoints = endpoints;
          one_out.endpoints_out = 1;
          one_out.rate = rate;
          one_out.symptom = symptom;
          all.push_back({fleet + "one of " + std::to_string(endpoints) + " endpoints out for good, " +
                             std::to_string(int(rate)) + "/s: " + name_of(symptom),
                         one_out});
        }
      }
    }
    for (const int endpoints : {1, 2, 4}) {
      for (const Symptom symptom :
           {Symptom::silent, Symptom::held, Symptom::refused, Symptom::errors, Symptom::most_failing}) {
        for (const double rate : {3.0, 10.0, 30.0}) {
          Scenario out = base;
          out.endpoints = endpoints;
          out.symptom = symptom;
          out.rate = rate;
          out.headroom = rate > 3 ? 1.3 : 2;
          all.push_back({fleet + std::to_string(endpoints) + " endpoints, " + std::to_string(int(rate)) +
                             "/s, all out: " + name_of(symptom),
                         out});
        }
      }
      for (const int replaced : {1, endpoints}) {
        for (const double moment : {-5.0, -1.0, 0.3, 1.5, 4.0}) {
          Scenario out = base;
          out.endpoints = endpoints;
          out.outage_s = 12;
          out.replaced = replaced;
          out.replaced_at_s = moment;
          char text[100];
          std::snprintf(text, sizeof text, "%d of %d endpoints replaced %+.1f s from the return", replaced,
                        endpoints, moment);
          all.push_back({fleet + text, out});
        }
      }
    }
    Scenario own = base;
    own.own_limits = true;
    own.endpoints = 3;
    all.push_back({fleet + "3 endpoints with own limits, all out: silent", own});
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 8;
  std::printf("served | largest load | collapses of %d | scenario\n", seeds);
  for (const Named& named : scenarios()) {
    const Summary summary = play_seeds(named.scenario, seeds);
    std::printf("%.3f | %.2f | %2d | %s\n", summary.served, summary.largest_load, summary.collapses,
                named.name.c_str());
    std::fflush(stdout);
  }
}

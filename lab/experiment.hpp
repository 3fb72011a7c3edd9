// An experiment as its TOML file has it (docs/operate/lab.md): fleet, traffic, destinations, platform, a
// timeline of faults, what is expected. No clock and no process here.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronvane::lab {

using Microseconds = std::int64_t;  // microseconds; within a run: since its clients began

struct Range {
  double least = 0, most = 0;
};

enum class Effect { safe, keyed, unsafe };

struct MessageClass {
  std::string name;
  double share = 1;  // weights, their sum is what counts
  double worth = 1, late_worth = 0;
  Microseconds aim = 1'000'000, deadline = 6'000'000;
  Effect effect = Effect::safe;
};

struct Fleet {
  int relays = 10;
  std::vector<std::string> zones{"a"};
  int memory_mb = 64, sockets = 256, workers = 8, open_cap = 60;
  double disk_mb = 3;
  Microseconds tick = 5'000;
  Microseconds start_at_most = 20'000'000;  // until it is ready; longer is a failed start
  bool notes = false;                       // relays may send each other datagrams
  std::string settings;                     // the operator's file, as text; empty: none
  int copies = -1;                          // holders of each relay's log; -1: no copies at all
  std::string acks = "majority";            // or "all"
  Microseconds takeover_after = 1'500'000, replace_after = 3'000'000;
};

struct TrafficOptions {
  double per_s = 100;  // of all clients together
  double uneven = 0;   // of the relays' shares, which are log-normal: the logarithm's standard deviation
  std::size_t body = 200;
  std::vector<MessageClass> classes;
};

struct Destinations {
  int count = 4;
  Range endpoints{1, 3};          // of each
  Microseconds latency = 20'000;  // median of a call's time, which is log-normal
  double spread = 0.4;            // the logarithm's standard deviation
  Range headroom{1.5, 2.5};       // limit over the messages that it gets on average
  double least_per_s = 3;         // no limit is below
  double routes_apart = 0;      // share of destinations whose endpoints have limits and outages of their own
  double told_waits = 0;        // share of those that tell a wait where they refuse
  Microseconds wait = 500'000;  // so long
  double shares = 1;            // unevenness of what they get, as `uneven`
  int connections = 256;        // that an endpoint holds; more are turned away
  int bundle_max = 1;           // messages in a call
  double cold_from = 0.17;      // of its limit, when it comes back after an outage
  Microseconds cold = 9'200'000;          // until it is warm again
  double fall_multiple = 2;               // sent more than so many times what it can take then,
  Microseconds overload_for = 2'000'000;  // for so long, it falls over
  Microseconds down_for = 8'000'000;      // and stays down
  double refused_price =
      0;  // of its limit, that a refused message uses up: 0 none, 1 as much as one that is served
};

struct PlatformOptions {
  double calls_per_s = 200;               // lists and watches that it begins in a second
  Microseconds longest_wait = 1'000'000;  // one that would wait longer is answered 503
  Microseconds late = 500'000;            // until a change is told
};

// ---- Faults. ----
// A set of parties by words: "relays", "relays:70%", "relays:3", "endpoints:20%", "destinations:2", "zone:a"
// (relays and endpoints), "n7", "e3", "d2", "platform", "clients", or a list of them.
using Parties = std::vector<std::string>;

enum class FaultKind {
  kill,       // SIGKILL; back after `back`
  restart,    // SIGTERM, SIGKILL after 3.7 s; back after `back`
  overlap,    // the next process is started first, then SIGTERM; SIGKILL after 3.7 s
  stop,       // SIGSTOP for `lasts`
  slow,       // stopped for the share `amount` of the time, for `lasts`
  wipe,       // SIGKILL and its disk lost; back with an empty one after `back`, or never
  rollback,   // SIGKILL; back after `back` with the disk of `amount` microseconds earlier
  configure,  // restarted as `restart`, with the value `amount` of the fleet's field `how`
  fill,       // nothing more can be written to its disk, for `lasts`
  outage,     // of destinations, `how`: down, silent, shut, failing
  limit,      // of destinations: `amount` times the usual, for `lasts` or for good
  drain,      // endpoints drain and are gone after `back`
  replace,    // endpoints drain, new ones take their place after `back`
  burst,      // `amount` times the traffic, for `lasts`
  down,       // of the platform, for `lasts`
  cut,        // between `parties` and `others`, for `lasts`, `how`: silent, reset
  cut_one,    // only what the first send to the others
  delay,      // `amount` microseconds more each way, with as much spread, for `lasts`
  loss,       // of datagrams: share `amount`, for `lasts`
  repeat,     // of datagrams: share `amount`, for `lasts`
  rate,       // bytes a second on each connection, for `lasts`
  reset,      // all connections between them, once
  half,       // half-close: what the first send ends, answers still come; once
  tear,       // each connection after `amount` more bytes; for `lasts`
};
const char* word(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kill;
  Microseconds at = 0;
  Parties parties, others;
  Microseconds lasts = 0;
  Microseconds back = -1;  // -1: never
  double amount = 0;
  std::string how;
  Microseconds every = 0;   // repeated so often,
  int times = 1;            // so many times in all
  Microseconds jitter = 0;  // each is moved by up to so much, from the seed
  int line = 0;
};

struct Expectations {
  bool judged = true;  // broken rules fail the experiment
  double lost_most = 0;
  double served_least = 0;             // share of the worth offered
  Microseconds full_service_most = 0;  // after the last fault began; 0: any
  double pushed_over_most = -1;        // -1: any
};

struct Experiment {
  std::string path, text;  // the file, and all that stands in it
  std::string title;
  Fleet fleet;
  TrafficOptions traffic;
  Destinations destinations;
  PlatformOptions platform;
  Microseconds warm = 5'000'000;     // before the first that counts
  Microseconds length = 30'000'000;  // clients hand in for so long
  Microseconds settle = 30'000'000;  // what is owed is waited for at most so long after that
  std::vector<Fault> faults;
  Expectations expect;
};

// Tells file, line, what is wrong and what to do.
class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ExperimentError.
Experiment read_experiment(const std::string& text, const std::string& path);
Experiment load_experiment(const std::string& path);

}  // namespace heronvane::lab

// The decisions of cedarplank. Interface: include/cedarplank/dispatcher.hpp
//
// Read top to bottom: constants; what is kept of endpoints, targets and messages; learning from
// outcomes (LIMD delay, pace, health); what outlasts the process; the list; the one gate that every send
// passes; choosing what goes next; ends and timers. docs/design.md tells what comes from the design's source
// and what is ours.
#include "cedarplank/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>

namespace cedarplank {
namespace {

// ---- Constants. Times in seconds, unless derived from settings where they are used. ----
// LIMD. The source's example figures are 2, 4, 1 with factor 0.2; their ratios are kept, the unit is
// a share of the shortest aim, because its seconds are long against our deadlines.
constexpr double kUnitOfAim = 0.1;
constexpr double kInitial = 2, kIncrement = 4, kLeast = 1, kMost = 20;  // in units
constexpr double kFactor = 0.2, kJitter = 0.25;
constexpr double kAgingHalfLife = 20;  // units: an unused D halves in this time
// Pace.
constexpr double kRateMemory = 4;   // memory of served-rate estimates
constexpr double kLongMemory = 30;  // and of what a relay asks of an endpoint, calls a minute
constexpr double kPaceCut = 0.85;   // on a further refusal
constexpr double kCutGap = 0.3;     // refusals closer than this are one event
constexpr double kAgainFirst = 0.25, kAgainGain = 0.1;  // share served after a refusal: assumed; weight
constexpr double kPaceRaise = 0.15;                     // growth a second while calls are served
constexpr double kPaceStep = 0.25;                      // and calls in a shortest aim, a second, on top
constexpr double kPaceRoom = 1.25;  // a cut starts from no more than this times the served rate
constexpr double kFewServes = 2;    // recent serves under which a relay's own pace says little
constexpr double kLeastThrough = 0.02, kThroughCut = 0.5;  // share let through: at least, and after a refusal
constexpr double kTellGap = 0.03;  // seconds between notes of all relays together: they cost by the receiver
constexpr int kFewRelays = 8;      // up to which the signs that each relay needs by itself are not too many
constexpr double kBurst = 0.3;     // seconds of pace that may be saved up
// Health.
constexpr int kCloseRun = 3;             // bad signs without a serve that close an endpoint
constexpr int kShutRun = 4;              // refusals without a serve that mean shut, not limited,
constexpr double kShutSpan = 1.5;        // when they span this time
constexpr double kMostFail = 0.5;        // share of failing calls that closes an endpoint
constexpr double kFailMemory = 0.15;     // weight of the newest call in that share
constexpr double kOverdueTimes = 4;      // a call out this many usual latencies, plus
constexpr double kOverdueMore = 0.3;     // this, is a bad sign
constexpr double kRampShare = 0.9;       // part of the push-over budget used; two thirds where own rates are
constexpr double kRampShareMany = 0.67;  // guesses, of many relays: so much alone breaks the rule
constexpr double kLeastCalls = 3;        // calls a second of all relays that an endpoint is taken to get
constexpr double kEvidence = 3;          // seconds of own calls that must fail to close, kCloseRun at most
// Stray failures: resets and errors at endpoints that serve on.
constexpr double kStrayGain = 0.02;     // weight of the newest call in their share
constexpr double kStrayLeast = 0.05;    // share from which on they are reckoned with
constexpr double kStrayChance = 0.003;  // a run that is likelier than this by chance closes nothing
constexpr int kStraysOfOne = 2;         // of one run counted at most: the rest may be an outage
constexpr int kStrayMost = 8;           // bad signs that close whatever the chance
// Slots.
constexpr double kTargetSlots = 0.5;   // share of the slots for one endpoint at most
constexpr double kTrialSlots = 0.25;   // for trial calls of all closed endpoints
constexpr double kDoubtSlots = 0.125;  // while doubtful
constexpr int kBaseCalls = 3;          // calls out that need no served rate to justify them
// Time-outs.
constexpr double kTimeoutTimes = 8;       // usual latencies
constexpr double kSafeTimeoutAims = 2.5;  // least time-out of repeatable messages, in aims
constexpr double kUnsafeTimeoutAims = 5;  // and of the others, which a time-out loses
constexpr double kLatencyGain = 0.2, kUsualGain = 0.02, kSlownessGain = 0.1;  // weights of the newest answer
constexpr double kMostSlow = 20;        // one answer counts as no more usual latencies than this
constexpr double kFirstLatency = 0.25;  // assumed before the first answer
// Connections.
constexpr double kGapGain = 0.3, kMostGap = 100;  // weight of the newest gap between calls; the longest
constexpr double kIdleSpared = 8;  // idle connections of all relays that an endpoint is trusted to spare
// List and buffer.
constexpr double kLeastLeft = 0.05;  // of the shortest aim: with less time left, nothing is sent any more
constexpr double kAskAgain = 0.5, kAskAgainMost = 4;
constexpr double kBufferFull = 0.92;  // above this share of the buffer the least worth is refused

// What outlasts the process.
constexpr double kGiveGap = 1;      // seconds between changes given of one endpoint, unless they are urgent
constexpr double kGiveShare = 0.2;  // change of a delay, a pace or a share that is worth giving
constexpr double kMootPace = 100;   // calls a second and slot that are never made: bounds nothing

const std::string kNoteRefused = "1r";  // a note between relays: its version, its kind, then the endpoint
constexpr Time kNever = std::numeric_limits<Time>::max() / 4;
constexpr double kUnbounded = std::numeric_limits<double>::infinity();

double seconds(Time t) { return static_cast<double>(t) * 1e-6; }
Time micros(double s) { return s > 1e9 ? kNever : static_cast<Time>(s * 1e6); }

// Calls a second, forgetting old ones.
class Rate {
 public:
  explicit Rate(double memory = kRateMemory) : memory_(memory) {}
  void start(Time now) { first_ = last_ = now; }  // else with the first call
  void add(Time now) { decay(now), sum_ += 1; }
  double at(Time now) {
    if (first_ < 0) return 0;
    decay(now);
    const double seen = 1 - std::exp(-(seconds(now - first_) + 1) / memory_);
    return sum_ / memory_ / seen;
  }

 private:
  void decay(Time now) {
    if (first_ < 0) first_ = last_ = now;
    sum_ *= std::exp(-seconds(now - last_) / memory_);
    last_ = now;
  }
  double memory_, sum_ = 0;
  Time first_ = -1, last_ = 0;
};

struct Target {              // what shares one limit: a destination, or a route apart
  double delay = 0;          // D, in seconds; 0: no failure remembered
  Time delay_at = 0;         // when D last changed (a round counts as one failure)
  double pace = kUnbounded;  // calls a second of this relay
  double tokens = 1;
  Time tokens_at = 0, cut_at = -kNever, raise_at = 0;
  Time wait_until = 0;  // told wait
  Rate served;
  int refusals = 0;  // since the last serve
  std::size_t kind = 0;
  double let_through = 1;  // share of attempts let through after refusals that this relay or others met
  Time let_at = -kNever, told_at = -kNever, hold_until = 0;
  Time refused_from = 0;
  bool heard = false;        // a call ended in this life
  Time recalled = -kNever;   // when the record that counts was written, in an earlier one
  Time due = kNever;         // when changes are to be given out; its place in `dirty`
  Time looked_at = -kNever;  // and when they were last looked for
  bool given_known = false;  // what was given of one of them may be more than blank
};

struct Given {  // what a store holds of an endpoint
  bool known = false;
  Time at = -kNever;
  Health health = Health::open;
  Time since = 0, wait_until = 0;
  double delay = 0, pace = 0, let_through = 1;
  int refusals = 0;
};

struct Due {  // names its target by id: endpoints come and go
  Time at = 0;
  bool apart = false;
  DestinationId destination = 0;
  EndpointId endpoint;
  auto operator<=>(const Due&) const = default;
};

struct EndpointState {
  Endpoint info;
  Target own;  // used where routes are apart
  bool apart = false;
  int bundle_max = 1, bundle = 1;   // messages in a call: at most, and as trusted now
  std::set<std::uint64_t> calls;    // out, oldest first
  double latency = kFirstLatency;   // recent, stretched by calls without an answer
  double usual = 0;                 // long-run latency of the served ones
  Rate served, asked{kLongMemory};  // calls served; first tries while open
  double fail_share = 0;
  int fail_run = 0;                     // failed calls since the last serve
  int strays = 0;                       // resets and errors among them
  Time served_at = 0, served_sent = 0;  // last serve, and the newest send among those served
  bool doubt_run = false;               // the last failure may have run
  bool idle_closed = false;             // idle connections were dropped in this spell
  double use_gap = 0;                   // between calls, in the mean
  Time used_at = -kNever;               // last time a call began or ended
  Health health = Health::open;
  double usual_rate = 0;  // served calls a second before the trouble
  Time since = 0;         // of the present health
  double budget = 0;      // calls allowed while closed or in the ramp
  Time budget_at = 0, next_trial = 0;
  int call_cap = 0;  // calls out at which connects failed; 0: unknown
  Time capped_at = 0;
  std::uint64_t open_call = 0;           // call begun in this round, for bundling
  bool heard = false, recalled = false;  // a call ended in this life; a record of an earlier one was taken
  Given given;
};

struct DestinationState {
  Target target;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

struct Call {
  EndpointState* endpoint = nullptr;
  Time sent = 0;
  int messages = 0, left = 0;  // taken along; without an outcome yet
  bool judged = false;         // its fate was counted
};

struct Message {
  MessageId id = 0;
  const ClassSettings* cls = nullptr;
  DestinationId destination = 0;
  double worth = 0;
  Time aim = 0, deadline = 0, ready = 0;
  std::string key;
  int sends = 0, gave_up = -1;       // attempts made; the last one that was cancelled
  std::map<int, std::uint64_t> out;  // attempt to call
  std::optional<int> may_ran_zone;   // where the first attempt that may have run was made
  Time may_ran_sent = 0;
  bool over = false;
};

struct KeyLine {
  std::deque<MessageId> line;
  Time rest_until = 0;
};

}  // namespace

struct Dispatcher::State {
  Settings set;
  std::mt19937_64 random;
  Time now = 0;
  std::vector<Action>* out = nullptr;
  std::map<EndpointId, EndpointState> endpoints;
  std::map<DestinationId, DestinationState> destinations;
  std::map<MessageId, Message> messages;
  std::map<std::string, KeyLine> keys;
  std::deque<std::pair<Time, std::string>> resting;  // keys after an attempt in doubt, soonest rested first
  bool list_changed = false;
  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_call = 1;
  std::vector<double> share_tokens;
  std::vector<Time> share_at;
  double unit = 0.1, shortest_aim = 1;
  std::vector<double> after_refusal;  // by kind: share of calls served that come after a refusal there
  double stray_share = 0;             // of calls that fail at endpoints which serve on
  double slowness = 1;                // recent latencies of all serves, in usual ones
  Time tell_at = 0, timer_at = kNever, ask_at = kNever, wake = kNever;
  bool subscribed = false;
  double ask_gap = kAskAgain;
  std::set<EndpointId> ended_at;                           // endpoints at which a call ended in this round
  std::set<Due> dirty;                                     // targets with changes to give out, soonest first
  std::deque<std::pair<EndpointId, DestinationId>> swept;  // since they were given as known

  State(const Settings& s, std::uint64_t seed) : set(s), random(seed) {
    shortest_aim = seconds(set.classes[0].aim);
    for (const auto& c : set.classes) shortest_aim = std::min(shortest_aim, seconds(c.aim));
    unit = kUnitOfAim * shortest_aim;
    for (const auto& t : set.tenants) share_tokens.push_back(burst_of(t));
    after_refusal.assign(set.kinds.size() + 1, kAgainFirst);
    share_at.assign(set.tenants.size(), 0);
  }

  double uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  double ramp_share() const { return set.relays > kFewRelays ? kRampShareMany : kRampShare; }
  double jittered(double d) { return d * (1 + kJitter * (2 * uniform() - 1)); }
  double burst_of(const TenantSettings& t) const { return 2 + 2 * t.quota_per_s / set.relays; }
  void log(const std::string& text) { out->push_back(action::Log{text}); }
  void wake_by(Time t) { wake = std::min(wake, std::max(t, now + set.tick)); }

  Target& target_of(EndpointState& e) { return e.apart ? e.own : destinations[e.info.destination].target; }

  // ---- The LIMD delay: fixed step up on failure, factor down on success, aged when unused. ----
  double delay_now(const Target& t) const {
    const double aged = t.delay * std::exp2(-seconds(now - t.delay_at) / (kAgingHalfLife * unit));
    return aged < kLeast * unit / 2 ? 0 : aged;
  }
  void delay_up(Target& t) {
    // Departure: failures told in one round are one event, else calls out together multiply D.
    if (t.delay > 0 && t.delay_at == now) return;
    const double d = delay_now(t);
    t.delay = d == 0 ? kInitial * unit : std::min(d + kIncrement * unit, kMost * unit);
    t.delay_at = now;
  }
  void delay_down(Target& t) {
    const double d = delay_now(t);
    t.delay = d == 0 ? 0 : std::max(d * kFactor, kLeast * unit);
    t.delay_at = now;
  }

  // ---- The pace: unbounded, set at the first refusal, cut on further ones, raised while served. ----
  // A relay that calls seldom has no served rate to go by: it may make one call a D, rarer with each refusal
  // in a row, the more so where such calls were mostly refused again (refused calls use up some limits).
  double least_pace(const Target& t) const {
    return std::pow(after_refusal[t.kind], t.refusals) / std::max(delay_now(t), kInitial * unit);
  }
  void learn_refusal(const Target& t, double served) {
    double& share = after_refusal[t.kind];
    if (t.refusals > 0) share += kAgainGain * (served - share);
  }
  void pace_cut(Target& t) {
    if (now - t.cut_at < micros(kCutGap)) return;
    const double least = least_pace(t), recent = std::max(t.served.at(now), least);
    if (t.pace == kUnbounded) t.tokens = 0;
    t.pace = t.pace == kUnbounded ? recent : std::max(std::min(t.pace, kPaceRoom * recent) * kPaceCut, least);
    t.cut_at = t.raise_at = t.tokens_at = now;
  }
  // What all relays meet: a share of the attempts let through, cut and raised as the pace is, told to the
  // others where notes are allowed. Guards against a limit that hundreds of relays overrun, each with a call
  // a minute and no rate of its own to pace by. A note is a hint: it closes nothing; its effect grows back.
  // May hold messages needlessly for a few seconds where a refusal was a passing clump's.
  double let_through(const Target& t) const {
    return std::min(1.0, t.let_through * std::exp(kPaceRaise * seconds(now - t.let_at)));
  }
  void cut_through(Target& t, const EndpointState& e, bool own) {
    const double cut = std::clamp(2 * after_refusal[t.kind], kThroughCut, 1.0);
    // Where most calls after a refusal are served, waiting D is enough.
    if (cut >= 1 || now - t.let_at < micros(kCutGap)) return;
    t.let_through = std::max(kLeastThrough, let_through(t) * cut);
    t.let_at = now;
    const bool tell = own && set.peers && now >= tell_at && now - t.told_at >= micros(shortest_aim);
    if (tell) out->push_back(action::TellPeer{-1, kNoteRefused + e.info.id});
    if (tell) tell_at = now + micros(jittered(kTellGap * set.relays));
    if (tell || !own) t.told_at = now;
  }
  // Whether this attempt is let through; else the target is held for a while.
  bool let(Target& t) {
    double share = let_through(t);
    // Refused twice and not served between: it may be shut, so no more than it stands when it returns cold.
    // With few relays the run of refusals that closes comes soon enough; one of each of many is too much.
    if (t.refusals >= 2 && set.relays > kFewRelays)
      share = std::min(share, set.fall_multiple * ramp_share() * set.cold_from);
    if (t.served.at(now) * kRateMemory >= kFewServes || uniform() < share) return true;
    t.hold_until = now + micros(jittered(kMost * unit));
    return wake_by(t.hold_until), false;
  }
  void on(const event::PeerNote& ev) {
    if (ev.body.rfind(kNoteRefused, 0) != 0) return;
    const auto it = endpoints.find(ev.body.substr(kNoteRefused.size()));
    if (it == endpoints.end()) return;
    cut_through(target_of(it->second), it->second, false);
    give_later(it->second);
  }
  void pace_raise(Target& t) {
    const double dt = std::min(seconds(now - t.raise_at), std::max(1.0, 2 / t.pace));
    if (t.pace != kUnbounded) t.pace += dt * (kPaceRaise * t.pace + kPaceStep / shortest_aim);
    t.raise_at = now;
  }
  Time pace_ready(Target& t) {
    if (t.pace == kUnbounded) return now;
    t.tokens = std::min(t.tokens + t.pace * seconds(now - t.tokens_at), std::max(1.0, t.pace * kBurst));
    t.tokens_at = now;
    return t.tokens >= 1 ? now : now + micros((1 - t.tokens) / t.pace) + 1;
  }

  // ---- Health: one ladder for every symptom. ----
  int overdue(const EndpointState& e) const {
    const Time late = micros(kOverdueTimes * e.latency + kOverdueMore);
    int n = 0;
    // Only calls sent since the last serve: one lost among many answered is no sign of silence.
    for (auto id : e.calls) n += now - calls.at(id).sent > late && calls.at(id).sent >= e.served_at;
    return n;
  }
  void close(EndpointState& e, const char* why) {
    if (e.health == Health::open) {
      // Each relay starts anywhere between two of its trials, else those of many would come together.
      e.usual_rate = std::max(e.asked.at(now), kLeastCalls / set.relays), e.budget = uniform(),
      e.budget_at = now;
    }
    if (e.health != Health::closed) log("closed " + e.info.id + ": " + why), give_by(e, now);
    e.health = Health::closed;
    e.since = now;
    e.next_trial = now + trial_gap(e);
  }
  Time trial_gap(EndpointState& e) {
    return micros(jittered(std::max(delay_now(target_of(e)), kInitial * unit)));
  }
  // Calls a second that an endpoint out or returning may get from this relay: its part, by its own first
  // tries, of what the endpoint stands for sure. No floor: with hundreds of relays that each see a call a
  // minute, floors of one call each would push it over. What is known of an outage ages out.
  Time health_span() const { return std::max(set.cold, micros(shortest_aim)); }
  double ramp_rate(const EndpointState& e) const {
    double warm = set.cold_from;
    if (e.health == Health::ramp)
      warm += (1 - set.cold_from) * seconds(now - e.since) / seconds(health_span());
    const double times = set.fall_multiple * ramp_share() * std::min(warm, 1.0);
    // Not served since: perhaps it returned only now, so no more than was asked of it before, backlog or not.
    return e.usual_rate * (on_trial(e) ? std::min(times, 1.0) : times);
  }
  Time budget_ready(EndpointState& e) {
    if (e.health == Health::open) return now;
    if (now >= e.since + health_span()) {
      // The ramp comes after trials too that the budget never allowed: held messages must not go all at once.
      const bool warm = e.health == Health::ramp;
      e.health = warm ? Health::open : Health::ramp, e.since = now;
      if (warm) e.fail_run = 0, e.fail_share = 0;
      log((warm ? "warm " : "forgotten ") + e.info.id);
      give_by(e, now);
      if (warm) return now;
    }
    const Time end = e.since + health_span();
    const double rate = ramp_rate(e);
    e.budget = std::min(1.0, e.budget + rate * seconds(now - e.budget_at));
    e.budget_at = now;
    const Time ready =
        e.budget >= 1 ? now : std::min(end, now + micros((1 - e.budget) / std::max(rate, 1e-9)) + 1);
    return e.health == Health::closed ? std::max(ready, e.next_trial) : ready;
  }

  void call_served(EndpointState& e, Time sent, Time latency) {
    Target& t = target_of(e);
    e.served_at = now, e.served_sent = std::max(e.served_sent, sent);
    t.served.add(now), e.served.add(now);
    learn_refusal(t, 1);
    t.refusals = 0;
    e.latency += kLatencyGain * (seconds(latency) - e.latency);
    if (e.usual == 0) e.usual = seconds(latency);
    slowness += kSlownessGain * (std::min(seconds(latency) / std::max(e.usual, 1e-3), kMostSlow) - slowness);
    e.usual += kUsualGain * (seconds(latency) - e.usual);
    e.fail_share *= 1 - kFailMemory;
    delay_down(t), pace_raise(t);
    if (e.health == Health::closed) {
      // Closed on overdue calls alone and they came after all: slow, not out, so nothing is cold.
      e.health = e.fail_run == 0 && e.fail_share < kMostFail / 2 ? Health::open : Health::ramp;
      e.since = e.budget_at = now;
      log((e.health == Health::open ? "slow " : "ramp ") + e.info.id);
      give_by(e, now);
    }
    for (; e.strays > 0; e.strays--) stray_share += kStrayGain * (1 - stray_share);
    stray_share *= 1 - kStrayGain;
    e.fail_run = 0, e.idle_closed = false;
    e.bundle = std::min(e.bundle + 1, e.bundle_max);
    if (e.call_cap > 0 && now - e.capped_at > micros(2)) e.call_cap++, e.capped_at = now;
  }
  void call_refused(EndpointState& e) {
    Target& t = target_of(e);
    delay_up(t);
    learn_refusal(t, 0);
    if (t.refusals++ == 0) t.refused_from = now;
    if (e.health != Health::closed) pace_cut(t), cut_through(t, e, true);
    e.doubt_run = false;
    // Shut, not limited: nothing was served between the refusals.
    const bool shut = t.refusals >= kShutRun && now - t.refused_from >= micros(kShutSpan);
    if (!shut && e.health == Health::open) return;
    e.fail_run = std::max(e.fail_run, 1);
    if (e.apart) return shut || e.health == Health::closed ? close(e, "refuses all") : void();
    for (auto* other : destinations[e.info.destination].endpoints)
      if (shut || other->health == Health::closed) other->fail_run++, close(*other, "refuses all");
  }
  // Where this relay calls seldom, fewer signs must do, else each relay's would come too late.
  int signs_needed(EndpointState& e) const {
    return std::clamp(static_cast<int>(std::ceil(kEvidence * e.asked.at(now))), 1, kCloseRun);
  }
  // Where calls fail everywhere now and then, a run of failures must be longer to tell an outage. Guards
  // against closing sound endpoints one after the other on a day of stray resets. 1: no strays to speak of.
  int run_beyond_chance() const {
    if (stray_share < kStrayLeast) return 1;
    return std::min(kStrayMost, static_cast<int>(std::ceil(std::log(kStrayChance) / std::log(stray_share))));
  }
  void call_failed(EndpointState& e, const event::AttemptEnded& ev, int taken) {
    delay_up(target_of(e));
    if (ev.outcome == Outcome::connect_failed && e.fail_run == 0 && !e.calls.empty() && overdue(e) == 0 &&
        e.health == Health::open) {
      // Connects fail while calls are out and answered: its table of connections may be full.
      e.call_cap = std::max<int>(1, static_cast<int>(e.calls.size()));
      e.capped_at = now;
    }
    e.fail_run++;
    if (ev.outcome == Outcome::reset || ev.outcome == Outcome::error)
      e.strays = std::min(e.strays + 1, kStraysOfOne);
    e.doubt_run = ev.outcome != Outcome::connect_failed;
    e.fail_share += kFailMemory * (1 - e.fail_share);
    if (ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled) {
      e.latency = std::max(e.latency, std::min(e.latency * 2, seconds(ev.latency)));
      drop_idle(e);
    }
    // In the ramp two in a row close again: one stray failure must not start the ramp anew.
    // A single error proves little: some come from sound endpoints too.
    const int chance = run_beyond_chance();
    // A call's messages share its fate: failing calls take fewer along. Guards against whole bundles lost
    // to a doubtful endpoint, and against one that stumbles over large bundles only. Not where it may be a
    // stray failure: under a limit of calls, small bundles would starve the rest.
    if (chance == 1 || e.fail_run > 1) e.bundle = std::max(1, std::min(e.bundle, taken) / 2);
    const int few = std::max({signs_needed(e), ev.outcome == Outcome::error ? 2 : 1, chance});
    const int run = e.health == Health::open   ? std::max(kCloseRun, chance)
                    : e.health == Health::ramp ? std::max(kCloseRun - 1, chance)
                                               : 1;
    const double most_fail = kMostFail + (chance > 1 ? stray_share : 0);
    if (e.fail_run >= few || e.fail_run + overdue(e) >= run || e.fail_share > most_fail)
      close(e, ev.outcome == Outcome::connect_failed ? "no connection"
               : ev.outcome == Outcome::error        ? "errors"
                                                     : "silent");
  }
  // Guards against unsafe messages lost in silence: a fresh connection fails provably, an old one doesn't.
  void drop_idle(EndpointState& e) {
    if (e.idle_closed) return;
    e.idle_closed = true;
    out->push_back(action::CloseIdle{e.info.id});
  }

  // Guards against connection tables filled by idle connections of many relays, and against connections
  // that die unseen: one that will hardly be used again before its end is closed once its call is over.
  // Costs a handshake where the next call comes sooner than the mean gap tells.
  void drop_unused() {
    for (const auto& id : ended_at) {
      EndpointState& e = endpoints.at(id);
      if (e.use_gap * set.relays > seconds(set.connection_idle) * kIdleSpared)
        out->push_back(action::CloseIdle{id});
    }
    ended_at.clear();
  }

  // ---- What outlasts the process. Nothing here may change a decision: no draws, no Rate::at. ----
  void give_by(EndpointState& e, Time at) {
    Target& t = target_of(e);
    if (t.due <= at) return;
    Due due{t.due, e.apart, e.apart ? 0 : e.info.destination, e.apart ? e.info.id : EndpointId()};
    if (t.due < kNever) dirty.erase(due);
    due.at = t.due = at;
    dirty.insert(std::move(due));
  }
  // Called after each outcome: nearly always there is nothing to give, or it is due already.
  void give_later(EndpointState& e) {
    const Target& t = target_of(e);
    const bool known = t.delay > 0 || kept_pace(t) > 0 || t.let_through < 1 || e.health != Health::open;
    if (known || t.given_known) give_by(e, std::max(now, t.looked_at + micros(kGiveGap)));
  }
  double kept_pace(const Target& t) const { return t.pace < kMootPace * set.slots ? t.pace : 0; }
  // A retry waits the least D in any case, and a busy target never gets under it.
  double kept_delay(double d) const { return d > 1.001 * kLeast * unit ? d : 0; }
  double aged_delay(double d, Time age) const {
    return kept_delay(d * std::exp2(-seconds(age) / (kAgingHalfLife * unit)));
  }
  TargetMemory memory_of(const EndpointState& e, const Target& t) const {
    TargetMemory m;
    m.endpoint = e.info.id, m.destination = e.info.destination;
    m.wait_left = std::max<Time>(0, t.wait_until - now);
    m.delay = kept_delay(delay_now(t)), m.pace = kept_pace(t), m.let_through = let_through(t);
    m.refusals = t.refusals;
    if (t.refusals > 0) m.refused_age = now - t.refused_from;
    // A ramp that is over is noticed with the next message only.
    if (e.health == Health::open || (e.health == Health::ramp && now >= e.since + health_span())) return m;
    m.health = e.health, m.health_age = now - e.since, m.usual_rate = e.usual_rate;
    m.budget = std::clamp(e.budget + ramp_rate(e) * seconds(now - e.budget_at), 0.0, 1.0);
    m.fail_run = e.fail_run, m.fail_share = e.fail_share, m.doubt = e.doubt_run, m.bundle = e.bundle;
    return m;
  }
  // When `m` may be given: now, later, or never where it tells nothing new.
  Time give_at(const EndpointState& e, const TargetMemory& m) const {
    const Given& g = e.given;
    if (m.health != g.health || (m.wait_left > 0 && now + m.wait_left > g.wait_until)) return now;
    const auto differs = [](double a, double b) { return std::abs(a - b) > kGiveShare * std::max(a, b); };
    const double let_then = std::min(1.0, g.let_through * std::exp(kPaceRaise * seconds(now - g.at)));
    const bool changed = m.blank() || !g.known
                             ? m.blank() == g.known
                             : (m.health != Health::open && e.since != g.since) || m.refusals != g.refusals ||
                                   differs(m.delay, aged_delay(g.delay, now - g.at)) ||
                                   differs(m.pace, g.pace) || differs(m.let_through, let_then);
    return changed ? std::max(now, g.at + micros(kGiveGap)) : kNever;
  }
  // When what was given of the endpoint is over with time alone; kNever where it takes more than that.
  Time over_at(const EndpointState& e, const Target& t) const {
    if (!e.given.known || e.health == Health::closed || kept_pace(t) > 0) return kNever;
    Time at = std::max(t.wait_until, now);
    if (const double d = kept_delay(delay_now(t)); d > 0)
      at = std::max(at, now + micros(std::log2(d / (kLeast * unit)) * kAgingHalfLife * unit));
    at = std::max(at, now + micros(-std::log(let_through(t)) / kPaceRaise));
    if (e.health == Health::ramp) at = std::max(at, e.since + health_span());
    return at + 1'000;  // rounded up
  }
  std::vector<TargetMemory> learned(Time at, std::size_t most) {
    now = std::max(now, at);
    std::vector<TargetMemory> given;
    for (; !swept.empty() && given.size() < most; swept.pop_front())
      given.emplace_back().endpoint = swept.front().first, given.back().destination = swept.front().second;
    while (given.size() < most && !dirty.empty() && dirty.begin()->at <= now) {
      const Due due = *dirty.begin();
      dirty.erase(dirty.begin());
      if (due.apart) {
        EndpointState& e = endpoints.at(due.endpoint);
        e.own.due = kNever;
        if (e.apart) give_target(e.own, {&e}, most, given);
      } else {
        DestinationState& d = destinations.at(due.destination);
        d.target.due = kNever;
        give_target(d.target, d.endpoints, most, given);
      }
    }
    return given;
  }
  void give_target(Target& t, const std::vector<EndpointState*>& of, std::size_t most,
                   std::vector<TargetMemory>& given) {
    t.given_known = false, t.looked_at = now;
    for (EndpointState* e : of) {
      if (&target_of(*e) != &t) continue;  // moved
      TargetMemory m = memory_of(*e, t);
      Time next = give_at(*e, m);
      if (next <= now && given.size() < most) {
        e->given = Given{!m.blank(), now,    m.health,      e->since,  now + m.wait_left,
                         m.delay,    m.pace, m.let_through, m.refusals};
        given.push_back(std::move(m));
        next = kNever;
      }
      t.given_known |= e->given.known;
      if (next == kNever) next = over_at(*e, t);
      if (next < kNever) give_by(*e, next);
    }
  }
  // Costs what is listed, little where nothing is known of it.
  void targets(Time at, std::size_t most, std::vector<TargetMemory>& known) const {
    for (const auto& [id, d] : destinations)
      for (const EndpointState* e : d.endpoints) {
        if (e->info.listing == Listing::gone || e->info.destination != id) continue;
        const Target& t = e->apart ? e->own : d.target;
        const bool blank = e->health == Health::open && t.wait_until <= at && t.delay == 0 &&
                           t.pace == kUnbounded && t.let_through >= 1;
        if (known.size() >= (blank ? most : 4 * most)) continue;
        TargetMemory& m = known.emplace_back(memory_of(*e, t));
        // As of the last round, but for what runs off by itself.
        m.wait_left = std::max<Time>(0, t.wait_until - std::max(at, now));
      }
  }
  void on(const event::TargetRecalled& ev) {
    const auto it = endpoints.find(ev.memory.endpoint);
    if (it == endpoints.end() || it->second.info.listing == Listing::gone) return;
    EndpointState& e = it->second;
    if (e.recalled) return;
    e.recalled = true;
    const TargetMemory& m = ev.memory;
    // Guards against records of another make: not a number counts as the least.
    const auto within = [](auto least, auto x, auto most) { return x > least ? std::min(x, most) : least; };
    const Time age = within(Time{0}, ev.age, kNever / 4), written = now - age;
    const Time health_age = within(Time{0}, m.health_age, kNever / 4);
    Target& t = target_of(e);
    if (e.apart || m.destination == e.info.destination) {
      t.wait_until = std::max(t.wait_until, written + within(Time{0}, m.wait_left, kNever / 4));
      if (!t.heard && written >= t.recalled) {
        if (t.let_at <= t.recalled) {  // else told by a peer since
          const double let = within(kLeastThrough, m.let_through, 1.0);
          t.let_through = written > t.recalled ? let : std::min(t.let_through, let), t.let_at = written;
        }
        // Of one age: the more careful of both.
        if (written > t.recalled) t.delay = 0, t.pace = kUnbounded, t.refusals = 0, t.refused_from = now;
        t.recalled = t.delay_at = written;
        t.delay = std::max(t.delay, within(0.0, m.delay, kMost * unit));
        if (m.pace > 0) t.pace = std::min(t.pace, m.pace);
        t.refusals = std::max(t.refusals, within(0, m.refusals, 1'000));
        if (t.refusals > 0)
          t.refused_from = std::min(t.refused_from, written - within(Time{0}, m.refused_age, kNever / 4));
        t.tokens = 0, t.tokens_at = t.raise_at = now;
      }
    }
    const bool known = m.health == Health::closed || m.health == Health::ramp;
    if (known && !e.heard && e.health == Health::open && e.fail_run == 0) {
      e.health = m.health;
      e.usual_rate = within(0.0, m.usual_rate, 1e9);
      e.fail_run = within(0, m.fail_run, 1'000), e.fail_share = within(0.0, m.fail_share, 1.0);
      e.doubt_run = m.doubt;
      if (m.bundle > 0) e.bundle = std::min(m.bundle, e.bundle_max);
      // It warms up whoever calls. But none made trials that would have kept it closed; and it may have been
      // closed anew within the gap before the end.
      e.since = m.health == Health::ramp ? written - health_age
                                         : now - std::max<Time>(0, health_age - micros(kGiveGap));
      // No more than it could have grown to, and spread as in close().
      const double grown = within(0.0, m.budget, 1.0) + ramp_rate(e) * seconds(age);
      e.budget = std::min(uniform(), grown), e.budget_at = now;
      e.next_trial = now + trial_gap(e);
      log("recalled " + e.info.id);
    }
    e.given.known = t.given_known = true;  // the store holds it
    give_by(e, now);
  }

  // ---- The list. ----
  void take(const Endpoint& info) {
    list_changed = true;
    auto [it, fresh] = endpoints.try_emplace(info.id);
    EndpointState& e = it->second;
    e.info = info;
    const auto place = std::min(static_cast<std::size_t>(std::max(info.kind, 0)), set.kinds.size());
    const KindSettings kind = place < set.kinds.size() ? set.kinds[place] : KindSettings{};
    e.own.kind = destinations[info.destination].target.kind = place;
    e.apart = kind.routes_apart, e.bundle_max = kind.bundle_max;
    if (fresh) e.bundle = e.bundle_max, e.use_gap = set.relays, e.asked.start(now);
    if (!fresh) return;
    auto& siblings = destinations[info.destination].endpoints;
    // A new endpoint of a destination that is out or returning is no way around its siblings' state.
    const EndpointState* model = nullptr;
    for (const auto* other : siblings)
      if (model == nullptr || other->health == Health::open) model = other;
    if (model != nullptr && !e.apart && model->health != Health::open) {
      e.health = model->health, e.since = model->since, e.usual_rate = model->usual_rate;
      e.budget_at = now, e.next_trial = now, e.budget = uniform();
      give_by(e, now);
    }
    siblings.push_back(&e);
  }
  void on(const event::ListWhole& ev) {
    for (auto& [id, e] : endpoints) e.info.listing = Listing::gone;
    list_changed = true;
    for (const auto& info : ev.endpoints) take(info);
    if (!ev.cached)
      subscribed = true, ask_gap = kAskAgain, ask_at = kNever;
    else if (set.subscribe)
      ask_at = now;
  }
  void on(const event::ListChanges& ev) {
    for (const auto& info : ev.endpoints) take(info);
    subscribed = true, ask_gap = kAskAgain, ask_at = kNever;
  }
  void on(const event::ListFailed&) {
    subscribed = false;
    ask_at = now + micros(jittered(ask_gap));
    ask_gap = std::min(2 * ask_gap, kAskAgainMost);
  }
  void ask() {
    if (now < ask_at) return wake_by(ask_at);
    ask_at = kNever;  // one answer or one failure comes
    out->push_back(action::Subscribe{true});
  }

  // ---- Messages. ----
  double value(const Message& m, Time t) const {
    if (t >= m.deadline) return 0;
    if (t <= m.aim) return m.worth;
    const double late = m.cls->late_worth, past = seconds(t - m.aim);
    if (set.decay == Decay::halves) return m.worth * std::max(late, std::exp2(-past / seconds(m.cls->aim)));
    return m.worth * (1 - (1 - late) * past / std::max(1e-6, seconds(m.deadline - m.aim)));
  }
  // What waiting one more short aim would lose, and a little for what is there to win.
  double urgency(const Message& m, Time answer) const {
    const double v = value(m, answer);
    return v - value(m, answer + micros(shortest_aim)) + 0.1 * v;
  }
  void on(const event::Arrival& ev) {
    Message& m = messages[ev.id];
    m.id = ev.id, m.destination = ev.destination, m.key = ev.order_key;
    m.cls = &set.classes[static_cast<std::size_t>(ev.message_class)];
    m.deadline = now + ev.time_left, m.ready = now;
    m.aim = m.deadline - m.cls->deadline + m.cls->aim;
    m.worth = m.cls->worth * share_left(ev.tenant);
    if (!m.cls->ordered) m.key.clear();
    if (!m.key.empty()) keys[m.key].line.push_back(m.id);
  }
  // Back from an earlier life. An attempt that may have run bars an unsafe message from all but failing; at
  // once, for no outcome of that life will come any more.
  void on(const event::Recovered& ev) {
    on(ev.message);
    Message& m = messages.at(ev.message.id);
    m.sends = ev.attempts;
    m.may_ran_zone = ev.may_have_run_zone, m.may_ran_sent = now - ev.may_have_run_ago;
    const bool barred = m.cls->effect == Effect::unsafe && m.may_ran_zone;
    if (!barred && m.sends < set.attempts_max && now < latest_send(m)) return;
    finish(m, false);
    forget(messages.find(m.id));
  }
  // Beyond its share a tenant's messages are worth little; the share is split over the relays.
  double share_left(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(set.tenants.size())) return 1;
    const auto i = static_cast<std::size_t>(tenant);
    const double quota = set.tenants[i].quota_per_s / set.relays;
    if (quota <= 0) return 1;
    const double tokens = share_tokens[i] + quota * seconds(now - share_at[i]);
    share_tokens[i] = std::min(tokens, burst_of(set.tenants[i]));
    share_at[i] = now;
    if (share_tokens[i] < 1) return set.over_share_worth;
    share_tokens[i] -= 1;
    return 1;
  }
  bool may_refuse(const Message& m) const {
    if (m.cls->effect == Effect::safe) return true;
    if (m.cls->effect == Effect::keyed && m.cls->group == KeyGroup::all) return true;
    return m.out.empty() && !m.may_ran_zone;
  }
  void finish(Message& m, bool again) {
    if (m.over) return;
    m.over = true;
    if (again && may_refuse(m))
      out->push_back(action::Refuse{m.id, micros(unit * kInitial)});
    else
      out->push_back(action::Fail{m.id});
  }
  // Forgets a message that is over and has nothing out, and lets the next of its key step up.
  void forget(std::map<MessageId, Message>::iterator it) {
    Message& m = it->second;
    if (!m.over || !m.out.empty()) return;
    if (!m.key.empty()) {
      auto& line = keys[m.key].line;
      line.erase(std::find(line.begin(), line.end(), m.id));
      drop_key(m.key);
    }
    messages.erase(it);
  }
  void drop_key(const std::string& key) {
    const auto it = keys.find(key);
    if (it != keys.end() && it->second.line.empty() && now >= it->second.rest_until) keys.erase(it);
  }
  // Nothing is kept for ever: keys go when they are empty and rested; endpoints that left the list, when
  // their calls are over and what is known of an outage there has aged out; destinations with their last
  // endpoint.
  void sweep() {
    for (; !resting.empty() && resting.front().first <= now; resting.pop_front())
      drop_key(resting.front().second);
    if (!list_changed) return;
    list_changed = false;
    const auto leaves = [this](const EndpointState& e) {
      const bool known = e.health != Health::open && now < e.since + health_span();
      return e.info.listing == Listing::gone && e.calls.empty() && !known && e.own.wait_until <= now;
    };
    for (auto it = destinations.begin(); it != destinations.end();) {
      std::erase_if(it->second.endpoints, [&](const EndpointState* e) { return leaves(*e); });
      const bool done = it->second.endpoints.empty() && it->second.target.wait_until <= now;
      if (done) dirty.erase(Due{it->second.target.due, false, it->first, {}});
      it = done ? destinations.erase(it) : std::next(it);
    }
    std::erase_if(endpoints, [&](const auto& entry) {
      const EndpointState& e = entry.second;
      if (!leaves(e)) return false;
      dirty.erase(Due{e.own.due, true, 0, entry.first});
      if (e.given.known) swept.emplace_back(entry.first, e.info.destination);
      return true;
    });
  }
  void on(const event::Withdrawn& ev) {
    auto it = messages.find(ev.id);
    if (it == messages.end()) return;
    it->second.over = true;
    forget(it);
  }
  void on(const event::TimerDue&) {
    if (now >= timer_at) timer_at = kNever;
  }
  void on(const event::ProbeEnded&) {}

  void on(const event::AttemptEnded& ev) {
    auto it = messages.find(ev.id);
    if (it == messages.end()) return;
    Message& m = it->second;
    auto attempt = m.out.find(ev.attempt);
    if (attempt == m.out.end()) return;
    auto call_it = calls.find(attempt->second);
    Call& call = call_it->second;
    EndpointState& e = *call.endpoint;
    const Time sent = call.sent;
    Time& wait_until = target_of(e).wait_until;
    if (ev.told_wait > 0) wait_until = std::max(wait_until, now + ev.told_wait), give_by(e, now);
    m.out.erase(attempt);
    const bool last = --call.left == 0;
    if (last) e.calls.erase(call_it->first);
    // A call that we gave up in silence is a failure; one that was overtaken says nothing of the endpoint.
    const bool overtaken = ev.outcome == Outcome::cancelled && sent < e.served_at;
    if (!call.judged && ev.outcome != Outcome::not_sent && !overtaken) {
      call.judged = true;
      e.heard = target_of(e).heard = true;
      if (ev.outcome == Outcome::served)
        call_served(e, sent, ev.latency);
      else if (ev.outcome == Outcome::full)
        call_refused(e);
      else
        call_failed(e, ev, call.messages);
      give_later(e);
    }
    if (last) calls.erase(call_it), e.used_at = now, ended_at.insert(e.info.id);

    const bool never_ran = ev.outcome == Outcome::full || ev.outcome == Outcome::connect_failed ||
                           ev.outcome == Outcome::not_sent;
    if (!never_ran && (!m.may_ran_zone || sent < m.may_ran_sent))
      m.may_ran_zone = e.info.zone, m.may_ran_sent = sent;
    const bool doubt =
        ev.outcome == Outcome::timeout || ev.outcome == Outcome::reset || ev.outcome == Outcome::cancelled;
    if (doubt && !m.key.empty()) {
      keys[m.key].rest_until = now + set.settle_after_doubt;
      resting.emplace_back(now + set.settle_after_doubt, m.key);
    }
    if (ev.closed || ev.outcome == Outcome::served) m.over = true;
    if (!m.over && m.out.empty()) {
      // A retry waits the jittered D; one that would come too late, or may not be made, ends here.
      const double d = std::max(delay_now(target_of(e)), kLeast * unit);
      m.ready = now + micros(jittered(d));
      const bool barred = m.cls->effect == Effect::unsafe && m.may_ran_zone;
      if (barred || m.sends >= set.attempts_max || m.ready >= latest_send(m)) finish(m, false);
    }
    forget(it);
  }
  // After this a send can't be made any more: the deadline, or the end of the key's window.
  Time latest_send(const Message& m) const {
    // Guards against ends that are told too late: a stall of a few rounds just before the deadline.
    Time t = m.deadline - std::max(2 * set.tick, micros(kLeastLeft * shortest_aim));
    if (m.cls->effect == Effect::keyed && m.may_ran_zone)
      t = std::min(t, m.may_ran_sent + m.cls->key_window - set.tick);
    return t;
  }

  // ---- The gate. Every send passes here; it tells when to look again. ----
  bool passes(const Message& m, EndpointState& e, Time& when) {
    if (e.info.listing != Listing::active) return false;
    const bool keyed_by_zone = m.cls->effect == Effect::keyed && m.cls->group == KeyGroup::zone;
    if (keyed_by_zone && m.may_ran_zone && e.info.zone != *m.may_ran_zone) return false;
    Target& t = target_of(e);
    const Time held = std::max(t.wait_until, t.hold_until);
    if (held > now) return when = std::min(when, held), false;
    if (room_in_call(e)) return true;
    if (calls.size() >= static_cast<std::size_t>(set.slots)) return false;
    const Time ready = std::max(budget_ready(e), pace_ready(t));
    if (ready > now) return when = std::min(when, ready), false;
    if (e.health == Health::closed && m.cls->effect == Effect::unsafe && e.doubt_run && now < m.aim) {
      // A trial call that may be lost is no place for a message that can't be repeated.
      return when = std::min(when, m.aim), false;
    }
    return static_cast<int>(e.calls.size()) < call_limit(e);
  }
  bool room_in_call(const EndpointState& e) const {
    if (e.open_call == 0) return false;
    auto it = calls.find(e.open_call);
    return it != calls.end() && it->second.sent == now && it->second.messages < e.bundle;
  }
  // Bulkhead: one endpoint's calls out, so that a silent or slow one can't hold the slots of the rest.
  int call_limit(EndpointState& e) {
    // Trials are spaced; all of them out together may hold a part of the slots only.
    if (on_trial(e)) return trials_out() < std::max(1.0, kTrialSlots * set.slots) ? set.slots : 0;
    const int late = overdue(e);
    const double most = late > 0 || e.fail_run > 0 ? std::max(1.0, set.slots * kDoubtSlots)
                                                   : std::max(1.0, std::ceil(set.slots * kTargetSlots));
    // A slot is free again only in the round after the answer: without the tick, calls that are answered at
    // once would justify no slots, and a round would send hardly more than the base.
    const double turn = e.latency + seconds(set.tick);
    double limit = std::min(most, kBaseCalls + 3 * e.served.at(now) * turn);
    if (e.call_cap > 0) limit = std::min<double>(limit, e.call_cap);
    return std::max(1, static_cast<int>(limit));
  }
  bool on_trial(const EndpointState& e) const { return e.health != Health::open && e.fail_run > 0; }
  int trials_out() const {
    int n = 0;
    for (const auto& [id, call] : calls) n += on_trial(*call.endpoint);
    return n;
  }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double price(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee = e.apart && zone < set.zone_fees.size() ? set.zone_fees[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.fail_run;
    return load * e.latency * (e.health == Health::ramp ? 2 : 1) * (1 + fee) +
           (e.info.zone == set.zone ? 0 : 0.02);
  }
  bool try_send(Message& m) {
    Time when = kNever;
    if (m.sends >= set.attempts_max || now >= latest_send(m)) return false;
    if (!m.key.empty()) {
      const KeyLine& k = keys[m.key];
      const bool own_turn = k.line.front() == m.id;
      if (!own_turn) return false;
      if (m.sends == 0 && now < k.rest_until) return wake_by(k.rest_until), false;
    }
    EndpointState* best = nullptr;
    double best_price = 0;
    const auto destination = destinations.find(m.destination);
    if (destination == destinations.end()) return false;
    for (auto* e : destination->second.endpoints) {
      if (!passes(m, *e, when)) continue;
      const double p = room_in_call(*e) ? -1 : price(*e) * (1 + 0.1 * uniform());
      if (best == nullptr || p < best_price) best = e, best_price = p;
    }
    if (best == nullptr) {
      if (when < kNever) wake_by(when);
      return false;
    }
    if (!room_in_call(*best) && best->health == Health::open && !let(target_of(*best))) return false;
    send(m, *best);
    return true;
  }
  void send(Message& m, EndpointState& e) {
    Target& t = target_of(e);
    if (!room_in_call(e)) {
      e.open_call = next_call++;
      calls[e.open_call] = Call{&e, now, 0, 0, false};
      e.calls.insert(e.open_call);
      if (e.health == Health::open && m.sends == 0) e.asked.add(now);
      e.use_gap += kGapGain * (std::min(seconds(now - e.used_at), kMostGap) - e.use_gap);
      e.used_at = now;
      if (t.pace != kUnbounded) t.tokens -= 1;
      if (e.health != Health::open) e.budget -= 1;
      if (e.health == Health::closed) e.next_trial = now + trial_gap(e);
      if (overdue(e) > 0) drop_idle(e);
    }
    Call& call = calls[e.open_call];
    call.messages++, call.left++;
    const bool unsafe = m.cls->effect == Effect::unsafe;
    const double aims = seconds(m.cls->aim) * (unsafe ? kUnsafeTimeoutAims : kSafeTimeoutAims);
    const Time timeout = std::min(micros(std::max(aims, kTimeoutTimes * e.latency)), m.deadline - now);
    m.out[m.sends++] = e.open_call;
    out->push_back(action::Send{m.id, e.info.id, timeout});
  }

  // Guards against calls taken and never answered: they would hold slots, and repeatable messages, until
  // the long time-out that slow destinations need. Given up are calls that later ones have overtaken and,
  // while slots are short, sooner, also those since whose send nothing was served there. Unsafe messages,
  // which it loses, have an aim's time first. May cut a call that is merely heavy.
  void give_up(Message& m, bool slots_short) {
    const auto [attempt, call_id] = *m.out.begin();
    const Call& call = calls[call_id];
    const bool unsafe = m.cls->effect == Effect::unsafe, overtaken = call.sent < call.endpoint->served_sent;
    const bool silent = call.sent >= call.endpoint->served_at;  // answers to earlier calls: slow, at work
    if (m.gave_up == attempt || !(overtaken || (slots_short && silent))) return;
    const double least = unsafe ? seconds(m.cls->aim) : 0;
    const double times = slots_short ? kOverdueTimes : kTimeoutTimes;
    double after = times * call.endpoint->latency + kOverdueMore;
    // Later it is worth less; but where all destinations answer slowly, patience is cheaper than cutting.
    if (slots_short) after = std::min(after, seconds(m.cls->aim)) * std::max(1.0, slowness);
    const Time due = call.sent + micros(std::max(least, after));
    if (now < due) return wake_by(due);
    m.gave_up = attempt;
    out->push_back(action::Cancel{m.id, attempt});
  }

  // ---- What goes next. ----
  void dispatch() {
    std::vector<std::pair<double, Message*>> waiting;
    std::vector<MessageId> ended;
    std::size_t held = 0;
    const bool slots_short = calls.size() >= static_cast<std::size_t>(set.slots);
    for (auto& [id, m] : messages) {
      if (m.over) continue;
      held++;
      const bool in_flight = !m.out.empty();
      const Time last = in_flight ? m.deadline - 2 * set.tick : latest_send(m);
      if (now >= last) {
        finish(m, false);
        ended.push_back(id);
        continue;
      }
      wake_by(last);
      if (in_flight) {
        if (set.cancelling) give_up(m, slots_short);
        continue;
      }
      if (m.ready > now)
        wake_by(m.ready);
      else
        waiting.emplace_back(urgency(m, now + micros(kFirstLatency)), &m);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Message*> left;
    for (auto& [u, m] : waiting)
      if (!try_send(*m)) left.push_back(m);
    // Buffer nearly full: hand back what is worth least, rather than have the next ones turned away.
    auto most = static_cast<std::size_t>(kBufferFull * set.open_max);
    for (; held > std::max<std::size_t>(most, 1) && !left.empty(); held--, left.pop_back()) {
      if (!may_refuse(*left.back())) continue;
      finish(*left.back(), true);
      ended.push_back(left.back()->id);
    }
    for (auto id : ended) forget(messages.find(id));
  }

  void handle(Time at, const std::vector<Event>& events, std::vector<Action>& actions) {
    now = std::max(now, at), out = &actions, wake = kNever;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    if (set.subscribe) ask();
    dispatch();
    drop_unused();
    sweep();
    if (wake < timer_at && wake < kNever) {
      timer_at = wake;
      actions.push_back(action::SetTimer{std::min<Time>(wake - now, 3'600'000'000), 0});
    }
    out = nullptr;
  }
};

void validate(const Settings& s) {
  const auto need = [](bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("settings: ") + what);
  };
  need(!s.classes.empty(), "classes: at least one is needed");
  for (const auto& c : s.classes) {
    need(c.aim > 0, "classes.aim: must be above 0");
    need(c.deadline > 0, "classes.deadline: must be above 0");
    need(c.worth >= 0 && c.late_worth >= 0, "classes.worth and late_worth: must not be negative");
    need(c.key_window >= 0, "classes.key_window: must not be negative");
  }
  for (const auto& k : s.kinds) need(k.bundle_max >= 1, "kinds.bundle_max: must be 1 or more");
  for (const auto& t : s.tenants) need(t.quota_per_s >= 0, "tenants.quota_per_s: must not be negative");
  need(s.relays >= 1, "relays: must be 1 or more");
  need(s.slots >= 1, "slots: must be 1 or more");
  need(s.open_max >= 1, "open_max: must be 1 or more");
  need(s.attempts_max >= 1, "attempts_max: must be 1 or more");
  need(s.tick >= 0, "tick: must not be negative");
  need(s.connect_timeout >= 0, "connect_timeout: must not be negative");
  need(s.connection_idle >= 0, "connection_idle: must not be negative");
  need(s.drain_grace >= 0 && s.must_ask_in >= 0 && s.settle_after_doubt >= 0 && s.answer_slack >= 0,
       "drain_grace, must_ask_in, settle_after_doubt, answer_slack: must not be negative");
  need(s.fall_multiple > 0, "fall_multiple: must be above 0");
  need(s.overload_for >= 0 && s.cold >= 0, "overload_for and cold: must not be negative");
  need(s.cold_from >= 0 && s.cold_from <= 1, "cold_from: must lie between 0 and 1");
}

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  state_ = std::make_unique<State>(settings, seed);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::size_t Dispatcher::kept() const {
  const State& s = *state_;
  return s.endpoints.size() + s.destinations.size() + s.messages.size() + s.keys.size() + s.calls.size() +
         s.resting.size() + s.dirty.size() + s.swept.size();
}

std::vector<TargetMemory> Dispatcher::learned(Time now, std::size_t most) {
  return state_->learned(now, most);
}

void Dispatcher::targets(Time now, std::size_t most, std::vector<TargetMemory>& known) const {
  state_->targets(now, most, known);
}

void Dispatcher::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

}  // namespace cedarplank

#include "workload.hpp"

#include <algorithm>
#include <cstdlib>

namespace heronvane::store::testing {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSanitizerDivisor = 6;
#else
constexpr std::uint64_t kSanitizerDivisor = 1;
#endif

constexpr int kAttemptsMax = 8;

bool never_ran(Outcome o) {
  return o == Outcome::rejected || o == Outcome::connect_failed || o == Outcome::not_sent;
}

}  // namespace

std::uint64_t scaled(std::uint64_t cases) {
  const char* const text = std::getenv("HERONVANE_STORE_CASES");
  const double factor = text == nullptr ? 1.0 : std::max(0.01, std::strtod(text, nullptr));
  return std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(static_cast<double>(cases) * factor) / kSanitizerDivisor);
}

std::uint64_t splitmix64(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

Microseconds Oracle::time_at(OperationCount m) const {
  auto it = std::upper_bound(
      times.begin(), times.end(), m,
      [](OperationCount x, const auto& attempt_history) { return x < attempt_history.first; });
  return it == times.begin() ? 1'000'000 : std::prev(it)->second;
}

Options options(const Setting& setting, const Clocks& clocks, std::string* log, const std::string& boot) {
  Options o;
  o.limit_bytes = setting.limit;
  o.attempts_max = kAttemptsMax;
  o.durability = setting.durability;
  o.remember_window = setting.remember_window;
  o.remembers = [](const Message& m) { return !m.repeat; };
  o.boot = boot;
  o.clocks = [&clocks] { return ClockReading{clocks.boottime, clocks.wall}; };
  if (log != nullptr) o.log = [log](const std::string& line) { *log += line + "\n"; };
  return o;
}

void ManualSyncer::sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) {
  jobs_.push_back({std::move(files), folder, std::move(done)});
}

bool ManualSyncer::run_one() {
  if (jobs_.empty()) return false;
  const Job job = std::move(jobs_.front());
  jobs_.pop_front();
  std::error_code bad;
  for (const FileId file : job.files)
    if (const auto e = disk_.sync(file); e && !bad) bad = e;
  if (job.folder && !bad) bad = disk_.sync_folder();
  job.done(bad);
  return true;
}

// ---- Checks. ----
CheckResult check_store(const Store& store, const Oracle& oracle, OperationCount at, bool lossy) {
  CheckResult result;
  result.held = store.held().size();
  const auto report_mismatch = [&](MessageId number, const std::string& what) {
    if (result.wrong.empty()) result.wrong = "message " + std::to_string(number) + ": " + what;
  };
  MessageId highest_acknowledged = 0;
  const Microseconds now = store.clock().now();
  for (const auto& [number, story] : oracle.messages) {
    if (story.accepted.acted_on_by(at)) highest_acknowledged = number;
    const Held* held = store.find(number);
    if (!story.accepted.added_by(at)) {
      if (held != nullptr) report_mismatch(number, "held, but was never accepted");
      continue;
    }
    if (story.finished.acted_on_by(at)) {
      if (held != nullptr) report_mismatch(number, "held, but had finished");
      if (story.remember && story.remembered_until > now && !store.remembers(story.message.id))
        report_mismatch(number, "its id is not remembered");
      continue;
    }
    if (story.refused <= at && held != nullptr) {
      if (!lossy || !held->doubt) report_mismatch(number, "held, but was refused");
      result.refused_but_held++;
    }
    if (held == nullptr) {
      if (story.accepted.acted_on_by(at) && !story.finished.added_by(at))
        report_mismatch(number, "lost after 202 was sent");
      continue;
    }
    const Message &m = held->message, &w = story.message;
    if (m.id != w.id || m.message_class != w.message_class || m.tenant != w.tenant || m.body != w.body ||
        m.destination != w.destination || m.deadline != w.deadline || m.repeat != w.repeat ||
        m.idempotency_key != w.idempotency_key)
      report_mismatch(number, "its content differs");
    bool risky = false;  // may have run
    for (std::size_t i = 0; i < story.attempts.size(); i++) {
      const auto& attempt_history = story.attempts[i];
      const bool there = i < held->attempts.size();
      if (attempt_history.sent.added_by(at) &&
          !(attempt_history.ended.added_by(at) && never_ran(attempt_history.outcome)))
        risky = true;
      if (!attempt_history.sent.acted_on_by(at)) continue;
      if (!there && !held->doubt) report_mismatch(number, "the attempt of a call that was sent is missing");
      const bool ended_well = attempt_history.ended.added_by(at) && never_ran(attempt_history.outcome);
      if (!ended_well && !held->possibly_executed())
        report_mismatch(number, "a call was sent, but it counts as not executed");
      if (!there || held->doubt) continue;
      const auto& stored_attempt = held->attempts[i];
      if (stored_attempt.sent != attempt_history.at)
        report_mismatch(number, "the time of an attempt differs");
      if (attempt_history.ended.acted_on_by(at) && stored_attempt.outcome != attempt_history.outcome)
        report_mismatch(number, "an outcome is lost");
      if (!attempt_history.ended.added_by(at) && stored_attempt.outcome)
        report_mismatch(number, "an outcome that was never recorded");
    }
    std::size_t sent = 0;
    for (const auto& attempt_history : story.attempts) sent += attempt_history.sent.added_by(at);
    if (held->attempts.size() > sent) report_mismatch(number, "more attempts than were made");
    if (held->doubt && !lossy) report_mismatch(number, "in doubt without a loss of records");
    if (held->doubt && !risky) result.needless_doubts++;
    if (story.given_up.acted_on_by(at) && !held->ending && !held->doubt)
      report_mismatch(number, "its end is lost after its notification was sent");
    if (held->ending && (!story.given_up.added_by(at) || held->ending->again != story.ending.again ||
                         held->ending->deferred != story.ending.deferred))
      report_mismatch(number, "an end that was never recorded");
  }
  for (const auto& [number, held] : store.held())
    if (number < kFirstProbeNumber && oracle.messages.count(number) == 0)
      report_mismatch(number, "held, but unknown to the oracle");
  if (store.next_number() <= highest_acknowledged)
    report_mismatch(highest_acknowledged, "its number would be assigned again");
  for (const auto& [key, values] : oracle.facts) {
    const auto it = store.facts().find(key);
    const std::string is = it == store.facts().end() ? "" : it->second;
    std::vector<std::string> may = {""};
    for (const auto& f : values) {
      if (!f.kept.added_by(at)) continue;
      if (f.kept.acted_on_by(at)) may.clear();
      may.push_back(f.value);
    }
    if (std::find(may.begin(), may.end(), is) == may.end() && result.wrong.empty())
      result.wrong = "fact " + key + " is `" + is + "`, not `" + may.back() + "`";
  }
  if (!lossy && store.recovery().counts.missing + store.recovery().counts.damaged_ranges > 0 &&
      result.wrong.empty())
    result.wrong = "damage reported without a loss";
  return result;
}

// ---- Workload. ----
SimulatedRelay::SimulatedRelay(MemoryDisk& disk, Oracle& oracle, const Setting& setting, std::uint64_t seed)
    : disk_(disk), oracle_(oracle), setting_(setting), random_(seed * 1'000'003), syncer_(disk) {
  start();
}
SimulatedRelay::~SimulatedRelay() { syncer_.forget(); }

void SimulatedRelay::start() {
  if (store_ != nullptr) restarts++;
  syncer_.forget();
  store_.reset();
  store_ = std::make_unique<Store>(disk_, options(setting_, clocks_, &log_), &syncer_);
  // Committed records are found and, with Durability::machine, synced by the start.
  for (auto& action_set : waiting_actions_)
    for (auto& act : action_set.actions) act();
  waiting_actions_.clear();
}

void SimulatedRelay::submit() {
  Message message;
  message.id = "m" + std::to_string(counter_++) + std::string(random_.below(12), 'i');
  message.message_class = "pay-and-order", message.tenant = "t" + std::to_string(random_.below(5));
  message.destination = static_cast<std::int64_t>(random_.below(9));
  message.deadline = store_->clock().now() + 1'000'000;
  message.repeat = random_.chance(50);
  if (counter_ % 2 == 0) message.idempotency_key = "k" + std::string(counter_ % 40, 'e');
  const auto size = large_bodies_ && random_.chance(10) ? random_.below(12'000) : random_.below(400);
  message.body.assign(static_cast<std::size_t>(size), static_cast<char>('a' + counter_ % 26));
  if (!store_->admit(message)) return;
  const MessageId number = store_->next_number();
  store_->accept(number, message);
  MessageHistory& history = oracle_.messages[number];
  history = {};
  history.message = message;
  history.accepted.added = disk_.operations();
  accepted_this_round_.push_back(number);
  uncommitted_actions_.push_back([this, number] {
    auto& story = oracle_.messages.at(number);
    if (story.refused != kNever) return;
    story.accepted.acted = disk_.operations();
    accepted++;
  });
}

void SimulatedRelay::send_attempt(MessageId number) {
  MessageHistory& history = oracle_.messages.at(number);
  const std::size_t attempt = history.attempts.size();
  AttemptHistory attempt_history;
  attempt_history.at = store_->clock().now();
  attempt_history.sent.added = disk_.operations();
  history.attempts.push_back(attempt_history);
  store_->sent(number, attempt_history.at, static_cast<int>(random_.below(3)) - 1);
  uncommitted_actions_.push_back([this, number, attempt] {
    oracle_.messages.at(number).attempts[attempt].sent.acted = disk_.operations();
    calls++;
  });
}

void SimulatedRelay::advance(MessageId number, std::uint64_t percent) {
  MessageHistory& history = oracle_.messages.at(number);
  // The relay takes the next step only after acting on the last one.
  if (history.accepted.acted == kNever && history.refused == kNever) return;
  if (!history.attempts.empty() && history.attempts.back().sent.acted == kNever) return;
  if (history.given_up.added != kNever && history.given_up.acted == kNever) return;
  if (!history.attempts.empty() && history.attempts.back().ended.added != kNever &&
      history.attempts.back().ended.acted == kNever)
    return;
  if (!random_.chance(percent)) return;
  const bool out = !history.attempts.empty() && history.attempts.back().ended.added == kNever;
  const bool served = !history.attempts.empty() && !out && history.attempts.back().outcome == Outcome::served;
  if (history.given_up.acted != kNever || served) {
    const Microseconds until =
        std::max(history.message.deadline, store_->clock().now()) + setting_.remember_window;
    store_->finish(number);
    history.finished.added = disk_.operations();
    history.remember = !history.message.repeat, history.remembered_until = until;
    uncommitted_actions_.push_back([this, number] {
      oracle_.messages.at(number).finished.acted = disk_.operations();
      ends++;
    });
  } else if (out && random_.chance(finishing_ ? 100 : 70)) {
    auto& attempt_history = history.attempts.back();
    attempt_history.outcome = random_.chance(50) ? Outcome::served : static_cast<Outcome>(random_.below(8));
    attempt_history.ended.added = disk_.operations();
    const std::size_t attempt = history.attempts.size() - 1;
    store_->outcome(number, static_cast<int>(attempt), attempt_history.outcome);
    uncommitted_actions_.push_back([this, number, attempt] {
      oracle_.messages.at(number).attempts[attempt].ended.acted = disk_.operations();
    });
  } else if (finishing_ || history.attempts.size() >= kAttemptsMax || random_.chance(20)) {
    history.ending = {random_.chance(50), static_cast<Microseconds>(random_.below(1'000'000))};
    history.given_up.added = disk_.operations();
    store_->give_up(number, history.ending);
    uncommitted_actions_.push_back(
        [this, number] { oracle_.messages.at(number).given_up.acted = disk_.operations(); });
  } else if (!out) {
    send_attempt(number);
  }
}

// Performs the actions whose records are durable.
void SimulatedRelay::act() {
  while (!waiting_actions_.empty() && waiting_actions_.front().written <= store_->durable()) {
    const auto action_set = std::move(waiting_actions_.front());
    waiting_actions_.pop_front();
    for (const auto& a : action_set.actions) a();
  }
}

void SimulatedRelay::commit() {
  if (!store_->commit()) {
    failed_commits++;
    // The submitted messages are refused; everything else waits for a later commit.
    for (const MessageId number : accepted_this_round_) {
      MessageHistory& history = oracle_.messages.at(number);
      history.refused = disk_.operations();
      store_->finish(number, false);
      history.finished.added = disk_.operations();
      uncommitted_actions_.push_back(
          [this, number] { oracle_.messages.at(number).finished.acted = disk_.operations(); });
      refused++;
    }
    accepted_this_round_.clear();
    return;
  }
  accepted_this_round_.clear();
  if (!uncommitted_actions_.empty())
    waiting_actions_.push_back({store_->written(), std::exchange(uncommitted_actions_, {})});
  act();
}

bool SimulatedRelay::compact(int most) {
  for (int i = 0; i < most && store_->wants_compaction(); i++) {
    steps++;
    const auto step = store_->compact();
    if (setting_.durability == Durability::machine && random_.chance(60)) syncer_.run_one();
    act();
    if (step == Store::Step::blocked) return false;
    if (step == Store::Step::idle) return true;
  }
  return true;
}

void SimulatedRelay::round() {
  clocks_.pass(20'000);
  oracle_.times.emplace_back(disk_.operations(), clocks_.boottime);
  if (!finishing_)
    for (auto n = random_.below(4); n > 0; n--) submit();
  std::vector<MessageId> numbers;
  for (const auto& [number, held] : store_->held()) numbers.push_back(number);
  for (const MessageId number : numbers) advance(number, finishing_ ? 100 : 35);
  if (!finishing_ && random_.chance(15)) {
    const std::string key = "f" + std::to_string(random_.below(6));
    const std::string value = random_.chance(70) ? "v" + std::to_string(counter_++) : "";
    if (store_->facts().count(key) > 0 || !value.empty()) {
      if (store_->set_fact(key, value)) {
        auto& values = oracle_.facts[key];
        const std::size_t i = values.size();
        values.push_back({value, {disk_.operations(), kNever}});
        uncommitted_actions_.push_back(
            [this, key, i] { oracle_.facts.at(key)[i].kept.acted = disk_.operations(); });
      }
    }
  }
  commit();
  compact(static_cast<int>(random_.below(4)));
  if (setting_.durability == Durability::machine) {
    if (random_.chance(50)) syncer_.run_one();
    act();
  }
}

void SimulatedRelay::finish_all() {
  finishing_ = true;
  round();
  finishing_ = false;
}

}  // namespace heronvane::store::testing

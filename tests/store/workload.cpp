#include "workload.hpp"

#include <algorithm>
#include <cstdlib>

namespace heronvane::store::testing {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kLess = 6;
#else
constexpr std::uint64_t kLess = 1;
#endif

constexpr int kAttemptsMax = 8;

bool never_ran(Outcome o) {
  return o == Outcome::rejected || o == Outcome::connect_failed || o == Outcome::not_sent;
}

}  // namespace

std::uint64_t scaled(std::uint64_t cases) {
  const char* const text = std::getenv("HERONVANE_STORE_CASES");
  const double factor = text == nullptr ? 1.0 : std::max(0.01, std::strtod(text, nullptr));
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(static_cast<double>(cases) * factor) / kLess);
}

std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

Microseconds Oracle::time_at(Moment m) const {
  auto it =
      std::upper_bound(times.begin(), times.end(), m, [](Moment x, const auto& t) { return x < t.first; });
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

void LateSyncer::sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) {
  jobs_.push_back({std::move(files), folder, std::move(done)});
}

bool LateSyncer::run_one() {
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

// ---- What must be there. ----
Verdict judge(const Store& s, const Oracle& oracle, Moment at, bool lossy) {
  Verdict v;
  v.held = s.held().size();
  const auto wrong = [&](MessageId number, const std::string& what) {
    if (v.wrong.empty()) v.wrong = "message " + std::to_string(number) + ": " + what;
  };
  MessageId told = 0;
  const Microseconds now = s.clock().now();
  for (const auto& [number, story] : oracle.messages) {
    if (story.taken.acted_by(at)) told = number;
    const Held* h = s.find(number);
    if (!story.taken.added_by(at)) {
      if (h != nullptr) wrong(number, "held, and was never taken");
      continue;
    }
    if (story.over.acted_by(at)) {
      if (h != nullptr) wrong(number, "is over, and came back");
      if (story.remember && story.remembered_until > now && !s.remembers(story.message.id))
        wrong(number, "its id is not remembered");
      continue;
    }
    if (story.refused <= at && h != nullptr) {
      if (!lossy || !h->doubt) wrong(number, "was refused, and is held");
      v.came_back++;
    }
    if (h == nullptr) {
      if (story.taken.acted_by(at) && !story.over.added_by(at)) wrong(number, "202 was told, and it is lost");
      continue;
    }
    const Message &m = h->message, &w = story.message;
    if (m.id != w.id || m.message_class != w.message_class || m.tenant != w.tenant || m.body != w.body ||
        m.destination != w.destination || m.deadline != w.deadline || m.repeat != w.repeat ||
        m.idempotency_key != w.idempotency_key)
      wrong(number, "is another message now");
    bool risky = false;  // may have run
    for (std::size_t i = 0; i < story.tries.size(); i++) {
      const auto& t = story.tries[i];
      const bool there = i < h->attempts.size();
      if (t.sent.added_by(at) && !(t.ended.added_by(at) && never_ran(t.outcome))) risky = true;
      if (!t.sent.acted_by(at)) continue;
      if (!there && !h->doubt) wrong(number, "a call is out, and its attempt is missing");
      const bool ended_well = t.ended.added_by(at) && never_ran(t.outcome);
      if (!ended_well && !h->possibly_executed())
        wrong(number, "a call is out, and it is said not to have run");
      if (!there || h->doubt) continue;
      const auto& a = h->attempts[i];
      if (a.sent != t.at) wrong(number, "the time of an attempt differs");
      if (t.ended.acted_by(at) && a.outcome != t.outcome) wrong(number, "an outcome is lost");
      if (!t.ended.added_by(at) && a.outcome) wrong(number, "an outcome of nothing");
    }
    std::size_t sent = 0;
    for (const auto& t : story.tries) sent += t.sent.added_by(at);
    if (h->attempts.size() > sent) wrong(number, "more attempts than were made");
    if (h->doubt && !lossy) wrong(number, "is in doubt without a loss");
    if (h->doubt && !risky) v.needless++;
    if (story.given_up.acted_by(at) && !h->ending && !h->doubt)
      wrong(number, "its notice was told, and its end is lost");
    if (h->ending && (!story.given_up.added_by(at) || h->ending->again != story.ending.again ||
                      h->ending->deferred != story.ending.deferred))
      wrong(number, "an end that was not decided");
  }
  for (const auto& [number, h] : s.held())
    if (number < kProbes && oracle.messages.count(number) == 0) wrong(number, "held, and nobody knows it");
  if (s.next_number() <= told) wrong(told, "its number would be given again");
  for (const auto& [key, values] : oracle.facts) {
    const auto it = s.facts().find(key);
    const std::string is = it == s.facts().end() ? "" : it->second;
    std::vector<std::string> may = {""};
    for (const auto& f : values) {
      if (!f.kept.added_by(at)) continue;
      if (f.kept.acted_by(at)) may.clear();
      may.push_back(f.value);
    }
    if (std::find(may.begin(), may.end(), is) == may.end() && v.wrong.empty())
      v.wrong = "fact " + key + " is `" + is + "`, not `" + may.back() + "`";
  }
  if (!lossy && s.recovery().counts.missing + s.recovery().counts.damaged_ranges > 0 && v.wrong.empty())
    v.wrong = "damage without a loss";
  return v;
}

// ---- A life. ----
Life::Life(MemoryDisk& disk, Oracle& oracle, const Setting& setting, std::uint64_t seed)
    : disk_(disk), oracle_(oracle), setting_(setting), dice_(seed * 1'000'003), syncer_(disk) {
  start();
}
Life::~Life() { syncer_.forget(); }

void Life::start() {
  if (store_ != nullptr) restarts++;
  syncer_.forget();
  store_.reset();
  store_ = std::make_unique<Store>(disk_, options(setting_, clocks_, &log_), &syncer_);
  // What was committed is found, and in machine mode synced, by the start.
  for (auto& w : waiting_)
    for (auto& act : w.acts) act();
  waiting_.clear();
}

void Life::hand_in() {
  Message m;
  m.id = "m" + std::to_string(counter_++) + std::string(dice_.below(12), 'i');
  m.message_class = "pay-and-order", m.tenant = "t" + std::to_string(dice_.below(5));
  m.destination = static_cast<std::int64_t>(dice_.below(9));
  m.deadline = store_->clock().now() + 1'000'000;
  m.repeat = dice_.chance(50);
  if (counter_ % 2 == 0) m.idempotency_key = "k" + std::string(counter_ % 40, 'e');
  const auto size = big_ && dice_.chance(10) ? dice_.below(12'000) : dice_.below(400);
  m.body.assign(static_cast<std::size_t>(size), static_cast<char>('a' + counter_ % 26));
  if (!store_->admit(m)) return;
  const MessageId number = store_->next_number();
  store_->accept(number, m);
  Story& s = oracle_.messages[number];
  s = {};
  s.message = m;
  s.taken.added = disk_.operations();
  fresh_.push_back(number);
  added_.push_back([this, number] {
    auto& story = oracle_.messages.at(number);
    if (story.refused != kNever) return;
    story.taken.acted = disk_.operations();
    accepted++;
  });
}

void Life::call_out(MessageId number) {
  Story& s = oracle_.messages.at(number);
  const std::size_t attempt = s.tries.size();
  TryStory t;
  t.at = store_->clock().now();
  t.sent.added = disk_.operations();
  s.tries.push_back(t);
  store_->sent(number, t.at, static_cast<int>(dice_.below(3)) - 1);
  added_.push_back([this, number, attempt] {
    oracle_.messages.at(number).tries[attempt].sent.acted = disk_.operations();
    calls++;
  });
}

void Life::advance(MessageId number, std::uint64_t percent) {
  Story& s = oracle_.messages.at(number);
  // The relay does the next thing only once it has acted on the last.
  if (s.taken.acted == kNever && s.refused == kNever) return;
  if (!s.tries.empty() && s.tries.back().sent.acted == kNever) return;
  if (s.given_up.added != kNever && s.given_up.acted == kNever) return;
  if (!s.tries.empty() && s.tries.back().ended.added != kNever && s.tries.back().ended.acted == kNever)
    return;
  if (!dice_.chance(percent)) return;
  const bool out = !s.tries.empty() && s.tries.back().ended.added == kNever;
  const bool served = !s.tries.empty() && !out && s.tries.back().outcome == Outcome::served;
  if (s.given_up.acted != kNever || served) {
    const Microseconds until = std::max(s.message.deadline, store_->clock().now()) + setting_.remember_window;
    store_->finish(number);
    s.over.added = disk_.operations();
    s.remember = !s.message.repeat, s.remembered_until = until;
    added_.push_back([this, number] {
      oracle_.messages.at(number).over.acted = disk_.operations();
      ends++;
    });
  } else if (out && dice_.chance(closing_ ? 100 : 70)) {
    auto& t = s.tries.back();
    t.outcome = dice_.chance(50) ? Outcome::served : static_cast<Outcome>(dice_.below(8));
    t.ended.added = disk_.operations();
    const std::size_t attempt = s.tries.size() - 1;
    store_->outcome(number, static_cast<int>(attempt), t.outcome);
    added_.push_back([this, number, attempt] {
      oracle_.messages.at(number).tries[attempt].ended.acted = disk_.operations();
    });
  } else if (closing_ || s.tries.size() >= kAttemptsMax || dice_.chance(20)) {
    s.ending = {dice_.chance(50), static_cast<Microseconds>(dice_.below(1'000'000))};
    s.given_up.added = disk_.operations();
    store_->give_up(number, s.ending);
    added_.push_back([this, number] { oracle_.messages.at(number).given_up.acted = disk_.operations(); });
  } else if (!out) {
    call_out(number);
  }
}

// Acts on what outlasts what it must.
void Life::act() {
  while (!waiting_.empty() && waiting_.front().written <= store_->durable()) {
    const auto w = std::move(waiting_.front());
    waiting_.pop_front();
    for (const auto& a : w.acts) a();
  }
}

void Life::commit() {
  if (!store_->commit()) {
    commits_failed++;
    // What was handed in is refused; all else waits for a later commit.
    for (const MessageId number : fresh_) {
      Story& s = oracle_.messages.at(number);
      s.refused = disk_.operations();
      store_->finish(number, false);
      s.over.added = disk_.operations();
      added_.push_back([this, number] { oracle_.messages.at(number).over.acted = disk_.operations(); });
      refused++;
    }
    fresh_.clear();
    return;
  }
  fresh_.clear();
  if (!added_.empty()) waiting_.push_back({store_->written(), std::exchange(added_, {})});
  act();
}

bool Life::compact(int most) {
  for (int i = 0; i < most && store_->wants_compaction(); i++) {
    steps++;
    const auto step = store_->compact();
    if (setting_.durability == Durability::machine && dice_.chance(60)) syncer_.run_one();
    act();
    if (step == Store::Step::blocked) return false;
    if (step == Store::Step::idle) return true;
  }
  return true;
}

void Life::round() {
  clocks_.pass(20'000);
  oracle_.times.emplace_back(disk_.operations(), clocks_.boottime);
  if (!closing_)
    for (auto n = dice_.below(4); n > 0; n--) hand_in();
  std::vector<MessageId> numbers;
  for (const auto& [number, h] : store_->held()) numbers.push_back(number);
  for (const MessageId number : numbers) advance(number, closing_ ? 100 : 35);
  if (!closing_ && dice_.chance(15)) {
    const std::string key = "f" + std::to_string(dice_.below(6));
    const std::string value = dice_.chance(70) ? "v" + std::to_string(counter_++) : "";
    if (store_->facts().count(key) > 0 || !value.empty()) {
      if (store_->set_fact(key, value)) {
        auto& values = oracle_.facts[key];
        const std::size_t i = values.size();
        values.push_back({value, {disk_.operations(), kNever}});
        added_.push_back([this, key, i] { oracle_.facts.at(key)[i].kept.acted = disk_.operations(); });
      }
    }
  }
  commit();
  compact(static_cast<int>(dice_.below(4)));
  if (setting_.durability == Durability::machine) {
    if (dice_.chance(50)) syncer_.run_one();
    act();
  }
}

void Life::wind_up() {
  closing_ = true;
  round();
  closing_ = false;
}

}  // namespace heronvane::store::testing

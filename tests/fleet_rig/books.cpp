#include "books.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace heronvane::rig {

using standins::Heard;

namespace {

constexpr Ms kSlack = 1'000;                  // from the deadline to its notice at the platform
constexpr Ms kOwedIn = 5'000;                 // from when a relay that was away runs again
constexpr std::size_t kMostCharges = 20'000;  // bytes

}  // namespace

Ms now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Tally::text() const {
  std::ostringstream out;
  out << "messages=" << messages << " taken=" << taken << " refused=" << refused << " silence=" << silence
      << " failed=" << failed << " calls=" << calls << " delivered=" << delivered << " noticed=" << noticed
      << " again=" << again << " second-ends=" << second_ends << " crossed=" << crossed
      << " repeated=" << repeated << " late=" << late << " late-unkilled=" << late_unkilled
      << " overdue=" << overdue << " owed-most-ms=" << owed_most << " lost=" << lost
      << " unsafe-twice=" << unsafe_twice << " refused-yet-run=" << refused_yet_run << " strange=" << strange;
  return out.str();
}

void Books::sent(const std::string& id, bool unsafe, Ms deadline) {
  const std::lock_guard lock(mutex_);
  auto& m = messages_[id];
  m.unsafe = unsafe, m.deadline = deadline;
}

void Books::heard(const std::string& id, std::size_t relay, Heard heard) {
  const std::lock_guard lock(mutex_);
  auto& m = messages_[id];
  m.relay = relay;
  switch (heard) {
    case Heard::taken:
      m.said = Said::taken;
      break;
    case Heard::refused:
    case Heard::no_relay:
      m.said = Said::refused;
      break;
    case Heard::silence:
      m.said = Said::silence;
      break;
    case Heard::failed:
      m.said = Said::failed;
      break;
  }
}

Books::Message* Books::find(const std::string& id, const char* what) {
  const auto it = messages_.find(id);
  if (it != messages_.end()) return &it->second;
  tally_.strange++;
  charge(std::string(what) + " of an id of nobody", id);
  return nullptr;
}

void Books::arrived(const std::string& id, bool refused) {
  const std::lock_guard lock(mutex_);
  auto* const m = find(id, "a call");
  if (m == nullptr) return;
  tally_.calls++, m->calls++;
  if (m->unsafe && m->unproven > 0) tally_.unsafe_twice++, charge("unsafe twice", id);
  m->unproven += !refused;
}

void Books::answered(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto it = messages_.find(id);
  if (it == messages_.end()) return;
  if (it->second.delivered++ == 0) it->second.delivered_at = now_ms();
}

void Books::notices(const std::vector<Notice>& all) {
  const std::lock_guard lock(mutex_);
  for (auto& [id, m] : messages_) m.notice = nullptr;
  notices_ = all;
  for (const auto& n : notices_)
    if (const auto it = messages_.find(n.id); it != messages_.end()) it->second.notice = &n;
}

std::uint64_t Books::open() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint64_t>(std::count_if(messages_.begin(), messages_.end(), [](const auto& e) {
    const auto& m = e.second;
    return m.said == Said::taken && m.delivered == 0 && m.notice == nullptr;
  }));
}

Tally Books::judge(const std::function<Ms(std::size_t, Ms)>& up) {
  const std::lock_guard lock(mutex_);
  tally_.messages = messages_.size();
  for (const auto& n : notices_)
    if (messages_.count(n.id) == 0) tally_.strange++, charge("a notice of an id of nobody", n.id);
  for (const auto& [id, m] : messages_) {
    tally_.taken += m.said == Said::taken, tally_.refused += m.said == Said::refused;
    tally_.silence += m.said == Said::silence, tally_.failed += m.said == Said::failed;
    if (m.said == Said::refused && m.calls > 0) tally_.refused_yet_run++, charge("refused, yet run", id);
    if (m.notice != nullptr && m.notice->deferred && m.unsafe && m.unproven > 0)
      tally_.refused_yet_run++, charge("deferred, yet run", id);
    const Ms last = std::max(m.delivered_at, m.notice != nullptr ? m.notice->at : 0);
    if (m.delivered > 0 && m.notice != nullptr)
      up(m.relay, last) > 0 ? tally_.second_ends++ : tally_.crossed++;
    if (m.notice != nullptr) tally_.again += static_cast<std::uint64_t>(m.notice->repeats);
    if (m.delivered > 1) tally_.repeated++;
    if (m.said != Said::taken) continue;
    if (m.delivered == 0 && m.notice == nullptr) {
      tally_.lost++, charge("lost", id);
      continue;
    }
    m.delivered > 0 ? tally_.delivered++ : tally_.noticed++;
    const Ms first = m.delivered == 0      ? m.notice->at
                     : m.notice == nullptr ? m.delivered_at
                                           : std::min(m.delivered_at, m.notice->at);
    if (first <= m.deadline + kSlack) continue;
    const Ms back = up(m.relay, first);
    const Ms owed = first - std::max(back, m.deadline);
    back < m.deadline - kSlack ? tally_.late_unkilled++ : tally_.late++;
    tally_.owed_most = std::max(tally_.owed_most, owed);
    if (owed <= kOwedIn) continue;
    tally_.overdue++;
    charge("late by " + std::to_string(first - m.deadline) + " ms, its relay back since " +
               std::to_string(back > 0 ? first - back : -1) + " ms",
           id);
  }
  return tally_;
}

void Books::charge(const std::string& what, const std::string& id) {
  if (charges_.size() > kMostCharges) return;
  charges_ += what + ": " + id;
  if (const auto it = messages_.find(id); it != messages_.end()) {
    const auto& m = it->second;
    const char* const said[] = {"nothing", "taken", "refused", "silence", "failed"};
    charges_ += std::string(m.unsafe ? ", unsafe" : ", safe") + ", its client heard " +
                said[static_cast<int>(m.said)] + " of n" + std::to_string(m.relay) + ", calls " +
                std::to_string(m.calls) + " of which " + std::to_string(m.unproven) +
                " may have run, delivered " + std::to_string(m.delivered) + ", " +
                (m.notice == nullptr  ? "no notice"
                 : m.notice->deferred ? "deferred"
                                      : "undeliverable") +
                ", deadline " + std::to_string(m.deadline);
    if (m.delivered_at > 0) charges_ += ", delivered at " + std::to_string(m.delivered_at);
    if (m.notice != nullptr) charges_ += ", notice at " + std::to_string(m.notice->at);
  }
  charges_ += "\n";
}

std::string Books::charges() const {
  const std::lock_guard lock(mutex_);
  return charges_;
}

}  // namespace heronvane::rig

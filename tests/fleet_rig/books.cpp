#include "books.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace heronvane::rig {

using standins::TryResult;

namespace {

constexpr Ms kNoticeSlack = 1'000;  // allowed from the deadline to the notice at the platform
constexpr Ms kMaxOwed = 5'000;      // allowed from the return of a relay that was down
constexpr std::size_t kMaxReportBytes = 20'000;

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

void Ledger::sent(const std::string& id, bool unsafe, Ms deadline) {
  const std::lock_guard lock(mutex_);
  auto& message = messages_[id];
  message.unsafe = unsafe, message.deadline = deadline;
}

void Ledger::client_heard(const std::string& id, std::size_t relay, TryResult result) {
  const std::lock_guard lock(mutex_);
  auto& message = messages_[id];
  message.relay = relay;
  switch (result) {
    case TryResult::taken:
      message.client_result = ClientResult::taken;
      break;
    case TryResult::refused:
    case TryResult::no_relay:
      message.client_result = ClientResult::refused;
      break;
    case TryResult::silence:
      message.client_result = ClientResult::silence;
      break;
    case TryResult::failed:
      message.client_result = ClientResult::failed;
      break;
  }
}

Ledger::Message* Ledger::find(const std::string& id, const char* event) {
  const auto it = messages_.find(id);
  if (it != messages_.end()) return &it->second;
  tally_.strange++;
  add_to_report(std::string(event) + " with an unknown id", id);
  return nullptr;
}

void Ledger::call_arrived(const std::string& id, bool refused) {
  const std::lock_guard lock(mutex_);
  auto* const message = find(id, "a call");
  if (message == nullptr) return;
  tally_.calls++, message->calls++;
  if (message->unsafe && message->may_have_run > 0)
    tally_.unsafe_twice++, add_to_report("an unsafe message called twice", id);
  message->may_have_run += !refused;
}

void Ledger::call_answered(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto it = messages_.find(id);
  if (it == messages_.end()) return;
  if (it->second.delivered++ == 0) it->second.delivered_at = now_ms();
}

void Ledger::set_notices(const std::vector<Notice>& all) {
  const std::lock_guard lock(mutex_);
  for (auto& [id, message] : messages_) message.notice = nullptr;
  notices_ = all;
  for (const auto& notice : notices_)
    if (const auto it = messages_.find(notice.id); it != messages_.end()) it->second.notice = &notice;
}

std::uint64_t Ledger::open_count() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint64_t>(std::count_if(messages_.begin(), messages_.end(), [](const auto& entry) {
    const auto& message = entry.second;
    return message.client_result == ClientResult::taken && message.delivered == 0 &&
           message.notice == nullptr;
  }));
}

Tally Ledger::evaluate(const std::function<Ms(std::size_t, Ms)>& last_return) {
  const std::lock_guard lock(mutex_);
  tally_.messages = messages_.size();
  for (const auto& notice : notices_)
    if (messages_.count(notice.id) == 0)
      tally_.strange++, add_to_report("a notice with an unknown id", notice.id);
  for (const auto& [id, message] : messages_) {
    tally_.taken += message.client_result == ClientResult::taken,
        tally_.refused += message.client_result == ClientResult::refused;
    tally_.silence += message.client_result == ClientResult::silence,
        tally_.failed += message.client_result == ClientResult::failed;
    if (message.client_result == ClientResult::refused && message.calls > 0)
      tally_.refused_yet_run++, add_to_report("refused, but called", id);
    if (message.notice != nullptr && message.notice->deferred && message.unsafe && message.may_have_run > 0)
      tally_.refused_yet_run++, add_to_report("deferred, but may have run", id);
    const Ms last_end = std::max(message.delivered_at, message.notice != nullptr ? message.notice->at : 0);
    if (message.delivered > 0 && message.notice != nullptr)
      last_return(message.relay, last_end) > 0 ? tally_.second_ends++ : tally_.crossed++;
    if (message.notice != nullptr) tally_.again += static_cast<std::uint64_t>(message.notice->repeats);
    if (message.delivered > 1) tally_.repeated++;
    if (message.client_result != ClientResult::taken) continue;
    if (message.delivered == 0 && message.notice == nullptr) {
      tally_.lost++, add_to_report("lost", id);
      continue;
    }
    message.delivered > 0 ? tally_.delivered++ : tally_.noticed++;
    const Ms first_end = message.delivered == 0      ? message.notice->at
                         : message.notice == nullptr ? message.delivered_at
                                                     : std::min(message.delivered_at, message.notice->at);
    if (first_end <= message.deadline + kNoticeSlack) continue;
    const Ms returned = last_return(message.relay, first_end);
    const Ms overdue_ms = first_end - std::max(returned, message.deadline);
    returned < message.deadline - kNoticeSlack ? tally_.late_unkilled++ : tally_.late++;
    tally_.owed_most = std::max(tally_.owed_most, overdue_ms);
    if (overdue_ms <= kMaxOwed) continue;
    tally_.overdue++;
    add_to_report("late by " + std::to_string(first_end - message.deadline) + " ms, its relay was back for " +
                      std::to_string(returned > 0 ? first_end - returned : -1) + " ms",
                  id);
  }
  return tally_;
}

void Ledger::add_to_report(const std::string& event, const std::string& id) {
  if (report_.size() > kMaxReportBytes) return;
  report_ += event + ": " + id;
  if (const auto it = messages_.find(id); it != messages_.end()) {
    const auto& message = it->second;
    const char* const client_result[] = {"nothing", "taken", "refused", "silence", "failed"};
    report_ += std::string(message.unsafe ? ", unsafe" : ", safe") + ", client result " +
               client_result[static_cast<int>(message.client_result)] + " from n" +
               std::to_string(message.relay) + ", calls " + std::to_string(message.calls) + " of which " +
               std::to_string(message.may_have_run) + " may have run, delivered " +
               std::to_string(message.delivered) + ", " +
               (message.notice == nullptr  ? "no notice"
                : message.notice->deferred ? "deferred"
                                           : "undeliverable") +
               ", deadline " + std::to_string(message.deadline);
    if (message.delivered_at > 0) report_ += ", delivered at " + std::to_string(message.delivered_at);
    if (message.notice != nullptr) report_ += ", notice at " + std::to_string(message.notice->at);
  }
  report_ += "\n";
}

std::string Ledger::report() const {
  const std::lock_guard lock(mutex_);
  return report_;
}

}  // namespace heronvane::rig

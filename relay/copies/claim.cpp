#include "claim.hpp"

#include <algorithm>
#include <sstream>

#include "defects.hpp"

namespace heronvane::copies {

Claim::Claim(Member self, Purpose purpose, Epoch epoch, Config config, LogId own_log, Position last,
             Epoch last_epoch, ClaimOptions options)
    : self_(std::move(self)),
      purpose_(purpose),
      epoch_(std::move(epoch)),
      config_(std::move(config)),
      own_log_(std::move(own_log)),
      last_(last),
      last_epoch_(std::move(last_epoch)),
      options_(options) {}

std::vector<Member> Claim::members() const {
  std::vector<Member> all = config_.replicas;
  for (const auto& member : config_.next)
    if (std::find(all.begin(), all.end(), member) == all.end()) all.push_back(member);
  return all;
}

std::vector<Envelope> Claim::requests() const {
  std::vector<Envelope> requests;
  switch (state_) {
    case State::awaiting_promises:
      for (const auto& member : members())
        if (promises_.count(member) == 0) requests.push_back({member, protocol::Claim{epoch_}});
      break;
    case State::reading:
      requests.push_back({source_, protocol::Read{epoch_}});
      break;
    case State::moving:
      for (const auto& member : members())
        if (accepted_.count(member) == 0) requests.push_back({member, protocol::Move{epoch_, into_}});
      break;
    case State::importing:
    case State::won:
    case State::moved:
    case State::preempted:
      break;
  }
  return requests;
}

void Claim::handle(const Member& from, const ProtocolMessage& message) {
  if (state_ == State::won || state_ == State::moved || state_ == State::preempted) return;
  if (const auto* const refused = std::get_if<protocol::Refused>(&message)) {
    if (refused->promised <= epoch_) return;
    state_ = State::preempted;
    preempted_by_ = refused->promised;
  } else if (const auto* const promised = std::get_if<protocol::Promised>(&message)) {
    if (promised->epoch == epoch_ && state_ == State::awaiting_promises) handle_promise(from, *promised);
  } else if (const auto* const read = std::get_if<protocol::State>(&message)) {
    if (read->epoch != epoch_ || state_ != State::reading || from != source_) return;
    last_ = read->last, last_epoch_ = read->last_epoch;
    state_was_read_ = true;
    state_ = State::importing;
  } else if (const auto* const accepted = std::get_if<protocol::Accepted>(&message)) {
    if (accepted->epoch != epoch_ || state_ != State::moving) return;
    accepted_.insert(from);
    if (enough_claims(config_, accepted_, options_.acks))
      state_ = into_ == own_log_ ? State::won : State::moved;
  }
}

void Claim::handle_promise(const Member& from, const protocol::Promised& promise) {
  promises_[from] = promise;
  // The replica may know a later config. Its quorum then counts, and its replicas are asked too.
  if (promise.config.version > config_.version && !HERONVANE_COPIES_DEFECT("later config ignored"))
    config_ = promise.config;
  // A member that is no longer a replica may have kept what was abandoned since, such as a move.
  const auto current_replicas = members();
  std::erase_if(promises_, [&](const auto& entry) {
    return std::find(current_replicas.begin(), current_replicas.end(), entry.first) == current_replicas.end();
  });
  std::set<Member> promised_by;
  for (const auto& [member, other] : promises_) promised_by.insert(member);
  if (!enough_claims(config_, promised_by, options_.acks) &&
      !HERONVANE_COPIES_DEFECT("one promise is enough"))
    return;

  // The claim must use the longest log of the latest epoch.
  const protocol::Promised *longest = nullptr, *moved = nullptr;
  for (const auto& [member, other] : promises_) {
    const auto key = [](const protocol::Promised& candidate) {
      return std::make_pair(candidate.last_epoch, candidate.last);
    };
    const bool is_longer = longest != nullptr && key(*longest) < key(other);
    if (longest == nullptr || is_longer != HERONVANE_COPIES_DEFECT("shortest log read"))
      longest = &other, source_ = member;
    if (other.moved && !HERONVANE_COPIES_DEFECT("move ignored") &&
        (moved == nullptr || moved->moved->epoch < other.moved->epoch))
      moved = &other;
  }
  // A move that was or may have been decided is completed first, unless an entry was written in a later
  // epoch: that epoch's claim found that the move had not been decided.
  if (moved != nullptr &&
      (longest->last_epoch < moved->moved->epoch || HERONVANE_COPIES_DEFECT("outdated move carried out"))) {
    into_ = moved->moved->into;
    state_ = State::moving;
    return;
  }
  // The leader's own disk may have more: entries that no replica acknowledged, which it may keep.
  if (purpose_ == Purpose::resume &&
      std::make_pair(last_epoch_, last_) >= std::make_pair(longest->last_epoch, longest->last)) {
    state_ = State::won;
    return;
  }
  // Reads the complete state, since an older disk may differ before its end.
  state_ = State::reading;
}

std::string Claim::describe() const {
  std::ostringstream text;
  text << epoch_ << " " << config_ << " state " << static_cast<int>(state_) << " has " << last_ << " of "
       << last_epoch_ << " from " << source_ << " into " << into_ << (state_was_read_ ? " imports" : "");
  for (const auto& [member, promise] : promises_) text << " | " << member << " " << ProtocolMessage(promise);
  for (const auto& member : accepted_) text << " & " << member;
  return text.str();
}

void Claim::state_imported() {
  if (state_ != State::importing) return;
  if (purpose_ == Purpose::resume) {
    state_ = State::won;
    return;
  }
  into_ = own_log_;
  state_ = State::moving;
}

}  // namespace heronvane::copies

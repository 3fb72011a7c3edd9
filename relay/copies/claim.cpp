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
  std::vector<Member> all = config_.holders;
  for (const auto& m : config_.next)
    if (std::find(all.begin(), all.end(), m) == all.end()) all.push_back(m);
  return all;
}

std::vector<Letter> Claim::words() const {
  std::vector<Letter> out;
  switch (state_) {
    case State::asking:
      for (const auto& m : members())
        if (promises_.count(m) == 0) out.push_back({m, say::Claim{epoch_}});
      break;
    case State::reading:
      out.push_back({source_, say::Read{epoch_}});
      break;
    case State::moving:
      for (const auto& m : members())
        if (accepted_.count(m) == 0) out.push_back({m, say::Move{epoch_, into_}});
      break;
    case State::importing:
    case State::won:
    case State::moved:
    case State::beaten:
      break;
  }
  return out;
}

void Claim::hear(const Member& from, const Saying& saying) {
  if (state_ == State::won || state_ == State::moved || state_ == State::beaten) return;
  if (const auto* const r = std::get_if<say::Refused>(&saying)) {
    if (r->promised <= epoch_) return;
    state_ = State::beaten;
    beaten_by_ = r->promised;
  } else if (const auto* const p = std::get_if<say::Promised>(&saying)) {
    if (p->epoch == epoch_ && state_ == State::asking) promised(from, *p);
  } else if (const auto* const read = std::get_if<say::State>(&saying)) {
    if (read->epoch != epoch_ || state_ != State::reading || from != source_) return;
    last_ = read->last, last_epoch_ = read->last_epoch;
    imports_ = true;
    state_ = State::importing;
  } else if (const auto* const a = std::get_if<say::Accepted>(&saying)) {
    if (a->epoch != epoch_ || state_ != State::moving) return;
    accepted_.insert(from);
    if (enough_claims(config_, accepted_, options_.acks))
      state_ = into_ == own_log_ ? State::won : State::moved;
  }
}

void Claim::promised(const Member& from, const say::Promised& p) {
  promises_[from] = p;
  // A later set of holders may be known there: then its quorum counts, and more are asked.
  if (p.config.version > config_.version && !HERONVANE_COPIES_DEFECT("later config ignored"))
    config_ = p.config;
  // One that holds the log no more may have kept what was given up since, a move among it.
  const auto holding = members();
  std::erase_if(promises_, [&](const auto& one) {
    return std::find(holding.begin(), holding.end(), one.first) == holding.end();
  });
  std::set<Member> have;
  for (const auto& [m, promise] : promises_) have.insert(m);
  if (!enough_claims(config_, have, options_.acks) && !HERONVANE_COPIES_DEFECT("one promise is enough"))
    return;

  // The log as a claim must take it: of the latest epoch, the longest.
  const say::Promised *most = nullptr, *moved = nullptr;
  for (const auto& [m, promise] : promises_) {
    const auto key = [](const say::Promised& x) { return std::make_pair(x.last_epoch, x.last); };
    const bool more = most != nullptr && key(*most) < key(promise);
    if (most == nullptr || more != HERONVANE_COPIES_DEFECT("shortest log read")) most = &promise, source_ = m;
    if (promise.moved && !HERONVANE_COPIES_DEFECT("move ignored") &&
        (moved == nullptr || moved->moved->epoch < promise.moved->epoch))
      moved = &promise;
  }
  // Where it was moved, or may have been: that is carried out first. Not where an entry was written under a
  // later epoch: that one's claim found that the move had not been decided.
  if (moved != nullptr &&
      (most->last_epoch < moved->moved->epoch || HERONVANE_COPIES_DEFECT("outdated move carried out"))) {
    into_ = moved->moved->into;
    state_ = State::moving;
    return;
  }
  // The owner's own disk may have more: a tail that no holder acknowledged, which it may go on with.
  if (purpose_ == Purpose::go_on &&
      std::make_pair(last_epoch_, last_) >= std::make_pair(most->last_epoch, most->last)) {
    state_ = State::won;
    return;
  }
  // Read as a whole: a disk that is older may differ before its end.
  state_ = State::reading;
}

std::string Claim::describe() const {
  std::ostringstream out;
  out << epoch_ << " " << config_ << " state " << static_cast<int>(state_) << " has " << last_ << " of "
      << last_epoch_ << " from " << source_ << " into " << into_ << (imports_ ? " imports" : "");
  for (const auto& [m, p] : promises_) out << " | " << m << " " << Saying(p);
  for (const auto& m : accepted_) out << " & " << m;
  return out.str();
}

void Claim::imported() {
  if (state_ != State::importing) return;
  if (purpose_ == Purpose::go_on) {
    state_ = State::won;
    return;
  }
  into_ = own_log_;
  state_ = State::moving;
}

}  // namespace heronvane::copies

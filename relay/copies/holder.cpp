#include "holder.hpp"

#include <algorithm>

#include "defects.hpp"

namespace heronvane::copies {

std::optional<Saying> Holder::hear(const Saying& saying) {
  if (const auto* const a = std::get_if<say::Append>(&saying)) return append(*a);
  if (const auto* const c = std::get_if<say::Claim>(&saying)) return claim(*c);
  if (const auto* const r = std::get_if<say::Read>(&saying)) return read(*r);
  if (const auto* const m = std::get_if<say::Move>(&saying)) return move(*m);
  return std::nullopt;
}

Saying Holder::append(const say::Append& a) {
  // One that has moved takes nothing more, whoever writes.
  if (a.epoch < state_.promised && !HERONVANE_COPIES_DEFECT("no fence")) return say::Refused{state_.promised};
  // Who writes under a higher epoch than a move's has won a claim that would have carried that move out, had
  // it ever been decided.
  if (state_.moved && state_.moved->epoch < a.epoch) state_.moved.reset();
  if (state_.moved) return say::Refused{std::max(state_.promised, a.epoch)};
  state_.promised = a.epoch;
  if (a.config.version > state_.config.version) state_.config = a.config;
  // Its own end, or an entry of an epoch that was given up: the owner goes back to one that both have.
  if (a.after > state_.last()) return say::Behind{a.epoch, state_.last()};
  if (state_.epoch_at(a.after) != a.after_epoch) return say::Behind{a.epoch, a.after - 1};
  Position at = a.after;
  for (const auto& e : a.entries) {
    at++;
    if (at <= state_.last() && state_.epoch_at(at) == e.epoch) continue;  // said again
    // What stands from here on was never acknowledged by a quorum.
    if (at <= state_.last()) state_.entries.resize(at - 1);
    state_.entries.push_back(e);
  }
  return say::Appended{a.epoch, at, state_.config.version};
}

Saying Holder::claim(const say::Claim& c) {
  if (c.epoch < state_.promised) return say::Refused{state_.promised};
  state_.promised = c.epoch;
  return say::Promised{c.epoch, state_.last(), state_.epoch_at(state_.last()), state_.config, state_.moved};
}

Saying Holder::read(const say::Read& r) const {
  if (r.epoch < state_.promised) return say::Refused{state_.promised};
  say::Entries out{r.epoch, r.from, {}};
  for (Position p = r.from; p > 0 && p <= state_.last() && out.entries.size() < most_entries_; p++)
    out.entries.push_back(state_.entries[p - 1]);
  return out;
}

Saying Holder::move(const say::Move& m) {
  if (m.epoch < state_.promised) return say::Refused{state_.promised};
  state_.promised = m.epoch;
  state_.moved = Moved{m.epoch, m.into};
  return say::Accepted{m.epoch};
}

}  // namespace heronvane::copies

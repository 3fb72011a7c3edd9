#include "holder.hpp"

#include <algorithm>

#include "defects.hpp"

namespace heronvane::copies {

Holder::Heard Holder::hear(const Saying& saying) {
  Heard out;
  if (const auto* const a = std::get_if<say::Append>(&saying))
    append(*a, out);
  else if (const auto* const s = std::get_if<say::Snapshot>(&saying))
    snapshot(*s, out);
  else if (const auto* const c = std::get_if<say::Claim>(&saying))
    out.answer = claim(*c);
  else if (const auto* const r = std::get_if<say::Read>(&saying))
    out.answer = read(*r);
  else if (const auto* const m = std::get_if<say::Move>(&saying))
    out.answer = move(*m);
  return out;
}

// Whether the owner under that epoch may write here; if not, the answer says why.
bool Holder::writes(const Epoch& epoch, const Config& config, Heard& out) {
  if (epoch < state_.promised && !HERONVANE_COPIES_DEFECT("no fence")) {
    out.answer = say::Refused{state_.promised};
    return false;
  }
  // Who writes under a higher epoch than a move's has won a claim that would have carried that move out, had
  // it ever been decided.
  if (state_.moved && state_.moved->epoch < epoch) state_.moved.reset();
  // One that has moved takes nothing more, whoever writes.
  if (state_.moved) {
    out.answer = say::Refused{std::max(state_.promised, epoch)};
    return false;
  }
  state_.promised = epoch;
  if (config.version > state_.config.version) state_.config = config;
  return true;
}

// A position and the epoch of its entry name all entries up to there: one epoch has one writer, whose entries
// follow on what its claim found.
void Holder::append(const say::Append& a, Heard& out) {
  if (!writes(a.epoch, a.config, out)) return;
  const Position until = a.after + a.entries.size();
  const bool follows = a.after == state_.last && a.after_epoch == state_.last_epoch;
  const bool overlaps = a.after < state_.last && state_.last <= until &&
                        a.entries[state_.last - a.after - 1].epoch == state_.last_epoch;
  // Said again, and late: the holder has it, and more of this owner's.
  const bool old = until < state_.last && state_.last_epoch == a.epoch;
  if (!follows && !overlaps && !old) {
    out.answer = say::Behind{a.epoch, state_.last, state_.last_epoch};
    return;
  }
  for (Position p = state_.last; p < until; p++) out.entries.push_back(a.entries[p - a.after]);
  if (!out.entries.empty()) state_.last = until, state_.last_epoch = out.entries.back().epoch;
  out.answer = appended(a.epoch);
}

void Holder::snapshot(const say::Snapshot& s, Heard& out) {
  if (!writes(s.epoch, s.config, out)) return;
  // Said again, and late: what was added since under this epoch stands.
  const bool old = s.last <= state_.last && state_.last_epoch == s.epoch;
  if (!old || HERONVANE_COPIES_DEFECT("snapshot goes back"))
    state_.last = s.last, state_.last_epoch = s.last_epoch, out.replaced = true;
  out.answer = appended(s.epoch);
}

Saying Holder::claim(const say::Claim& c) {
  if (c.epoch < state_.promised) return say::Refused{state_.promised};
  state_.promised = c.epoch;
  return say::Promised{c.epoch, state_.last, state_.last_epoch, state_.config, state_.moved};
}

Saying Holder::read(const say::Read& r) const {
  if (r.epoch < state_.promised) return say::Refused{state_.promised};
  return say::State{r.epoch, state_.last, state_.last_epoch};
}

Saying Holder::move(const say::Move& m) {
  if (m.epoch < state_.promised) return say::Refused{state_.promised};
  state_.promised = m.epoch;
  state_.moved = Moved{m.epoch, m.into};
  return say::Accepted{m.epoch};
}

}  // namespace heronvane::copies

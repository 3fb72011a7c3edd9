#include "replica.hpp"

#include <algorithm>

#include "defects.hpp"

namespace heronvane::copies {

Replica::Result Replica::handle(const ProtocolMessage& message) {
  Result result;
  if (const auto* const append_request = std::get_if<protocol::Append>(&message))
    append(*append_request, result);
  else if (const auto* const snapshot_request = std::get_if<protocol::Snapshot>(&message))
    snapshot(*snapshot_request, result);
  else if (const auto* const claim_request = std::get_if<protocol::Claim>(&message))
    result.answer = claim(*claim_request);
  else if (const auto* const read_request = std::get_if<protocol::Read>(&message))
    result.answer = read(*read_request);
  else if (const auto* const move_request = std::get_if<protocol::Move>(&message))
    result.answer = move(*move_request);
  return result;
}

// Whether a leader of this epoch may write; if not, the answer is a refusal.
bool Replica::accept_writer(const Epoch& epoch, const Config& config, Result& result) {
  if (epoch < state_.promised && !HERONVANE_COPIES_DEFECT("no fence")) {
    result.answer = protocol::Refused{state_.promised};
    return false;
  }
  // A leader with a higher epoch than the move's has won a claim, which would have completed the move if it
  // had been decided. So it had not been.
  if (state_.moved && state_.moved->epoch < epoch) state_.moved.reset();
  // A log that has moved accepts no more writes from anyone.
  if (state_.moved) {
    result.answer = protocol::Refused{std::max(state_.promised, epoch)};
    return false;
  }
  state_.promised = epoch;
  if (config.version > state_.config.version) state_.config = config;
  return true;
}

// A position and the epoch of its entry identify all entries up to it: each epoch has one writer, whose
// entries follow what its claim found.
void Replica::append(const protocol::Append& request, Result& result) {
  if (!accept_writer(request.epoch, request.config, result)) return;
  const Position until = request.after + request.entries.size();
  const bool follows = request.after == state_.last && request.after_epoch == state_.last_epoch;
  const bool overlaps = request.after < state_.last && state_.last <= until &&
                        request.entries[state_.last - request.after - 1].epoch == state_.last_epoch;
  // A delayed duplicate: the replica already has these entries and later ones of this leader.
  const bool is_duplicate = until < state_.last && state_.last_epoch == request.epoch;
  if (!follows && !overlaps && !is_duplicate) {
    result.answer = protocol::Behind{request.epoch, state_.last, state_.last_epoch};
    return;
  }
  for (Position position = state_.last; position < until; position++)
    result.entries.push_back(request.entries[position - request.after]);
  if (!result.entries.empty()) state_.last = until, state_.last_epoch = result.entries.back().epoch;
  result.answer = appended(request.epoch);
}

void Replica::snapshot(const protocol::Snapshot& request, Result& result) {
  if (!accept_writer(request.epoch, request.config, result)) return;
  // A delayed duplicate: the entries added since in this epoch are kept.
  const bool is_duplicate = request.last <= state_.last && state_.last_epoch == request.epoch;
  if (!is_duplicate || HERONVANE_COPIES_DEFECT("snapshot goes back"))
    state_.last = request.last, state_.last_epoch = request.last_epoch, result.snapshot_installed = true;
  result.answer = appended(request.epoch);
}

ProtocolMessage Replica::claim(const protocol::Claim& request) {
  if (request.epoch < state_.promised) return protocol::Refused{state_.promised};
  state_.promised = request.epoch;
  return protocol::Promised{request.epoch, state_.last, state_.last_epoch, state_.config, state_.moved};
}

ProtocolMessage Replica::read(const protocol::Read& request) const {
  if (request.epoch < state_.promised) return protocol::Refused{state_.promised};
  return protocol::State{request.epoch, state_.last, state_.last_epoch};
}

ProtocolMessage Replica::move(const protocol::Move& request) {
  if (request.epoch < state_.promised) return protocol::Refused{state_.promised};
  state_.promised = request.epoch;
  state_.moved = Moved{request.epoch, request.into};
  return protocol::Accepted{request.epoch};
}

}  // namespace heronvane::copies

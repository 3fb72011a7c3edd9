#include "store/ledger.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

struct MakeNote {
  Note operator()(const record::Segment&) const { return {Kind::segment, 0, {}, false, 0}; }
  Note operator()(const record::Taken& r) const { return {Kind::taken, r.number, {}, false, 0}; }
  Note operator()(const record::Progress& r) const { return {Kind::progress, r.number, {}, false, 0}; }
  Note operator()(const record::Sent& r) const { return {Kind::sent, r.number, {}, false, 0}; }
  Note operator()(const record::Ended& r) const { return {Kind::ended, r.number, {}, false, 0}; }
  Note operator()(const record::GivenUp& r) const { return {Kind::given_up, r.number, {}, false, 0}; }
  Note operator()(const record::Over& r) const { return {Kind::over, r.number, {}, !r.id.empty(), 0}; }
  Note operator()(const record::Fact& r) const { return {Kind::fact, 0, r.key, !r.value.empty(), 0}; }
  Note operator()(const record::Dropped&) const { return {Kind::dropped, 0, {}, false, 0}; }
  Note operator()(const Anchor&) const { return {Kind::anchor, 0, {}, false, 0}; }
};

}  // namespace

Note note_of(const Record& record, std::size_t bytes) {
  Note note = std::visit(MakeNote{}, record);
  note.bytes = static_cast<std::uint32_t>(bytes);
  return note;
}

void Ledger::expect(std::uint64_t messages) { tracks_.reserve(std::min<std::uint64_t>(messages, 1 << 18)); }

void Ledger::add_segment(SegmentNumber segment) {
  segments_.try_emplace(segment);
  residents_.try_emplace(segment);
}

void Ledger::emptied(SegmentNumber segment) {
  auto& s = segments_.at(segment);
  s.bytes = 0, s.end = 1;  // before the first record of all: none is missing in it
}

void Ledger::forget_segment(SegmentNumber segment) {
  const auto here = [&](Place& place) {
    if (place.segment != segment) return false;
    dead(place);
    place = {};
    return true;
  };
  auto& residents = residents_.at(segment);
  for (const auto& r : residents.messages) {
    const auto it = tracks_.find(r.number);
    if (it == tracks_.end()) continue;
    here(it->second.base);
    std::erase_if(it->second.later, here);
    if (r.base) it->second.bases--;
    drop_if_done(it);
  }
  for (const auto& key : residents.facts)
    if (const auto it = facts_.find(key); it != facts_.end()) here(it->second.place);
  residents_.erase(segment);
  segments_.erase(segment);
}

void Ledger::dead(const Place& place) {
  if (place.bytes == 0) return;
  segments_.at(place.segment).live -= place.bytes;
  live_ -= place.bytes;
}

void Ledger::dead_later(Track& track) {
  for (const auto& place : track.later) dead(place);
  track.later.clear();
}

bool Ledger::stands_in(const Track& track, SegmentNumber segment) const {
  return track.base.segment == segment || std::any_of(track.later.begin(), track.later.end(),
                                                      [&](const Place& p) { return p.segment == segment; });
}

void Ledger::note(const Note& n, SegmentNumber segment) {
  auto& residents = residents_.at(segment);
  const Place place{segment, n.bytes};
  switch (n.kind) {
    case Kind::taken: {
      auto& t = tracks_[n.number];
      residents.messages.push_back({n.number, true});
      t.bases++;
      if (t.over) return;  // written once more, its end follows
      dead(t.base);
      dead_later(t);
      t.base = place;
      live(place);
      return;
    }
    case Kind::progress:
    case Kind::sent:
    case Kind::ended:
    case Kind::given_up: {
      const auto it = tracks_.find(n.number);
      if (it == tracks_.end() || it->second.over) return;
      auto& t = it->second;
      if (n.kind == Kind::progress) dead_later(t);
      // Beside the message itself it lives and moves with it.
      if (t.base.segment == segment) {
        t.base.bytes += place.bytes;
        live(place);
        return;
      }
      if (!stands_in(t, segment)) residents.messages.push_back({n.number, false});
      const auto there =
          std::find_if(t.later.begin(), t.later.end(), [&](const Place& p) { return p.segment == segment; });
      if (there == t.later.end())
        t.later.push_back(place);
      else
        there->bytes += place.bytes;
      live(place);
      return;
    }
    case Kind::over: {
      const auto [it, fresh] = tracks_.try_emplace(n.number);
      auto& t = it->second;
      dead(t.base);
      dead_later(t);
      t.base = place, t.over = true, t.remembered = n.remembered;
      residents.messages.push_back({n.number, false});
      live(place);
      drop_if_done(it);
      return;
    }
    case Kind::fact: {
      const auto [it, fresh] = facts_.try_emplace(n.key);
      if (!fresh) dead(it->second.place);
      it->second = {place, !n.remembered};
      residents.facts.push_back(n.key);
      live(place);
      return;
    }
    case Kind::segment:
    case Kind::dropped:
    case Kind::anchor:
      return;  // of no use once a later segment stands
  }
}

bool Ledger::is_over(MessageId number) const {
  const auto it = tracks_.find(number);
  return it != tracks_.end() && it->second.over;
}

void Ledger::forget_id(MessageId number) {
  const auto it = tracks_.find(number);
  if (it == tracks_.end() || !it->second.over) return;
  it->second.remembered = false;
  drop_if_done(it);
}

void Ledger::drop_if_done(std::unordered_map<MessageId, Track>::iterator it) {
  const Track& t = it->second;
  if (!t.over || t.remembered || t.bases > 0) return;
  dead(t.base);
  tracks_.erase(it);
}

bool Ledger::thin_out(SegmentNumber segment, std::size_t most) {
  auto& messages = residents_.at(segment).messages;
  for (; most > 0 && !messages.empty(); most--, messages.pop_back()) {
    if (!messages.back().base) continue;
    const auto it = tracks_.find(messages.back().number);
    if (it == tracks_.end()) continue;
    it->second.bases--;
    drop_if_done(it);
  }
  return !messages.empty();
}

void Ledger::remove_segment(SegmentNumber segment) {
  thin_out(segment, residents_.at(segment).messages.size());
  const auto residents = residents_.extract(segment);
  drop_dropped_facts(residents.mapped().facts, segment);
  segments_.erase(segment);
  if (segments_.empty()) return;
  settle_oldest(segments_.begin()->first);
}

void Ledger::settle_oldest(SegmentNumber segment) {
  if (segments_.begin()->first == segment) drop_dropped_facts(residents_.at(segment).facts, segment);
}

// That a fact was dropped need not be known where nothing older is left to say otherwise.
void Ledger::drop_dropped_facts(const std::vector<std::string>& keys, SegmentNumber oldest) {
  for (const auto& key : keys) {
    const auto it = facts_.find(key);
    if (it == facts_.end() || !it->second.dropped || it->second.place.segment != oldest) continue;
    dead(it->second.place);
    facts_.erase(it);
  }
}

bool Ledger::moving(SegmentNumber segment, std::size_t& at, std::size_t most, std::uint64_t bytes,
                    Moving& out) const {
  const auto& residents = residents_.at(segment);
  std::uint64_t moved = 0;
  const std::size_t all = residents.messages.size() + residents.facts.size();
  for (; at < all && most > 0 && moved < bytes; at++, most--) {
    if (at >= residents.messages.size()) {
      const auto it = facts_.find(residents.facts[at - residents.messages.size()]);
      if (it == facts_.end() || it->second.place.segment != segment) continue;
      if (it->second.dropped && segments_.begin()->first == segment) continue;
      out.facts.push_back(it->first);
      moved += it->second.place.bytes;
      continue;
    }
    const auto number = residents.messages[at].number;
    const auto it = tracks_.find(number);
    if (it == tracks_.end() || !stands_in(it->second, segment)) continue;
    const Track& t = it->second;
    auto& list = t.over ? out.over : t.base.segment == segment ? out.whole : out.progress;
    // One that stands there twice is moved once.
    if (std::find(list.rbegin(), list.rend(), number) != list.rend()) continue;
    list.push_back(number);
    moved += t.base.bytes;
  }
  return at < all;
}

}  // namespace heronvane::store

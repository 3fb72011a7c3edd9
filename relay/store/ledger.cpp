#include "store/ledger.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

struct MakeSummary {
  RecordSummary operator()(const record::Segment&) const { return {Kind::segment, 0, {}, false, 0}; }
  RecordSummary operator()(const record::Accepted& record) const {
    return {Kind::accepted, record.number, {}, false, 0};
  }
  RecordSummary operator()(const record::Progress& record) const {
    return {Kind::progress, record.number, {}, false, 0};
  }
  RecordSummary operator()(const record::AttemptSent& record) const {
    return {Kind::attempt_sent, record.number, {}, false, 0};
  }
  RecordSummary operator()(const record::AttemptEnded& record) const {
    return {Kind::attempt_ended, record.number, {}, false, 0};
  }
  RecordSummary operator()(const record::GivenUp& record) const {
    return {Kind::given_up, record.number, {}, false, 0};
  }
  RecordSummary operator()(const record::Finished& record) const {
    return {Kind::finished, record.number, {}, !record.id.empty(), 0};
  }
  RecordSummary operator()(const record::Fact& record) const {
    return {Kind::fact, 0, record.key, !record.value.empty(), 0};
  }
  RecordSummary operator()(const record::Dropped&) const { return {Kind::dropped, 0, {}, false, 0}; }
  RecordSummary operator()(const Anchor&) const { return {Kind::anchor, 0, {}, false, 0}; }
};

}  // namespace

RecordSummary summary_of(const Record& record, std::size_t bytes) {
  RecordSummary summary = std::visit(MakeSummary{}, record);
  summary.bytes = static_cast<std::uint32_t>(bytes);
  return summary;
}

void Ledger::reserve(std::uint64_t messages) {
  messages_.reserve(std::min<std::uint64_t>(messages, 1 << 18));
}

void Ledger::add_segment(SegmentNumber segment) {
  segments_.try_emplace(segment);
  contents_.try_emplace(segment);
}

void Ledger::mark_emptied(SegmentNumber segment) {
  auto& entry = segments_.at(segment);
  entry.bytes = 0, entry.end = 1;  // before the first record: none is missing in it
}

void Ledger::forget_segment(SegmentNumber segment) {
  const auto drop_if_here = [&](Location& location) {
    if (location.segment != segment) return false;
    subtract_live(location);
    location = {};
    return true;
  };
  auto& contents = contents_.at(segment);
  for (const auto& message : contents.messages) {
    const auto it = messages_.find(message.number);
    if (it == messages_.end()) continue;
    drop_if_here(it->second.base);
    std::erase_if(it->second.later, drop_if_here);
    if (message.is_accepted) it->second.copies--;
    erase_if_unneeded(it);
  }
  for (const auto& key : contents.facts)
    if (const auto it = facts_.find(key); it != facts_.end()) drop_if_here(it->second.location);
  contents_.erase(segment);
  segments_.erase(segment);
}

void Ledger::subtract_live(const Location& location) {
  if (location.bytes == 0) return;
  segments_.at(location.segment).live -= location.bytes;
  live_ -= location.bytes;
}

void Ledger::subtract_later(MessageEntry& entry) {
  for (const auto& location : entry.later) subtract_live(location);
  entry.later.clear();
}

bool Ledger::has_records_in(const MessageEntry& entry, SegmentNumber segment) const {
  return entry.base.segment == segment ||
         std::any_of(entry.later.begin(), entry.later.end(),
                     [&](const Location& other) { return other.segment == segment; });
}

void Ledger::add_record(const RecordSummary& summary, SegmentNumber segment) {
  auto& contents = contents_.at(segment);
  const Location location{segment, summary.bytes};
  switch (summary.kind) {
    case Kind::accepted: {
      auto& entry = messages_[summary.number];
      contents.messages.push_back({summary.number, true});
      entry.copies++;
      if (entry.finished) return;  // written again after a failed sync; its Finished record follows
      subtract_live(entry.base);
      subtract_later(entry);
      entry.base = location;
      add_live(location);
      return;
    }
    case Kind::progress:
    case Kind::attempt_sent:
    case Kind::attempt_ended:
    case Kind::given_up: {
      const auto it = messages_.find(summary.number);
      if (it == messages_.end() || it->second.finished) return;
      auto& entry = it->second;
      if (summary.kind == Kind::progress) subtract_later(entry);
      // In the same segment as the message: live and moved together with it.
      if (entry.base.segment == segment) {
        entry.base.bytes += location.bytes;
        add_live(location);
        return;
      }
      if (!has_records_in(entry, segment)) contents.messages.push_back({summary.number, false});
      const auto same_segment = std::find_if(entry.later.begin(), entry.later.end(),
                                             [&](const Location& other) { return other.segment == segment; });
      if (same_segment == entry.later.end())
        entry.later.push_back(location);
      else
        same_segment->bytes += location.bytes;
      add_live(location);
      return;
    }
    case Kind::finished: {
      const auto [it, inserted] = messages_.try_emplace(summary.number);
      auto& entry = it->second;
      subtract_live(entry.base);
      subtract_later(entry);
      entry.base = location, entry.finished = true, entry.remembered = summary.remembered;
      contents.messages.push_back({summary.number, false});
      add_live(location);
      erase_if_unneeded(it);
      return;
    }
    case Kind::fact: {
      const auto [it, inserted] = facts_.try_emplace(summary.key);
      if (!inserted) subtract_live(it->second.location);
      it->second = {location, !summary.remembered};
      contents.facts.push_back(summary.key);
      add_live(location);
      return;
    }
    case Kind::segment:
    case Kind::dropped:
    case Kind::anchor:
      return;  // not needed once a later segment exists
  }
}

bool Ledger::is_finished(MessageId number) const {
  const auto it = messages_.find(number);
  return it != messages_.end() && it->second.finished;
}

void Ledger::forget_id(MessageId number) {
  const auto it = messages_.find(number);
  if (it == messages_.end() || !it->second.finished) return;
  it->second.remembered = false;
  erase_if_unneeded(it);
}

void Ledger::erase_if_unneeded(std::unordered_map<MessageId, MessageEntry>::iterator it) {
  const MessageEntry& entry = it->second;
  if (!entry.finished || entry.remembered || entry.copies > 0) return;
  subtract_live(entry.base);
  messages_.erase(it);
}

bool Ledger::forget_records(SegmentNumber segment, std::size_t max_records) {
  auto& messages = contents_.at(segment).messages;
  for (; max_records > 0 && !messages.empty(); max_records--, messages.pop_back()) {
    if (!messages.back().is_accepted) continue;
    const auto it = messages_.find(messages.back().number);
    if (it == messages_.end()) continue;
    it->second.copies--;
    erase_if_unneeded(it);
  }
  return !messages.empty();
}

void Ledger::remove_segment(SegmentNumber segment) {
  forget_records(segment, contents_.at(segment).messages.size());
  const auto contents = contents_.extract(segment);
  drop_fact_tombstones(contents.mapped().facts, segment);
  segments_.erase(segment);
  if (segments_.empty()) return;
  drop_oldest_tombstones(segments_.begin()->first);
}

void Ledger::drop_oldest_tombstones(SegmentNumber segment) {
  if (segments_.begin()->first == segment) drop_fact_tombstones(contents_.at(segment).facts, segment);
}

// The deletion of a fact need not be known once no older segment contains its value.
void Ledger::drop_fact_tombstones(const std::vector<std::string>& keys, SegmentNumber oldest) {
  for (const auto& key : keys) {
    const auto it = facts_.find(key);
    if (it == facts_.end() || !it->second.dropped || it->second.location.segment != oldest) continue;
    subtract_live(it->second.location);
    facts_.erase(it);
  }
}

bool Ledger::collect_live(SegmentNumber segment, std::size_t& position, std::size_t max_records,
                          std::uint64_t bytes, LiveRecords& live_records) const {
  const auto& contents = contents_.at(segment);
  std::uint64_t collected_bytes = 0;
  const std::size_t all = contents.messages.size() + contents.facts.size();
  for (; position < all && max_records > 0 && collected_bytes < bytes; position++, max_records--) {
    if (position >= contents.messages.size()) {
      const auto it = facts_.find(contents.facts[position - contents.messages.size()]);
      if (it == facts_.end() || it->second.location.segment != segment) continue;
      if (it->second.dropped && segments_.begin()->first == segment) continue;
      live_records.facts.push_back(it->first);
      collected_bytes += it->second.location.bytes;
      continue;
    }
    const auto number = contents.messages[position].number;
    const auto it = messages_.find(number);
    if (it == messages_.end() || !has_records_in(it->second, segment)) continue;
    const MessageEntry& entry = it->second;
    auto& list = entry.finished                  ? live_records.finished
                 : entry.base.segment == segment ? live_records.whole
                                                 : live_records.progress;
    // A message with several entries in the segment is moved once.
    if (std::find(list.rbegin(), list.rend(), number) != list.rend()) continue;
    list.push_back(number);
    collected_bytes += entry.base.bytes;
  }
  return position < all;
}

}  // namespace heronvane::store

// Tracks which segments contain live records: what compaction may drop, and what it must write anew first. No
// I/O here.
//
// A record is live if the store's state would differ without it. The record that a message has finished stays
// live while any segment contains the message or its id is remembered: otherwise the message would be
// restored.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.hpp"

namespace heronvane::store {

// What the ledger needs to know of a written record.
struct RecordSummary {
  Kind kind = Kind::anchor;
  MessageId number = 0;     // of its message
  std::string key;          // of a fact
  bool remembered = false;  // Finished: its id is remembered; Fact: its value is not empty
  std::uint32_t bytes = 0;  // of its frame
};
RecordSummary summary_of(const Record& record, std::size_t bytes);

// Live records of a segment, which must be written anew before the segment is dropped.
struct LiveRecords {
  std::vector<MessageId> whole;     // messages, to be written as Accepted
  std::vector<MessageId> progress;  // messages, to be written as Progress
  std::vector<MessageId> finished;
  std::vector<std::string> facts;
  bool empty() const { return whole.empty() && progress.empty() && finished.empty() && facts.empty(); }
};

class Ledger {
 public:
  struct Segment {
    std::uint64_t bytes = 0;  // of the file
    std::uint64_t live = 0;   // of its live records
    Sequence end = 0;         // sequence number after its last record; 0 while records are appended
    bool damaged = false;     // its file is to be renamed, not removed
    bool format1 = false;     // of format 1
  };

  // Reserves memory for so many messages, at most for some hundreds of thousands.
  void reserve(std::uint64_t messages);
  void add_segment(SegmentNumber segment);
  void grow(SegmentNumber segment, std::uint64_t bytes) { segments_.at(segment).bytes += bytes; }
  void mark_damaged(SegmentNumber segment) { segments_.at(segment).damaged = true; }
  void mark_format1(SegmentNumber segment) { segments_.at(segment).format1 = true; }
  // The segment's file was truncated to zero bytes, since all its records are to be written again.
  void mark_emptied(SegmentNumber segment);
  // The segment's file was removed, too; its records are live nowhere until they are added again.
  void forget_segment(SegmentNumber segment);
  // No more records are appended to the segment. `end`: sequence number after its last record.
  void close(SegmentNumber segment, Sequence end) { segments_.at(segment).end = end; }
  // Adds a record, written to that segment after all records added before.
  void add_record(const RecordSummary& summary, SegmentNumber segment);
  bool is_finished(MessageId number) const;
  // The id of that finished message need not be remembered any more.
  void forget_id(MessageId number);
  // If it is the oldest segment: forgets the facts deleted in it, since no older segment contains their
  // values.
  void drop_oldest_tombstones(SegmentNumber segment);
  // Forgets up to `max_records` records of a segment whose file is gone and which has no live records; true
  // while more remain.
  bool forget_records(SegmentNumber segment, std::size_t max_records);
  // Forgets such a segment with all its remaining records.
  void remove_segment(SegmentNumber segment);

  const std::map<SegmentNumber, Segment>& segments() const { return segments_; }
  std::uint64_t live() const { return live_; }
  std::size_t message_count() const { return messages_.size(); }

  // Adds live records of `segment` to `live_records`, in the order in which they were written, from
  // `position` on, until `max_records` records were examined or `bytes` bytes were collected; advances
  // `position`. True while more remain.
  bool collect_live(SegmentNumber segment, std::size_t& position, std::size_t max_records,
                    std::uint64_t bytes, LiveRecords& live_records) const;

 private:
  struct Location {
    SegmentNumber segment = 0;
    std::uint64_t bytes = 0;
  };
  struct MessageEntry {
    Location base;                // of the message while it is held, of its Finished record afterwards
    std::vector<Location> later;  // of the records that follow it; one for each segment
    std::uint32_t copies = 0;     // Accepted records of the message in all segments, live or not
    bool finished = false, remembered = false;
  };
  struct FactEntry {
    Location location;
    bool dropped = false;
  };
  struct SegmentMessage {
    MessageId number = 0;
    bool is_accepted = false;  // an Accepted record, not one that follows it
  };
  struct SegmentContents {
    // A deque grows without copying and frees memory in small blocks, without a long pause.
    std::deque<SegmentMessage> messages;
    std::vector<std::string> facts;
  };

  void add_live(const Location& location) {
    segments_.at(location.segment).live += location.bytes, live_ += location.bytes;
  }
  void subtract_live(const Location& location);
  void subtract_later(MessageEntry& entry);
  bool has_records_in(const MessageEntry& entry, SegmentNumber segment) const;
  void drop_fact_tombstones(const std::vector<std::string>& keys, SegmentNumber oldest);
  void erase_if_unneeded(std::unordered_map<MessageId, MessageEntry>::iterator it);

  std::map<SegmentNumber, Segment> segments_;
  std::unordered_map<SegmentNumber, SegmentContents> contents_;
  std::unordered_map<MessageId, MessageEntry> messages_;
  std::map<std::string, FactEntry> facts_;
  std::uint64_t live_ = 0;
};

}  // namespace heronvane::store

// Which segment holds what of the live records: what compaction may drop, and what it must write anew first.
// No input or output here.
//
// A record is live while the store would come to another state without it. That a message is over stays live
// as long as any segment has the message, or its id is remembered: else the message would come back to life.
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

// What is to be known of a record that was written.
struct RecordSummary {
  Kind kind = Kind::anchor;
  MessageId number = 0;     // of its message
  std::string key;          // of a fact
  bool remembered = false;  // over: its id; fact: it has a value
  std::uint32_t bytes = 0;  // of its frame
};
RecordSummary summary_of(const Record& record, std::size_t bytes);

// What must be written anew before a segment may go.
struct LiveRecords {
  std::vector<MessageId> whole;     // messages, as Taken
  std::vector<MessageId> progress;  // messages, as Progress
  std::vector<MessageId> over;
  std::vector<std::string> facts;
  bool empty() const { return whole.empty() && progress.empty() && over.empty() && facts.empty(); }
};

class Ledger {
 public:
  struct Segment {
    std::uint64_t bytes = 0;  // of the file
    std::uint64_t live = 0;   // of its live records
    Sequence end = 0;         // behind its last record; 0 while records are added to it
    bool damaged = false;     // its file is to be set aside, not removed
    bool format1 = false;     // of format 1
  };

  // So many messages may come: room for them is made at once, for some hundreds of thousands at most.
  void reserve(std::uint64_t messages);
  void add_segment(SegmentNumber segment);
  void grow(SegmentNumber segment, std::uint64_t bytes) { segments_.at(segment).bytes += bytes; }
  void mark_damaged(SegmentNumber segment) { segments_.at(segment).damaged = true; }
  void mark_format1(SegmentNumber segment) { segments_.at(segment).format1 = true; }
  // Its file was cut to nothing, as all that stood in it is written once more.
  void mark_emptied(SegmentNumber segment);
  // And it is gone; what stood in it is live nowhere until it is noted once more.
  void forget_segment(SegmentNumber segment);
  // Nothing is added to it any more.
  void close(SegmentNumber segment, Sequence end) { segments_.at(segment).end = end; }
  // The record stands in that segment, behind all that was noted before.
  void add_record(const RecordSummary& summary, SegmentNumber segment);
  bool is_over(MessageId number) const;
  // The id of that message, which is over, need not be remembered any more.
  void forget_id(MessageId number);
  // Where it is the oldest segment: that facts in it were dropped need not be known any more.
  void drop_oldest_tombstones(SegmentNumber segment);
  // Of a segment that is gone, with nothing live left in it: forgets up to `most` of its records; true while
  // there are more.
  bool forget_records(SegmentNumber segment, std::size_t max_records);
  // Forgets such a segment, with all that is left of it.
  void remove_segment(SegmentNumber segment);

  const std::map<SegmentNumber, Segment>& segments() const { return segments_; }
  std::uint64_t live() const { return live_; }
  std::size_t message_count() const { return messages_.size(); }

  // What is live in `segment`, looked at in the order in which it was written from `at` on, until `most`
  // records were looked at or `bytes` bytes are to be moved; `at` moves on. True while there is more.
  bool collect_live(SegmentNumber segment, std::size_t& position, std::size_t max_records,
                    std::uint64_t bytes, LiveRecords& live_records) const;

 private:
  struct Location {
    SegmentNumber segment = 0;
    std::uint64_t bytes = 0;
  };
  struct MessageEntry {
    Location base;                // the message's, while it is held; that of its being over, afterwards
    std::vector<Location> later;  // of Sent, Ended, GivenUp, Progress: one for each segment
    std::uint32_t copies = 0;     // segments in which the message stands, live or not
    bool over = false, remembered = false;
  };
  struct FactEntry {
    Location location;
    bool dropped = false;
  };
  struct SegmentMessage {
    MessageId number = 0;
    bool base = false;  // the message itself stands there
  };
  struct SegmentContents {
    std::deque<SegmentMessage>
        messages;  // grows without moving, goes in pieces: no pause for one large block
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

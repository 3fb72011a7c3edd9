// The state that the records describe: held messages, ids of finished messages, facts. No I/O here.
//
// The same calls are made while the relay runs and when its records are read again, so both lead to the same
// state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.hpp"

namespace heronvane::store {

class Table {
 public:
  const std::map<MessageId, Held>& held() const { return held_; }
  const Held* find(MessageId number) const;
  std::size_t given_up() const { return given_up_; }  // of the held messages
  bool remembers(const std::string& id) const { return remembered_by_id_.count(id) > 0; }
  std::size_t remembered() const { return remembered_by_id_.size(); }
  std::uint64_t remembered_bytes() const;                // size of the Finished records of remembered ids
  std::vector<record::Finished> remembered_ids() const;  // ordered by the numbers of their messages
  // The Finished record of a message; without its id if that is not remembered.
  record::Finished finished_record(MessageId number) const;
  const std::map<std::string, std::string>& facts() const { return facts_; }
  std::uint64_t fact_bytes() const { return fact_bytes_; }
  // Above every message number that a record contained.
  MessageId next_number() const { return next_number_; }
  void reserve_numbers(MessageId next);

  // Records of messages that are not held change nothing: they remain from finished messages.
  void accepted(MessageId number, Held&& held);
  void progress(const record::Progress& record);
  void attempt_sent(const record::AttemptSent& record);
  void attempt_ended(const record::AttemptEnded& record);
  void given_up(const record::GivenUp& record);
  // Returns the message whose id is not remembered any more, or not at all, because the same id of another
  // message is.
  std::optional<MessageId> finished(const record::Finished& record);
  void fact(const record::Fact& record);
  void doubt(MessageId number);

  // Forgets the ids whose time has passed at `now` and returns their records.
  std::vector<record::Finished> expire(Microseconds now);

 private:
  Held* find_mutable(MessageId number);
  void erase(std::map<MessageId, Held>::iterator it);

  std::map<MessageId, Held> held_;
  std::optional<std::map<MessageId, Held>::iterator>
      cursor_;  // the message found last: the next one looked up often follows it
  std::size_t given_up_ = 0;
  struct Remembered {
    MessageId number = 0;
    Microseconds until = 0;
  };
  using RememberedIds = std::unordered_map<std::string, Remembered>;
  RememberedIds remembered_by_id_;
  std::unordered_map<MessageId, RememberedIds::pointer>
      remembered_by_number_;                       // its entries by message number
  std::multimap<Microseconds, MessageId> expiry_;  // may contain numbers that are not remembered any more
  std::map<std::string, std::string> facts_;
  std::uint64_t fact_bytes_ = 0;
  MessageId next_number_ = 1;
};

}  // namespace heronvane::store

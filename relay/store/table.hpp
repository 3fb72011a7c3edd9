// What the records say: the messages held, the ids that are over, other facts. No input or output here.
//
// The same calls are made while the relay runs and while its records are read again, so that both end alike.
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
  std::size_t given_up() const { return given_up_; }  // of those held
  bool remembers(const std::string& id) const { return remembered_by_id_.count(id) > 0; }
  std::size_t remembered() const { return remembered_by_id_.size(); }
  std::uint64_t remembered_bytes() const;                // of the records of their ids
  std::vector<record::Finished> remembered_ids() const;  // by the numbers of their messages
  // That a message is over, as a record; without its id where that is not remembered.
  record::Finished finished_record(MessageId number) const;
  const std::map<std::string, std::string>& facts() const { return facts_; }
  std::uint64_t fact_bytes() const { return fact_bytes_; }
  // Above every number that a record named.
  MessageId next_number() const { return next_number_; }
  void reserve_numbers(MessageId next);

  // Records of messages that are not held change nothing; that is what is left of those that are over.
  void accepted(MessageId number, Held&& held);
  void progress(const record::Progress& record);
  void attempt_sent(const record::AttemptSent& record);
  void attempt_ended(const record::AttemptEnded& record);
  void given_up(const record::GivenUp& record);
  // The message whose id is not remembered any more, or not at all, because another one's is.
  std::optional<MessageId> finished(const record::Finished& record);
  void fact(const record::Fact& record);
  void doubt(MessageId number);

  // Forgets the ids whose time is up at `now`; tells which, as they were remembered.
  std::vector<record::Finished> expire(Microseconds now);

 private:
  Held* find_mutable(MessageId number);
  void erase(std::map<MessageId, Held>::iterator it);

  std::map<MessageId, Held> held_;
  std::optional<std::map<MessageId, Held>::iterator>
      cursor_;  // found last: the next one often stands behind it
  std::size_t given_up_ = 0;
  struct Remembered {
    MessageId number = 0;
    Microseconds until = 0;
  };
  using RememberedIds = std::unordered_map<std::string, Remembered>;
  RememberedIds remembered_by_id_;
  std::unordered_map<MessageId, RememberedIds::pointer>
      remembered_by_number_;                       // its entries by their numbers
  std::multimap<Microseconds, MessageId> expiry_;  // numbers that are in it no more do no harm
  std::map<std::string, std::string> facts_;
  std::uint64_t fact_bytes_ = 0;
  MessageId next_number_ = 1;
};

}  // namespace heronvane::store

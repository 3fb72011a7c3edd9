// The folder that lasts: what the relay has taken on, what it tried, and what it still owes.
//
// One file of framed records, only appended to. When it holds too much that is over, what is still held is
// copied to a second file in bounded steps, which then takes its place by a rename. Both files together
// stay under the limit at every instant; room for the later records of each message is set aside with it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "clock.hpp"

namespace heronvane {

using cedarplank::MessageId;
using cedarplank::Outcome;

struct Message {
  std::string id;  // the client's X-Request-Id
  std::string message_class, tenant;
  std::int64_t destination = 0;
  Time deadline = 0;  // wall time
  bool repeat = false;
  std::string body;
};

struct Attempt {
  Time sent = 0;  // wall time
  int zone = -1;
  std::optional<Outcome> outcome;  // none: not seen, so it may have run
  bool may_have_run() const;
};

// A message that is given up: its notice is owed to the platform.
struct Ending {
  bool deferred = false;  // handing it in again is harmless
  Time again = 0;
};

struct Held {
  Message message;
  std::vector<Attempt> attempts;
  std::optional<Ending> ending;
};

class Journal {
 public:
  // Reads what is there; a torn or damaged end is cut off. Throws std::system_error.
  Journal(const std::string& folder, std::uint64_t limit_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const std::map<MessageId, Held>& held() const { return held_; }
  std::size_t open() const { return held_.size() - endings_; }  // held, and not yet given up
  // What was found at the start and could not be used.
  std::uint64_t dropped_bytes() const { return dropped_; }

  // Whether a message with so long a record may be taken on besides `also` bytes of others.
  bool room_for(const Message& message, std::uint64_t also = 0) const;
  static std::uint64_t cost(const Message& message);

  // Each adds a record; nothing may be acted on before commit() has returned true.
  void take(MessageId id, Message message);
  void sent(MessageId id, Time when, int zone);
  void outcome(MessageId id, int attempt, Outcome outcome);
  void ending(MessageId id, Ending ending);
  void over(MessageId id);  // nothing is owed any more; forgets the message
  // Writes the added records; false, with nothing written, where the disk won't take them now.
  bool commit();

  bool wants_compaction() const;
  // One bounded step; true while more are to do.
  bool compact();

  std::uint64_t bytes() const;  // of both files

 private:
  void forget(std::map<MessageId, Held>::iterator it);
  void add(MessageId id, const std::string& payload);
  bool compact_step();
  void recover();
  void apply(const std::string& payload);
  void write_file(int file, std::uint64_t& size, const std::string& bytes);

  std::string path_, next_path_;
  std::uint64_t limit_ = 0;
  int file_ = -1, next_ = -1;
  std::uint64_t size_ = 0, next_size_ = 0;
  MessageId copied_ = 0;        // up to here the second file has everything
  std::uint64_t reserved_ = 0;  // cost of all that is held
  std::uint64_t dropped_ = 0;
  std::string pending_, next_pending_;
  std::map<MessageId, Held> held_;
  std::size_t endings_ = 0;  // of these, given up
};

}  // namespace heronvane

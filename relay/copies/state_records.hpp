// Writes the state of a store as records that recreate it, in chunks of bounded size, and reads such records.
// No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.hpp"

namespace heronvane::copies {

// The store may change between chunks. A chunk contains each message as it is at that moment, so a receiver
// that gets all changes made before each chunk, in order, ends with the state as of the last chunk.
class StateWriter {
 public:
  explicit StateWriter(const store::Store& store);
  // The next records, about `max_bytes` of them, as frames with the store's salt.
  std::string next(std::size_t max_bytes);
  bool done() const { return done_; }
  // Number of messages and remembered ids in all chunks, provided that the store does not change meanwhile.
  std::size_t numbered_records() const { return numbered_; }

 private:
  const store::Store& store_;
  std::vector<std::string> fact_keys_;
  std::vector<store::record::Finished> over_;
  const std::size_t numbered_;
  std::size_t fact_index_ = 0, over_index_ = 0;
  MessageId next_message_ = 0;  // lowest number that is still to be written
  bool done_ = false;
};

// Calls `visit` for each record in order. False: the frames are damaged or incomplete, and some were not
// read.
bool read_records(store::Salt salt, std::string_view frames,
                  const std::function<void(store::Record&&)>& visit);

}  // namespace heronvane::copies

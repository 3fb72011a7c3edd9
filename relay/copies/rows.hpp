// The state of a store, written as records that make it anew, in parts of bounded size; and such records
// read. No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.hpp"

namespace heronvane::copies {

// A message that changes meanwhile is written as it then stands: whoever is told all that changed before each
// part, in order, ends with the state as it is at the last one.
class StateWriter {
 public:
  explicit StateWriter(const store::Store& store);
  // The next rows, some `most` bytes of them, as frames with the store's salt.
  std::string next(std::size_t max_bytes);
  bool done() const { return done_; }
  // Messages and remembered ids in all parts together, where nothing changes meanwhile.
  std::size_t numbered_records() const { return numbered_; }

 private:
  const store::Store& store_;
  std::vector<std::string> fact_keys_;
  std::vector<store::record::Finished> over_;
  const std::size_t numbered_;
  std::size_t fact_index_ = 0, over_index_ = 0;
  MessageId next_message_ = 0;  // the next is not below
  bool done_ = false;
};

// Each record of these frames, in order. False: they are not whole frames, and some were not read.
bool read_records(store::Salt salt, std::string_view frames,
                  const std::function<void(store::Record&&)>& visit);

}  // namespace heronvane::copies

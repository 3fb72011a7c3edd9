// Parses a long endpoint list in slices, so that a list of many thousand endpoints does not block the event
// loop. The result equals that of read_endpoint_list(). Does no input or output.
//
// The entries are cut out of the text and parsed one by one; the rest of the text, the frame, is parsed at
// the end.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "endpoint_list.hpp"
#include "settings.hpp"

namespace heronvane {

// Not thread-safe.
class ListReader {
 public:
  // `names` must outlive it.
  ListReader(std::string text, const heronvane::dispatch::adapter::NameTables& names);

  // Parses about `bytes` more bytes; true once the whole text is parsed. Throws WireError on a malformed
  // list; the result must not be used then.
  bool step(std::size_t bytes);

  // Moves the list out, once step() has returned true.
  EndpointList take() { return std::move(list_); }

 private:
  // The position of the scan relative to the array of entries.
  enum class Position { before_array, in_array, behind_array };

  void scan(char c);
  void scan_string(char c);
  void open_bracket(char c);
  void close_bracket();
  // Reads the entry that ends before `offset_`.
  void read_entry();
  void finish();

  std::string text_;
  const heronvane::dispatch::adapter::NameTables& names_;
  EndpointList list_;
  std::string frame_;       // the text without the entries, copied so far
  std::size_t offset_ = 0;  // of the next byte to scan
  std::size_t copied_ = 0;  // end of the text that was copied to the frame or cut out
  std::size_t entry_begin_ = 0;
  std::size_t string_begin_ = 0;
  int depth_ = 0;  // open brackets
  bool in_string_ = false;
  Position position_ = Position::before_array;
  std::string last_string_;  // the last string at depth 1
  bool done_ = false;
};

}  // namespace heronvane

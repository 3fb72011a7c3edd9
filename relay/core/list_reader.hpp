// Reads a long endpoint list in slices, with the result of read_endpoint_list(), so that a list of many
// thousand endpoints does not block the event loop. No input or output here.
//
// The entries of the list are cut out of the text and read one by one; what is left, the frame, is read at
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

  // Reads about so many bytes more; true once all is read. Throws WireError on a malformed list, of which
  // nothing is to be used then.
  bool step(std::size_t bytes);

  // The list, once all is read; it is moved out.
  EndpointList take() { return std::move(list_); }

 private:
  // Where the scan is, seen from the array whose entries are cut out.
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
  std::string frame_;       // the text without the entries, as far as it was copied
  std::size_t offset_ = 0;  // the byte that is looked at next
  std::size_t copied_ = 0;  // the end of what the frame has or leaves out
  std::size_t entry_begin_ = 0;
  std::size_t string_begin_ = 0;
  int depth_ = 0;  // open brackets
  bool in_string_ = false;
  Position position_ = Position::before_array;
  std::string last_string_;  // the last one in the outermost object
  bool done_ = false;
};

}  // namespace heronvane

// A list of endpoints, read in slices: as read_endpoint_list() reads it, a stretch of the text at a time, so
// that a list of many thousands does not hold up whoever reads it. No input or output here.
#pragma once

#include <cstddef>
#include <string>

#include "endpoint_list.hpp"
#include "settings.hpp"

namespace heronvane {

class ListReader {
 public:
  // `names` must outlive it.
  ListReader(std::string text, const heronvane::dispatch::adapter::NameTables& names);

  // Reads about so many bytes more; true once all is read. Throws WireError on what can't be read, naming the
  // field; nothing of the list counts then.
  bool step(std::size_t bytes);
  // Once all is read: the list, which goes with it.
  EndpointList take() { return std::move(list_); }

 private:
  void element();
  void finish();

  std::string text_;
  const heronvane::dispatch::adapter::NameTables& names_;
  EndpointList list_;
  std::string frame_;  // the text without the endpoints
  std::size_t at_ = 0, copied_ = 0, begin_ = 0, string_ = 0;
  int depth_ = 0;
  bool in_string_ = false, in_list_ = false, done_ = false;
  bool cut_ = true;   // its entries may yet be cut out of the frame
  std::string last_;  // the string read last, at the outermost level
};

}  // namespace heronvane

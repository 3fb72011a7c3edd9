// Cuts a stream of JSON objects into one text an object, however they are laid out: one a line, or over
// several. No input or output here; each byte is looked at once.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heronvane {

class ObjectSplitter {
 public:
  // What has come next.
  void put(std::string_view bytes) { text_ += bytes; }
  // The next whole object; nothing while none is whole. What can't be part of one comes back as it stands, to
  // the end of its line: whoever reads it finds it no object.
  std::optional<std::string> next();

  // An object has begun and is not whole.
  bool inside() const { return depth_ > 0 || in_string_; }
  // Lines that ended outside of an object, empty or not, since the start: a sign of life each.
  std::size_t line_ends() const { return line_ends_; }
  // Bytes that are not cut out yet.
  std::size_t size() const { return text_.size() - begin_; }

 private:
  std::string cut(std::size_t end);

  std::string text_;
  std::size_t begin_ = 0, at_ = 0;  // of what is being looked for, and what was looked at last
  std::size_t line_ends_ = 0;
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false, stray_ = false;
};

}  // namespace heronvane

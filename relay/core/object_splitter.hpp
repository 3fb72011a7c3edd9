// Splits a stream of JSON objects into one text for each object; an object may span several lines. Does no
// input or output, and scans each byte once.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heronvane {

// Not thread-safe.
class ObjectSplitter {
 public:
  // Appends the next bytes of the stream.
  void put(std::string_view bytes) { text_ += bytes; }

  // The next complete object; empty while there is none. Bytes that can't begin an object are returned up to
  // the end of their line, so that the caller's parser rejects them.
  std::optional<std::string> next();

  // Whether an object has begun and is not complete.
  bool inside() const { return depth_ > 0; }
  // The number of lines since the start that ended outside an object, empty or not: each counts as a
  // heartbeat.
  std::size_t line_ends() const { return line_ends_; }
  // The number of bytes that were not returned yet.
  std::size_t size() const { return text_.size() - begin_; }

 private:
  enum class State {
    between_objects,
    in_object,
    in_string,
    in_escape,     // after a backslash in a string
    in_stray_line  // a line that begins with a byte that can't begin an object
  };

  // Takes the byte at `offset_`; true if it completes the text that next() returns.
  bool consume(char c);
  void consume_between_objects(char c);
  bool consume_in_object(char c);
  // Removes and returns the text from `begin_` to `end`.
  std::string cut(std::size_t end);

  std::string text_;
  std::size_t begin_ = 0;   // of the object or line that is being scanned
  std::size_t offset_ = 0;  // of the next byte to scan
  std::size_t line_ends_ = 0;
  int depth_ = 0;  // open brackets
  State state_ = State::between_objects;
};

}  // namespace heronvane

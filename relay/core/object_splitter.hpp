// Cuts a stream of JSON objects into one text an object, whether they stand one a line or over several. No
// input or output here; each byte is looked at once.
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

  // The next complete object; nothing while there is none. Bytes that can't begin an object come back up to
  // the end of their line, for whoever parses them to reject.
  std::optional<std::string> next();

  // An object has begun and is not complete.
  bool inside() const { return depth_ > 0; }
  // Lines that ended outside of an object, empty or not, since the start: each is a heartbeat.
  std::size_t line_ends() const { return line_ends_; }
  // Bytes that are not cut out yet.
  std::size_t size() const { return text_.size() - begin_; }

 private:
  enum class State {
    between_objects,
    in_object,
    in_string,
    in_escape,     // behind a backslash in a string
    in_stray_line  // begun by what can't begin an object
  };

  // Takes the byte at `offset_`; true where it completes what next() returns.
  bool consume(char c);
  void consume_between_objects(char c);
  bool consume_in_object(char c);
  // The text from `begin_` to `end`, which goes out of this.
  std::string cut(std::size_t end);

  std::string text_;
  std::size_t begin_ = 0;   // of the object or line that is being read
  std::size_t offset_ = 0;  // the byte that is looked at next
  std::size_t line_ends_ = 0;
  int depth_ = 0;  // open brackets
  State state_ = State::between_objects;
};

}  // namespace heronvane

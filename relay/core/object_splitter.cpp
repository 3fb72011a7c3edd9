#include "core/object_splitter.hpp"

namespace heronvane {

std::string ObjectSplitter::cut(std::size_t end) {
  std::string object = text_.substr(begin_, end - begin_);
  begin_ = end;
  offset_ = end;
  // Erases the consumed part only once it exceeds half of the text, so that each byte is moved a bounded
  // number of times.
  if (begin_ > text_.size() / 2) {
    text_.erase(0, begin_);
    begin_ = 0;
    offset_ = 0;
  }
  return object;
}

std::optional<std::string> ObjectSplitter::next() {
  for (; offset_ < text_.size(); offset_++) {
    if (consume(text_[offset_])) return cut(offset_ + 1);
  }
  if (state_ == State::between_objects) cut(offset_);
  return std::nullopt;
}

bool ObjectSplitter::consume(char c) {
  switch (state_) {
    case State::between_objects:
      consume_between_objects(c);
      return false;
    case State::in_object:
      return consume_in_object(c);
    case State::in_string:
      if (c == '\\') state_ = State::in_escape;
      if (c == '"') state_ = State::in_object;
      return false;
    case State::in_escape:
      state_ = State::in_string;
      return false;
    case State::in_stray_line:
      if (c != '\n') return false;
      state_ = State::between_objects;
      line_ends_++;
      return true;
  }
  return false;
}

void ObjectSplitter::consume_between_objects(char c) {
  if (c == '\n') line_ends_++;
  if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
    begin_ = offset_ + 1;
    return;
  }
  if (c != '{') {
    state_ = State::in_stray_line;
    return;
  }
  state_ = State::in_object;
  depth_ = 1;
}

bool ObjectSplitter::consume_in_object(char c) {
  switch (c) {
    case '"':
      state_ = State::in_string;
      return false;
    case '{':
    case '[':
      depth_++;
      return false;
    case '}':
    case ']':
      depth_--;
      if (depth_ > 0) return false;
      state_ = State::between_objects;
      return true;
    default:
      return false;
  }
}

}  // namespace heronvane

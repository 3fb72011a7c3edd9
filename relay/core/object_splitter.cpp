#include "core/object_splitter.hpp"

namespace heronvane {

std::string ObjectSplitter::cut(std::size_t end) {
  std::string one = text_.substr(begin_, end - begin_);
  begin_ = at_ = end;
  // What was cut out goes once it is most of the text, so that each byte is moved only so often.
  if (begin_ > text_.size() / 2) {
    text_.erase(0, begin_);
    begin_ = at_ = 0;
  }
  return one;
}

std::optional<std::string> ObjectSplitter::next() {
  for (; at_ < text_.size(); at_++) {
    const char c = text_[at_];
    if (stray_) {
      if (c != '\n') continue;
      stray_ = false, line_ends_++;
      return cut(at_ + 1);
    }
    if (in_string_) {
      if (escaped_)
        escaped_ = false;
      else if (c == '\\')
        escaped_ = true;
      else if (c == '"')
        in_string_ = false;
      continue;
    }
    if (depth_ == 0) {
      if (c == '\n') line_ends_++;
      if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        begin_ = at_ + 1;
        continue;
      }
      if (c != '{') {
        stray_ = true;
        continue;
      }
    }
    switch (c) {
      case '"':
        in_string_ = true;
        break;
      case '{':
      case '[':
        depth_++;
        break;
      case '}':
      case ']':
        if (--depth_ == 0) return cut(at_ + 1);
        break;
      default:
        break;
    }
  }
  if (depth_ == 0 && !stray_) cut(at_);
  return std::nullopt;
}

}  // namespace heronvane

#include "core/list_reader.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace heronvane {

using namespace heronvane::dispatch::adapter;

namespace {

const std::string kPath = "members";            // name of the list in error texts
const std::string kEndpointsKey = "endpoints";  // the key of the array that holds the entries
constexpr const char* kWhitespace = " \t\r\n";
constexpr int kEntryDepth = 2;  // open brackets around an entry

// Parses iteratively: with recursion, thousands of open brackets would overflow the stack.
rapidjson::Document parse(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) throw_malformed(kPath, "is no JSON");
  return document;
}

}  // namespace

ListReader::ListReader(std::string text, const NameTables& names) : text_(std::move(text)), names_(names) {}

// Reads the entry as a list with one element.
void ListReader::read_entry() {
  const std::size_t content = text_.find_first_not_of(kWhitespace, entry_begin_);
  if (content >= offset_) throw_malformed(kPath + ".endpoints", "holds an empty entry");
  const std::string entry = text_.substr(entry_begin_, offset_ - entry_begin_);
  const auto document = parse(R"({"index":0,"snapshot":false,"endpoints":[)" + entry + "]}");
  auto read = read_endpoint_list(document, kPath, names_);
  std::move(read.endpoints.begin(), read.endpoints.end(), std::back_inserter(list_.endpoints));
}

void ListReader::finish() {
  frame_.append(text_, copied_);
  auto frame = read_endpoint_list(parse(frame_), kPath, names_);
  list_.index = frame.index;
  list_.snapshot = frame.snapshot;
  // The entries of an array that the scan did not recognize.
  if (!frame.endpoints.empty()) list_.endpoints = std::move(frame.endpoints);
  done_ = true;
}

void ListReader::scan_string(char c) {
  if (c == '\\') {
    // An escaped key may be the array's key: the whole list is then read with the frame.
    if (depth_ == 1) position_ = Position::behind_array;
    offset_++;
    return;
  }
  if (c != '"') return;
  in_string_ = false;
  if (depth_ == 1) last_string_ = text_.substr(string_begin_, offset_ - string_begin_);
}

void ListReader::open_bracket(char c) {
  depth_++;
  const bool is_array = depth_ == kEntryDepth && c == '[' && last_string_ == kEndpointsKey;
  if (!is_array || position_ != Position::before_array) return;
  position_ = Position::in_array;
  frame_.append(text_, copied_, offset_ + 1 - copied_);
  entry_begin_ = offset_ + 1;
}

void ListReader::close_bracket() {
  if (position_ == Position::in_array && depth_ == kEntryDepth) {
    const std::size_t content = text_.find_first_not_of(kWhitespace, entry_begin_);
    // An empty array is valid; an empty entry after a comma is an error.
    if (content < offset_ || text_[entry_begin_ - 1] == ',') read_entry();
    position_ = Position::behind_array;
    copied_ = offset_;
  }
  depth_--;
  if (depth_ <= 0) position_ = Position::behind_array;
}

void ListReader::scan(char c) {
  switch (c) {
    case '"':
      in_string_ = true;
      string_begin_ = offset_ + 1;
      break;
    case '{':
    case '[':
      open_bracket(c);
      break;
    case '}':
    case ']':
      close_bracket();
      break;
    case ',':
      if (position_ != Position::in_array || depth_ != kEntryDepth) break;
      read_entry();
      entry_begin_ = offset_ + 1;
      break;
    default:
      break;
  }
}

bool ListReader::step(std::size_t bytes) {
  const std::size_t until = std::min(text_.size(), offset_ + std::min(bytes, text_.size()));
  for (; offset_ < until; offset_++) {
    if (in_string_) {
      scan_string(text_[offset_]);
    } else {
      scan(text_[offset_]);
    }
  }
  if (offset_ < text_.size()) return false;
  if (!done_) finish();
  return true;
}

}  // namespace heronvane

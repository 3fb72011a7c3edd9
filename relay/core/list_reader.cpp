#include "core/list_reader.hpp"

#include <rapidjson/document.h>

#include <iterator>
#include <utility>

namespace heronvane {

using namespace heronvane::dispatch::adapter;

namespace {

const std::string kPath = "members";

// Not by recursion, which thousands of open brackets would take past the stack's end.
void parse(rapidjson::Document& v, const char* text, std::size_t size) {
  v.Parse<rapidjson::kParseIterativeFlag>(text, size);
  if (v.HasParseError()) throw_malformed(kPath, "is no JSON");
}

}  // namespace

ListReader::ListReader(std::string text, const NameTables& names) : text_(std::move(text)), names_(names) {}

// One entry of the list, as a list of its own.
void ListReader::element() {
  const std::size_t size = at_ - begin_;
  const std::size_t content = text_.find_first_not_of(" \t\r\n", begin_);
  if (content >= at_) throw_malformed(kPath + ".endpoints", "holds an empty entry");
  static const std::string head = R"({"index":0,"snapshot":false,"endpoints":[)";
  const std::string one = head + text_.substr(begin_, size) + "]}";
  rapidjson::Document v;
  parse(v, one.data(), one.size());
  auto read = read_endpoint_list(v, kPath, names_);
  std::move(read.endpoints.begin(), read.endpoints.end(), std::back_inserter(list_.endpoints));
}

void ListReader::finish() {
  frame_.append(text_, copied_);
  rapidjson::Document v;
  parse(v, frame_.data(), frame_.size());
  auto frame = read_endpoint_list(v, kPath, names_);
  list_.index = frame.index, list_.snapshot = frame.snapshot;
  // Not cut out of it.
  if (!frame.endpoints.empty()) list_.endpoints = std::move(frame.endpoints);
  done_ = true;
}

bool ListReader::step(std::size_t bytes) {
  const std::size_t until = std::min(text_.size(), at_ + std::min(bytes, text_.size()));
  for (; at_ < until; at_++) {
    const char c = text_[at_];
    if (in_string_) {
      if (c == '\\') {
        // A name may be written in more than one way: then it is all read as the frame.
        if (depth_ == 1) cut_ = false;
        at_++;
      } else if (c == '"') {
        in_string_ = false;
        if (depth_ == 1) last_ = text_.substr(string_, at_ - string_);
      }
      continue;
    }
    switch (c) {
      case '"':
        in_string_ = true, string_ = at_ + 1;
        break;
      case '{':
      case '[':
        // The array behind "endpoints" in the outermost object; its entries are cut out of the frame.
        if (++depth_ == 2 && c == '[' && cut_ && last_ == "endpoints") {
          in_list_ = true, cut_ = false;  // the first of that name counts
          frame_.append(text_, copied_, at_ + 1 - copied_);
          begin_ = at_ + 1;
        }
        break;
      case '}':
      case ']':
        if (in_list_ && depth_ == 2) {
          const std::size_t content = text_.find_first_not_of(" \t\r\n", begin_);
          // Nothing but a comma may stand before an empty entry.
          const bool some = content < at_ || text_[begin_ - 1] == ',';
          if (some) element();
          in_list_ = false, copied_ = at_;
        }
        if (--depth_ <= 0) cut_ = false;
        break;
      case ',':
        if (!in_list_ || depth_ != 2) break;
        element();
        begin_ = at_ + 1;
        break;
      default:
        break;
    }
  }
  if (at_ < text_.size()) return false;
  if (!done_) finish();
  return true;
}

}  // namespace heronvane

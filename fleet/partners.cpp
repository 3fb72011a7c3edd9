#include "partners.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace heronvane::fleet {

namespace {

constexpr std::size_t kMaxProblems = 20;
constexpr std::size_t kMaxTextBytes = 256;                // bytes
constexpr std::int64_t kMaxUnixMs = 100'000'000'000'000;  // the limit of relays
constexpr double kMaxWeight = 1e6;

// Input stream for rapidjson that counts lines.
class Stream {
 public:
  using Ch = char;
  explicit Stream(std::string_view text) : at_(text.data()), begin_(at_), end_(at_ + text.size()) {}
  char Peek() const { return at_ == end_ ? '\0' : *at_; }
  char Take() {
    if (at_ == end_) return '\0';
    line_ += *at_ == '\n';
    return *at_++;
  }
  std::size_t Tell() const { return static_cast<std::size_t>(at_ - begin_); }
  std::size_t line() const { return line_; }
  // Required by the Stream concept; only in-situ parsing would use them.
  char* PutBegin() { return nullptr; }
  void Put(char) {}
  void Flush() {}
  std::size_t PutEnd(char*) { return 0; }

 private:
  const char *at_, *begin_, *end_;
  std::size_t line_ = 1;
};

enum class Field { name, address, zone, type, group, status, weight, since_ms, unknown };
constexpr std::array<const char*, 8> kFields = {"name",  "address", "zone",   "type",
                                                "group", "status",  "weight", "since_ms"};

std::string quoted(std::string_view text) {
  std::string out = "'";
  for (const char c : text.substr(0, 60)) out += static_cast<unsigned char>(c) < ' ' || c == '\x7f' ? '?' : c;
  return out + (text.size() > 60 ? "...'" : "'");
}

// Returns what is wrong with the address, or "". Relays parse the part before the last colon as a numeric
// address.
std::string address_problem(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return quoted(text) + " has no port";
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  if (ec || address.is_unspecified()) return quoted(text) + " is not a numeric address with a port";
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port == 0) return quoted(text) + " does not end in a port";
  return "";
}

class Handler {
 public:
  Handler(const Stream& stream, PartnerList& list) : stream_(stream), list_(list) {}

  // ---- SAX handler of rapidjson; false ends the parse. ----
  bool Null() {
    if (position_ == Position::entry) return true;  // as if the field were absent
    return scalar_outside_entry();
  }
  bool Bool(bool) { return position_ == Position::entry ? wrong_type() : scalar_outside_entry(); }
  bool Int(int n) { return Int64(n); }
  bool Uint(unsigned n) { return Int64(n); }
  bool Uint64(std::uint64_t n) {
    return n <= INT64_MAX ? Int64(static_cast<std::int64_t>(n)) : too_large_integer();
  }
  bool Int64(std::int64_t n) { return position_ == Position::entry ? integer(n) : scalar_outside_entry(); }
  bool Double(double n) { return position_ == Position::entry ? number(n) : scalar_outside_entry(); }
  bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
  bool String(const char* s, rapidjson::SizeType n, bool) {
    return position_ == Position::entry ? text({s, n}) : scalar_outside_entry();
  }
  bool StartObject() {
    if (position_ == Position::before) return position_ = Position::top, true;
    if (position_ == Position::list) {
      if (list_.endpoints.size() >= kMaxPartners) {
        add_problem("endpoints", "more than " + std::to_string(kMaxPartners) + " entries",
                    "split the list between platforms");
        return false;
      }
      list_.endpoints.emplace_back();
      seen_fields_.fill(false);
      position_ = Position::entry;
      return true;
    }
    return unexpected_value();
  }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    const std::string_view key(s, n);
    return position_ == Position::top ? top_key(key) : entry_key(key);
  }
  bool EndObject(rapidjson::SizeType) {
    if (position_ == Position::entry) return position_ = Position::list, end_entry();
    position_ = Position::after;
    if (!has_endpoints_)
      add_problem("endpoints", "missing", "write {\"endpoints\":[...]}; an empty list is []");
    return can_add_problem();
  }
  bool StartArray() {
    if (position_ == Position::top && top_ == Top::endpoints) return position_ = Position::list, true;
    return unexpected_value();
  }
  bool EndArray(rapidjson::SizeType) { return position_ = Position::top, true; }

 private:
  enum class Position { before, top, list, entry, after };
  enum class Top { endpoints, ignored };

  bool can_add_problem() const { return list_.problems.size() < kMaxProblems; }
  bool add_problem(std::string field, std::string what, std::string hint) {
    if (can_add_problem())
      list_.problems.push_back({stream_.line(), std::move(field), std::move(what), std::move(hint)});
    return can_add_problem();
  }
  std::string entry_path() const { return "endpoints[" + std::to_string(list_.endpoints.size() - 1) + "]"; }
  std::string entry_path(const std::string& field) const { return entry_path() + "." + field; }
  bool add_field_problem(std::string what, std::string hint) {
    return add_problem(
        entry_path(unknown_.empty() ? kFields[static_cast<std::size_t>(field_)] : unknown_.c_str()),
        std::move(what), std::move(hint));
  }
  Endpoint& current() { return list_.endpoints.back(); }

  bool unexpected_value() {
    switch (position_) {
      case Position::before:
      case Position::after:
        add_problem("", "the text is not an object", "write {\"endpoints\":[...]}");
        break;
      case Position::top:
        add_problem(top_ == Top::endpoints ? "endpoints" : "index, snapshot",
                    "is neither an array nor absent", "write {\"endpoints\":[...]}");
        break;
      case Position::list:
        add_problem("endpoints", "contains an element that is not an object",
                    "write each endpoint as {\"name\":..}");
        break;
      case Position::entry:
        wrong_type();
        break;
    }
    return false;  // its content would be read as fields of an endpoint
  }
  bool scalar_outside_entry() {
    if (position_ == Position::top && top_ == Top::ignored) return true;
    return unexpected_value();
  }
  bool wrong_type() {
    switch (field_) {
      case Field::group:
      case Field::since_ms:
        return add_field_problem("is not a whole number", "write it as a number without quotes, such as 7");
      case Field::weight:
        return add_field_problem("is not a number", "write it as a number without quotes, such as 1.0");
      case Field::status:
        return add_field_problem("is not a string", "write \"ready\" or \"draining\"");
      case Field::unknown:
        return true;  // reported with its key
      case Field::name:
      case Field::address:
      case Field::zone:
      case Field::type:
        break;
    }
    return add_field_problem("is not a string", "write it in double quotes");
  }
  bool too_large_integer() {
    if (position_ != Position::entry) return scalar_outside_entry();
    return field_ == Field::weight ? number(1e18) : wrong_type();
  }

  bool top_key(std::string_view key) {
    if (key == "endpoints") {
      if (has_endpoints_) return add_problem("endpoints", "occurs twice", "keep one of them"), false;
      has_endpoints_ = true;
      top_ = Top::endpoints;
      return true;
    }
    top_ = Top::ignored;
    if (key == "index" || key == "snapshot") return true;
    add_problem(std::string(quoted(key)), "is not a field of a partner list",
                "write the list as \"endpoints\"");
    return false;
  }
  bool entry_key(std::string_view key) {
    const auto it = std::find(kFields.begin(), kFields.end(), key);
    field_ = static_cast<Field>(it - kFields.begin());
    unknown_ = field_ == Field::unknown ? quoted(key) : "";
    if (field_ == Field::unknown)
      return add_field_problem(
          "is not a field of an endpoint",
          "the fields are name, address, zone, type, group, status, weight and since_ms");
    bool& seen = seen_fields_[static_cast<std::size_t>(field_)];
    if (seen) return add_field_problem("occurs twice", "keep one of them");
    return seen = true;
  }

  bool text(std::string_view s) {
    const bool control = std::any_of(
        s.begin(), s.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
    if (control) return add_field_problem("contains control characters", "remove them");
    if (s.size() > kMaxTextBytes)
      return add_field_problem("is longer than " + std::to_string(kMaxTextBytes) + " bytes", "shorten it");
    switch (field_) {
      case Field::name:
        if (s.empty()) return add_field_problem("is empty", "give the endpoint a permanent name");
        current().name = s;
        return true;
      case Field::address: {
        current().address = s;
        const std::string address_error = address_problem(current().address);
        return address_error.empty() ||
               add_field_problem(address_error, "write a numeric address and a port, such as 10.1.0.18:8081");
      }
      case Field::zone:
        return current().zone = s, true;
      case Field::type:
        return current().type = s, true;
      case Field::status:
        if (s == "draining") return current().status = Status::draining, true;
        if (s == "ready") return true;
        return add_field_problem(quoted(s) + " is not a status",
                                 "write \"ready\" or \"draining\"; to remove an endpoint, delete its entry");
      case Field::group:
      case Field::weight:
      case Field::since_ms:
      case Field::unknown:
        break;
    }
    return wrong_type();
  }
  bool integer(std::int64_t n) {
    if (field_ == Field::group) return current().group = n, true;
    if (field_ == Field::weight) return number(static_cast<double>(n));
    if (field_ != Field::since_ms) return wrong_type();
    if (n < 0 || n > kMaxUnixMs)
      return add_field_problem("is out of range", "write Unix time in milliseconds, or 0 for long ago");
    return current().since_ms = n, true;
  }
  bool number(double n) {
    if (field_ != Field::weight) return wrong_type();
    if (!std::isfinite(n) || n < 0 || n > kMaxWeight)
      return add_field_problem("is out of range", "write a number from 0 to 1000000");
    return current().weight = n, true;
  }

  bool end_entry() {
    for (const Field required : {Field::name, Field::address, Field::group}) {
      field_ = required;
      unknown_.clear();
      if (!seen_fields_[static_cast<std::size_t>(required)] &&
          !add_field_problem("is missing", "the field is required"))
        return false;
    }
    if (current().name.empty()) return can_add_problem();
    const auto [it, is_new] = lines_.emplace(current().name, stream_.line());
    field_ = Field::name;
    return is_new || add_field_problem(quoted(current().name) + " is also the name of the entry on line " +
                                           std::to_string(it->second),
                                       "names must be unique: rename or delete one of the entries");
  }

  const Stream& stream_;
  PartnerList& list_;
  Position position_ = Position::before;
  Top top_ = Top::ignored;
  Field field_ = Field::name;
  std::string unknown_;  // the key, if it is not a known field
  bool has_endpoints_ = false;
  std::array<bool, kFields.size()> seen_fields_{};
  std::unordered_map<std::string, std::size_t> lines_;
};

}  // namespace

std::string PartnerProblem::text() const {
  return (line > 0 ? "line " + std::to_string(line) + ": " : "") + (field.empty() ? "" : field + " ") + what +
         "; " + hint;
}

std::string PartnerList::error() const {
  std::string all;
  for (const auto& p : problems) all += (all.empty() ? "" : " | ") + p.text();
  return all;
}

PartnerList read_partners(std::string_view text) {
  PartnerList list;
  const auto refuse = [&](PartnerProblem problem) {
    list.endpoints.clear();
    list.problems.push_back(std::move(problem));
    return std::move(list);
  };
  if (text.size() > kMaxPartnersBytes)
    return refuse({0, "", "the list has " + std::to_string(text.size()) + " bytes",
                   "keep it under " + std::to_string(kMaxPartnersBytes)});
  if (const auto zero = text.find('\0'); zero != std::string_view::npos)
    return refuse({1 + static_cast<std::size_t>(
                           std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(zero), '\n')),
                   "", "the text contains a byte 0", "write the file as UTF-8 text"});
  Stream stream(text);
  Handler handler(stream, list);
  rapidjson::Reader reader;
  // Iterative: recursive parsing of thousands of nested brackets would overflow the stack.
  // Not at full precision: RapidJSON 1.1 computes clz(0) there for a zero with a large exponent.
  constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
  const auto result = reader.Parse<kFlags>(stream, handler);
  if (result.IsError() && result.Code() != rapidjson::kParseErrorTermination)
    return refuse({stream.line(), "",
                   std::string("the text is not JSON: ") + rapidjson::GetParseError_En(result.Code()),
                   "check commas, quotes and brackets on this line and the one before"});
  if (!list.ok()) list.endpoints.clear();
  return list;
}

}  // namespace heronvane::fleet

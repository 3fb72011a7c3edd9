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

constexpr std::size_t kMostProblems = 20;
constexpr std::size_t kMostName = 256;                     // bytes
constexpr std::int64_t kMostMoment = 100'000'000'000'000;  // ms, as relays take it
constexpr double kMostWeight = 1e6;

// The text as rapidjson reads it, with the number of the line.
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
  // Asked for by the concept; only reading in place would use them.
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

// "" or what is wrong with it. Relays take the part before the last colon as a numeric address.
std::string address_fault(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return quoted(text) + " has no port";
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad || address.is_unspecified()) return quoted(text) + " holds no numeric address";
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port == 0) return quoted(text) + " ends in no port";
  return "";
}

class Handler {
 public:
  Handler(const Stream& stream, PartnerList& list) : stream_(stream), list_(list) {}

  // ---- What rapidjson calls; false ends the reading. ----
  bool Null() {
    if (place_ == Place::entry) return true;  // as if it were left out
    return scalar_outside();
  }
  bool Bool(bool) { return place_ == Place::entry ? wrong_type() : scalar_outside(); }
  bool Int(int n) { return Int64(n); }
  bool Uint(unsigned n) { return Int64(n); }
  bool Uint64(std::uint64_t n) { return n <= INT64_MAX ? Int64(static_cast<std::int64_t>(n)) : huge(); }
  bool Int64(std::int64_t n) { return place_ == Place::entry ? integer(n) : scalar_outside(); }
  bool Double(double n) { return place_ == Place::entry ? number(n) : scalar_outside(); }
  bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
  bool String(const char* s, rapidjson::SizeType n, bool) {
    return place_ == Place::entry ? text({s, n}) : scalar_outside();
  }
  bool StartObject() {
    if (place_ == Place::before) return place_ = Place::top, true;
    if (place_ == Place::list) {
      if (list_.endpoints.size() >= kMostPartners) {
        problem("endpoints", "more than " + std::to_string(kMostPartners) + " entries",
                "split the list between platforms");
        return false;
      }
      list_.endpoints.emplace_back();
      seen_.fill(false);
      place_ = Place::entry;
      return true;
    }
    return structure();
  }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    const std::string_view key(s, n);
    return place_ == Place::top ? top_key(key) : entry_key(key);
  }
  bool EndObject(rapidjson::SizeType) {
    if (place_ == Place::entry) return place_ = Place::list, entry_ended();
    place_ = Place::after;
    if (!listed_) problem("endpoints", "missing", "write {\"endpoints\":[...]}; an empty list is []");
    return room();
  }
  bool StartArray() {
    if (place_ == Place::top && top_ == Top::endpoints) return place_ = Place::list, true;
    return structure();
  }
  bool EndArray(rapidjson::SizeType) { return place_ = Place::top, true; }

 private:
  enum class Place { before, top, list, entry, after };
  enum class Top { endpoints, ignored };

  bool room() const { return list_.problems.size() < kMostProblems; }
  bool problem(std::string field, std::string what, std::string hint) {
    if (room())
      list_.problems.push_back({stream_.line(), std::move(field), std::move(what), std::move(hint)});
    return room();
  }
  std::string where() const { return "endpoints[" + std::to_string(list_.endpoints.size() - 1) + "]"; }
  std::string where(const std::string& field) const { return where() + "." + field; }
  bool fault(std::string what, std::string hint) {
    return problem(where(unknown_.empty() ? kFields[static_cast<std::size_t>(field_)] : unknown_.c_str()),
                   std::move(what), std::move(hint));
  }
  Endpoint& now() { return list_.endpoints.back(); }

  bool structure() {
    switch (place_) {
      case Place::before:
      case Place::after:
        problem("", "the text is no object", "write {\"endpoints\":[...]}");
        break;
      case Place::top:
        problem(top_ == Top::endpoints ? "endpoints" : "index, snapshot", "is neither a list nor left out",
                "write {\"endpoints\":[...]}");
        break;
      case Place::list:
        problem("endpoints", "holds something that is no object", "write each endpoint as {\"name\":..}");
        break;
      case Place::entry:
        wrong_type();
        break;
    }
    return false;  // what it holds would be read as fields of something else
  }
  bool scalar_outside() {
    if (place_ == Place::top && top_ == Top::ignored) return true;
    return structure();
  }
  bool wrong_type() {
    switch (field_) {
      case Field::group:
      case Field::since_ms:
        return fault("is no whole number", "write it as a number without quotes, such as 7");
      case Field::weight:
        return fault("is no number", "write it as a number without quotes, such as 1.0");
      case Field::status:
        return fault("is no text", "write \"ready\" or \"draining\"");
      case Field::unknown:
        return true;  // told with its key
      case Field::name:
      case Field::address:
      case Field::zone:
      case Field::type:
        break;
    }
    return fault("is no text", "write it in double quotes");
  }
  bool huge() {
    if (place_ != Place::entry) return scalar_outside();
    return field_ == Field::weight ? number(1e18) : wrong_type();
  }

  bool top_key(std::string_view key) {
    if (key == "endpoints") {
      if (listed_) return problem("endpoints", "stands twice", "keep one of them"), false;
      listed_ = true;
      top_ = Top::endpoints;
      return true;
    }
    top_ = Top::ignored;
    if (key == "index" || key == "snapshot") return true;
    problem(std::string(quoted(key)), "is no field of a partner list", "the list stands in \"endpoints\"");
    return false;
  }
  bool entry_key(std::string_view key) {
    const auto it = std::find(kFields.begin(), kFields.end(), key);
    field_ = static_cast<Field>(it - kFields.begin());
    unknown_ = field_ == Field::unknown ? quoted(key) : "";
    if (field_ == Field::unknown)
      return fault("is no field of an endpoint",
                   "the fields are name, address, zone, type, group, status, weight and since_ms");
    bool& seen = seen_[static_cast<std::size_t>(field_)];
    if (seen) return fault("stands twice", "keep one of them");
    return seen = true;
  }

  bool text(std::string_view s) {
    const bool control = std::any_of(
        s.begin(), s.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
    if (control) return fault("holds control characters", "take them out");
    if (s.size() > kMostName)
      return fault("is longer than " + std::to_string(kMostName) + " bytes", "shorten it");
    switch (field_) {
      case Field::name:
        if (s.empty()) return fault("is empty", "give the endpoint a name that it keeps");
        now().name = s;
        return true;
      case Field::address: {
        now().address = s;
        const std::string wrong = address_fault(now().address);
        return wrong.empty() || fault(wrong, "write a numeric address and a port, such as 10.1.0.18:8081");
      }
      case Field::zone:
        return now().zone = s, true;
      case Field::type:
        return now().type = s, true;
      case Field::status:
        if (s == "draining") return now().status = Status::draining, true;
        if (s == "ready") return true;
        return fault(quoted(s) + " is no status",
                     "write \"ready\" or \"draining\"; take out the entry of one that is gone");
      case Field::group:
      case Field::weight:
      case Field::since_ms:
      case Field::unknown:
        break;
    }
    return wrong_type();
  }
  bool integer(std::int64_t n) {
    if (field_ == Field::group) return now().group = n, true;
    if (field_ == Field::weight) return number(static_cast<double>(n));
    if (field_ != Field::since_ms) return wrong_type();
    if (n < 0 || n > kMostMoment)
      return fault("is out of range", "write Unix time in milliseconds, or 0 for long ago");
    return now().since_ms = n, true;
  }
  bool number(double n) {
    if (field_ != Field::weight) return wrong_type();
    if (!std::isfinite(n) || n < 0 || n > kMostWeight)
      return fault("is out of range", "write a number from 0 to 1000000");
    return now().weight = n, true;
  }

  bool entry_ended() {
    for (const Field must : {Field::name, Field::address, Field::group}) {
      field_ = must;
      unknown_.clear();
      if (!seen_[static_cast<std::size_t>(must)] && !fault("is missing", "each endpoint needs it"))
        return false;
    }
    if (now().name.empty()) return room();
    const auto [it, fresh] = lines_.emplace(now().name, stream_.line());
    field_ = Field::name;
    return fresh ||
           fault(quoted(now().name) + " is also the name of the entry on line " + std::to_string(it->second),
                 "names are unique: rename one or take it out");
  }

  const Stream& stream_;
  PartnerList& list_;
  Place place_ = Place::before;
  Top top_ = Top::ignored;
  Field field_ = Field::name;
  std::string unknown_;  // the key, where it is no field
  bool listed_ = false;
  std::array<bool, kFields.size()> seen_{};
  std::unordered_map<std::string, std::size_t> lines_;
};

}  // namespace

std::string PartnerProblem::text() const {
  return (line > 0 ? "line " + std::to_string(line) + ": " : "") + (field.empty() ? "" : field + " ") + what +
         "; " + hint;
}

std::string PartnerList::trouble() const {
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
  if (text.size() > kMostPartnersBytes)
    return refuse({0, "", "the list holds " + std::to_string(text.size()) + " bytes",
                   "keep it under " + std::to_string(kMostPartnersBytes)});
  if (const auto zero = text.find('\0'); zero != std::string_view::npos)
    return refuse({1 + static_cast<std::size_t>(
                           std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(zero), '\n')),
                   "", "a byte 0 stands there", "write the file anew, as UTF-8 text"});
  Stream stream(text);
  Handler handler(stream, list);
  rapidjson::Reader reader;
  // Not by recursion, which thousands of open brackets would take past the stack's end.
  constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseFullPrecisionFlag;
  const auto result = reader.Parse<kFlags>(stream, handler);
  if (result.IsError() && result.Code() != rapidjson::kParseErrorTermination)
    return refuse({stream.line(), "",
                   std::string("it is no JSON there: ") + rapidjson::GetParseError_En(result.Code()),
                   "check commas, quotes and brackets there and on the line before"});
  if (!list.ok()) list.endpoints.clear();
  return list;
}

}  // namespace heronvane::fleet

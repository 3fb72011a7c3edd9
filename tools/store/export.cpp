// export: for programs. The fields are listed in docs/operate/store-tool.md.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "commands.hpp"
#include "text.hpp"

namespace heronvane::store::tool {
namespace {

class Line {
 public:
  Line(const char* type, std::ostream& out) : out_(out), w_(buffer_) {
    w_.StartObject();
    field("type", std::string_view(type));
  }
  ~Line() {
    w_.EndObject();
    out_ << buffer_.GetString() << '\n';
  }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  rapidjson::Writer<rapidjson::StringBuffer>& writer() { return w_; }
  // JSON holds no bytes that are not UTF-8: those go to `key`_base64.
  void field(const std::string& key, std::string_view text) {
    if (is_utf8(text))
      w_.Key(key.c_str()), string(text);
    else
      bytes(key + "_base64", text);
  }
  void bytes(const std::string& key, std::string_view text) { w_.Key(key.c_str()), string(base64(text)); }
  void field(const char* key, std::int64_t v) { w_.Key(key), w_.Int64(v); }
  void field(const char* key, std::uint64_t v) { w_.Key(key), w_.Uint64(v); }
  void field(const char* key, bool v) { w_.Key(key), w_.Bool(v); }
  void field(const char* key, std::optional<std::int64_t> v) {
    w_.Key(key);
    if (v)
      w_.Int64(*v);
    else
      w_.Null();
  }

 private:
  void string(std::string_view text) {
    w_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  }
  std::ostream& out_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> w_;
};

void put(const Folder& folder, MessageId number, const Held& h, std::ostream& out) {
  const Message& m = h.message;
  Line line("message", out);
  line.field("number", static_cast<std::uint64_t>(number));
  line.field("id", std::string_view(m.id));
  line.field("class", std::string_view(m.message_class));
  line.field("tenant", std::string_view(m.tenant));
  line.field("destination", m.destination);
  line.field("deadline", m.deadline + folder.to_wall);
  line.field("deadline_left", m.deadline - folder.now);
  line.field("repeat", m.repeat);
  if (!m.idempotency_key.empty()) line.field("idempotency_key", std::string_view(m.idempotency_key));
  auto& w = line.writer();
  w.Key("attempts"), w.StartArray();
  for (const auto& a : h.attempts) {
    w.StartObject();
    line.field("sent", a.sent == 0 ? std::nullopt : std::optional<std::int64_t>(a.sent + folder.to_wall));
    line.field("zone", a.zone < 0 ? std::nullopt : std::optional<std::int64_t>(a.zone));
    w.Key("outcome");
    if (a.outcome)
      w.String(name_of(*a.outcome));
    else
      w.Null();
    w.EndObject();
  }
  w.EndArray();
  w.Key("ending");
  if (h.ending) {
    w.StartObject();
    line.field("deferred", h.ending->deferred);
    line.field("again", static_cast<std::int64_t>(h.ending->again));
    w.EndObject();
  } else {
    w.Null();
  }
  line.field("doubt", h.doubt);
  line.field("may_have_run", h.possibly_executed());
  line.bytes("body_base64", m.body);
}

}  // namespace

void write_json(const Folder& folder, std::ostream& out) {
  const Table& table = folder.contents.table;
  for (const auto& [number, h] : table.held()) put(folder, number, h, out);
  for (const auto& over : table.remembered_ids()) {
    Line line("remembered", out);
    line.field("number", static_cast<std::uint64_t>(over.number));
    line.field("id", std::string_view(over.id));
    line.field("until", over.remember_until + folder.to_wall);
  }
  for (const auto& [key, value] : table.facts()) {
    Line line("fact", out);
    line.field("key", std::string_view(key));
    line.field("value", std::string_view(value));
  }
}

}  // namespace heronvane::store::tool

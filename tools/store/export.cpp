// export: output for programs. docs/operate/store-tool.md lists the fields.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "commands.hpp"
#include "text.hpp"

namespace heronvane::store::tool {
namespace {

class Line {
 public:
  Line(const char* type, std::ostream& out) : out_(out), writer_(buffer_) {
    writer_.StartObject();
    field("type", std::string_view(type));
  }
  ~Line() {
    writer_.EndObject();
    out_ << buffer_.GetString() << '\n';
  }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  rapidjson::Writer<rapidjson::StringBuffer>& writer() { return writer_; }
  // JSON can't contain bytes that are not UTF-8: such values are written as `key`_base64.
  void field(const std::string& key, std::string_view text) {
    if (is_utf8(text))
      writer_.Key(key.c_str()), string(text);
    else
      bytes(key + "_base64", text);
  }
  void bytes(const std::string& key, std::string_view text) {
    writer_.Key(key.c_str()), string(base64(text));
  }
  void field(const char* key, std::int64_t value) { writer_.Key(key), writer_.Int64(value); }
  void field(const char* key, std::uint64_t value) { writer_.Key(key), writer_.Uint64(value); }
  void field(const char* key, bool value) { writer_.Key(key), writer_.Bool(value); }
  void field(const char* key, std::optional<std::int64_t> value) {
    writer_.Key(key);
    if (value)
      writer_.Int64(*value);
    else
      writer_.Null();
  }

 private:
  void string(std::string_view text) {
    writer_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  }
  std::ostream& out_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

void write_message(const Folder& folder, MessageId number, const Held& held, std::ostream& out) {
  const Message& message = held.message;
  Line line("message", out);
  line.field("number", static_cast<std::uint64_t>(number));
  line.field("id", std::string_view(message.id));
  line.field("class", std::string_view(message.message_class));
  line.field("tenant", std::string_view(message.tenant));
  line.field("destination", message.destination);
  line.field("deadline", message.deadline + folder.wall_offset);
  line.field("deadline_left", message.deadline - folder.now);
  line.field("repeat", message.repeat);
  if (!message.idempotency_key.empty())
    line.field("idempotency_key", std::string_view(message.idempotency_key));
  auto& writer = line.writer();
  writer.Key("attempts"), writer.StartArray();
  for (const auto& attempt : held.attempts) {
    writer.StartObject();
    line.field("sent", attempt.sent == 0 ? std::nullopt
                                         : std::optional<std::int64_t>(attempt.sent + folder.wall_offset));
    line.field("zone", attempt.zone < 0 ? std::nullopt : std::optional<std::int64_t>(attempt.zone));
    writer.Key("outcome");
    if (attempt.outcome)
      writer.String(name_of(*attempt.outcome));
    else
      writer.Null();
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("ending");
  if (held.ending) {
    writer.StartObject();
    line.field("deferred", held.ending->deferred);
    line.field("again", static_cast<std::int64_t>(held.ending->again));
    writer.EndObject();
  } else {
    writer.Null();
  }
  line.field("doubt", held.doubt);
  line.field("may_have_run", held.possibly_executed());
  line.bytes("body_base64", message.body);
}

}  // namespace

void write_json(const Folder& folder, std::ostream& out) {
  const Table& table = folder.contents.table;
  for (const auto& [number, held] : table.held()) write_message(folder, number, held, out);
  for (const auto& over : table.remembered_ids()) {
    Line line("remembered", out);
    line.field("number", static_cast<std::uint64_t>(over.number));
    line.field("id", std::string_view(over.id));
    line.field("until", over.remember_until + folder.wall_offset);
  }
  for (const auto& [key, value] : table.facts()) {
    Line line("fact", out);
    line.field("key", std::string_view(key));
    line.field("value", std::string_view(value));
  }
}

}  // namespace heronvane::store::tool

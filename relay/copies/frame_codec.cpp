#include "frame_codec.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstring>
#include <stdexcept>

namespace heronvane::copies {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;
using rapidjson::Value;

struct UnreadableError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- Encoding. Each value is a JSON array of fixed shape. ----
void put(Json& json, std::uint64_t number) { json.Uint64(number); }
void put(Json& json, const std::string& text) {
  json.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}
void put(Json& json, const Member& member) {
  json.StartArray(), put(json, member.name), put(json, member.incarnation), json.EndArray();
}
void put(Json& json, const Epoch& epoch) {
  json.StartArray(), put(json, epoch.number), put(json, epoch.claimant), json.EndArray();
}
void put(Json& json, const Version& version) {
  json.StartArray(), put(json, version.epoch), put(json, version.number), json.EndArray();
}
void put(Json& json, const std::vector<Member>& members) {
  json.StartArray();
  for (const auto& member : members) put(json, member);
  json.EndArray();
}
void put(Json& json, const Config& config) {
  json.StartArray(), put(json, config.version), put(json, config.replicas), put(json, config.next),
      json.EndArray();
}
void put(Json& json, const std::optional<Moved>& moved) {
  json.StartArray();
  if (moved) put(json, moved->epoch), put(json, moved->into);
  json.EndArray();
}

// Of entries only the epochs and lengths are written here. Their bytes are the body of the frame.
struct MessageWriter {
  Json& json;
  void tag(const char* name) const { json.String(name); }
  void operator()(const protocol::Append& message) const {
    tag("append"), put(json, message.epoch), put(json, message.after), put(json, message.after_epoch),
        put(json, message.config);
    json.StartArray();
    for (const auto& entry : message.entries) {
      json.StartArray();
      if (entry.epoch == message.epoch)
        json.Null();
      else
        put(json, entry.epoch);
      put(json, static_cast<std::uint64_t>(entry.bytes.size()));
      json.EndArray();
    }
    json.EndArray();
  }
  void operator()(const protocol::Appended& message) const {
    tag("appended"), put(json, message.epoch), put(json, message.last), put(json, message.config);
  }
  void operator()(const protocol::Behind& message) const {
    tag("behind"), put(json, message.epoch), put(json, message.last), put(json, message.last_epoch);
  }
  void operator()(const protocol::Snapshot& message) const {
    tag("snapshot"), put(json, message.epoch), put(json, message.last), put(json, message.last_epoch),
        put(json, message.config);
  }
  void operator()(const protocol::Refused& message) const { tag("refused"), put(json, message.promised); }
  void operator()(const protocol::Claim& message) const { tag("claim"), put(json, message.epoch); }
  void operator()(const protocol::Promised& message) const {
    tag("promised"), put(json, message.epoch), put(json, message.last), put(json, message.last_epoch),
        put(json, message.config);
    put(json, message.moved);
  }
  void operator()(const protocol::Read& message) const { tag("read"), put(json, message.epoch); }
  void operator()(const protocol::State& message) const {
    tag("state"), put(json, message.epoch), put(json, message.last), put(json, message.last_epoch);
  }
  void operator()(const protocol::Move& message) const {
    tag("move"), put(json, message.epoch), put(json, message.into);
  }
  void operator()(const protocol::Accepted& message) const { tag("accepted"), put(json, message.epoch); }
};

std::string make_frame(const rapidjson::StringBuffer& head, const std::vector<std::string_view>& body) {
  std::uint64_t size = 0;
  for (const auto& part : body) size += part.size();
  const std::uint32_t lengths[2] = {static_cast<std::uint32_t>(head.GetSize()),
                                    static_cast<std::uint32_t>(size)};
  std::string frame;
  frame.reserve(kFrameHeaderBytes + head.GetSize() + size);
  frame.append(reinterpret_cast<const char*>(lengths), sizeof lengths);
  frame.append(head.GetString(), head.GetSize());
  for (const auto& part : body) frame.append(part);
  return frame;
}

// ---- Decoding. ----
class ArrayReader {
 public:
  explicit ArrayReader(const Value& value) : array_(value) {
    if (!value.IsArray()) throw UnreadableError("not an array");
  }
  const Value& next() {
    if (index_ >= array_.Size()) throw UnreadableError("short");
    return array_[index_++];
  }
  bool more() const { return index_ < array_.Size(); }
  void done() const {
    if (more()) throw UnreadableError("long");
  }

 private:
  const Value& array_;
  rapidjson::SizeType index_ = 0;
};

std::uint64_t read_number(const Value& value) {
  if (!value.IsUint64()) throw UnreadableError("not an unsigned integer");
  return value.GetUint64();
}
std::string read_text(const Value& value) {
  if (!value.IsString()) throw UnreadableError("not a string");
  return {value.GetString(), value.GetStringLength()};
}
Member read_member(const Value& value) {
  ArrayReader fields(value);
  Member member;
  member.name = read_text(fields.next()), member.incarnation = read_number(fields.next());
  fields.done();
  return member;
}
Epoch read_epoch(const Value& value) {
  ArrayReader fields(value);
  Epoch epoch;
  epoch.number = read_number(fields.next()), epoch.claimant = read_member(fields.next());
  fields.done();
  return epoch;
}
Version read_version(const Value& value) {
  ArrayReader fields(value);
  Version version;
  version.epoch = read_epoch(fields.next()), version.number = read_number(fields.next());
  fields.done();
  return version;
}
std::vector<Member> read_members(const Value& value) {
  std::vector<Member> members;
  for (ArrayReader elements(value); elements.more();) members.push_back(read_member(elements.next()));
  return members;
}
Config read_config(const Value& value) {
  ArrayReader fields(value);
  Config config;
  config.version = read_version(fields.next()), config.replicas = read_members(fields.next()),
  config.next = read_members(fields.next());
  fields.done();
  return config;
}
std::optional<Moved> read_moved(const Value& value) {
  ArrayReader fields(value);
  if (!fields.more()) return std::nullopt;
  Moved moved;
  moved.epoch = read_epoch(fields.next()), moved.into = read_member(fields.next());
  fields.done();
  return moved;
}

ProtocolMessage read_message(const Value& value, const std::string& body) {
  ArrayReader fields(value);
  const std::string tag = read_text(fields.next());
  const Epoch epoch = read_epoch(fields.next());
  const auto decode = [&]() -> ProtocolMessage {
    if (tag == "append") {
      protocol::Append message;
      message.epoch = epoch, message.after = read_number(fields.next()),
      message.after_epoch = read_epoch(fields.next()), message.config = read_config(fields.next());
      std::size_t offset = 0;
      for (ArrayReader entries(fields.next()); entries.more();) {
        ArrayReader entry(entries.next());
        const Value& entry_epoch = entry.next();
        const std::size_t size = read_number(entry.next());
        if (size > body.size() - offset) throw UnreadableError("entries are longer than the body");
        message.entries.push_back(
            {entry_epoch.IsNull() ? epoch : read_epoch(entry_epoch), body.substr(offset, size)});
        offset += size;
      }
      if (offset != body.size()) throw UnreadableError("the body is longer than the entries");
      return message;
    }
    if (tag == "appended") {
      const Position last = read_number(fields.next());
      return protocol::Appended{epoch, last, read_version(fields.next())};
    }
    if (tag == "behind") {
      const Position last = read_number(fields.next());
      return protocol::Behind{epoch, last, read_epoch(fields.next())};
    }
    if (tag == "snapshot") {
      protocol::Snapshot message{epoch, read_number(fields.next()), {}, {}};
      message.last_epoch = read_epoch(fields.next()), message.config = read_config(fields.next());
      return message;
    }
    if (tag == "refused") return protocol::Refused{epoch};
    if (tag == "claim") return protocol::Claim{epoch};
    if (tag == "promised") {
      protocol::Promised message;
      message.epoch = epoch, message.last = read_number(fields.next()),
      message.last_epoch = read_epoch(fields.next());
      message.config = read_config(fields.next()), message.moved = read_moved(fields.next());
      return message;
    }
    if (tag == "read") return protocol::Read{epoch};
    if (tag == "state") {
      const Position last = read_number(fields.next());
      return protocol::State{epoch, last, read_epoch(fields.next())};
    }
    if (tag == "move") return protocol::Move{epoch, read_member(fields.next())};
    if (tag == "accepted") return protocol::Accepted{epoch};
    throw UnreadableError("unknown message tag");
  };
  ProtocolMessage decoded = decode();
  fields.done();
  return decoded;
}

constexpr const char* kKindNames[] = {"word", "part", "part_taken", "heard", "full", "release"};

void parse(rapidjson::Document& document, std::string_view json) {
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) throw UnreadableError("not a JSON object");
}
const Value* find(const Value& object, const char* key) {
  const auto member = object.FindMember(key);
  return member == object.MemberEnd() ? nullptr : &member->value;
}

}  // namespace

FrameLengths read_frame_lengths(std::string_view bytes) {
  std::uint32_t lengths[2] = {0, 0};
  std::memcpy(lengths, bytes.data(), sizeof lengths);
  return {lengths[0], lengths[1]};
}

std::string write_hello(const Hello& hello) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("heronvane"), json.String("copies 1");
  json.Key("cluster"), put(json, hello.cluster);
  json.Key("self"), put(json, hello.self);
  json.Key("mark"), put(json, hello.mark);
  json.Key("seen"), json.StartArray(), put(json, hello.seen_incarnation), put(json, hello.seen_mark),
      json.EndArray();
  json.EndObject();
  return make_frame(buffer, {});
}

std::optional<Hello> read_hello(std::string_view head) {
  try {
    rapidjson::Document document;
    parse(document, head);
    const Value *format = find(document, "heronvane"), *cluster = find(document, "cluster"),
                *self = find(document, "self");
    const Value *mark = find(document, "mark"), *seen = find(document, "seen");
    if (format == nullptr || cluster == nullptr || self == nullptr || mark == nullptr || seen == nullptr ||
        read_text(*format) != "copies 1")
      return std::nullopt;
    Hello hello;
    hello.cluster = read_text(*cluster), hello.self = read_member(*self), hello.mark = read_number(*mark);
    ArrayReader seen_fields(*seen);
    hello.seen_incarnation = read_number(seen_fields.next()),
    hello.seen_mark = read_number(seen_fields.next());
    seen_fields.done();
    return hello;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_packet(const Packet& packet) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("kind"), json.String(kKindNames[static_cast<int>(packet.kind)]);
  json.Key("log"), put(json, packet.log);
  std::vector<std::string_view> body{packet.body};
  if (packet.message) {
    json.Key("say"), json.StartArray(), std::visit(MessageWriter{json}, *packet.message), json.EndArray();
    if (const auto* const append = std::get_if<protocol::Append>(&*packet.message)) {
      body.clear();
      for (const auto& entry : append->entries) body.push_back(entry.bytes);
    }
  }
  if (packet.epoch != Epoch{}) json.Key("epoch"), put(json, packet.epoch);
  const auto optional_number = [&](const char* key, std::uint64_t number) {
    if (number != 0) json.Key(key), json.Uint64(number);
  };
  if (packet.kind == Packet::Kind::last_contact) json.Key("version"), put(json, packet.version);
  optional_number("replaced", packet.replaced), optional_number("part", packet.chunk),
      optional_number("last", packet.last), optional_number("numbered", packet.numbered_records),
      optional_number("salt", packet.salt);
  optional_number("disk", packet.leader_disk_bytes), optional_number("mark", packet.mark);
  if (packet.log_time != 0) json.Key("now"), json.Int64(packet.log_time);
  if (packet.last_contact_age >= 0) json.Key("ago"), json.Int64(packet.last_contact_age);
  if (!packet.reason.empty()) json.Key("text"), put(json, packet.reason);
  json.EndObject();
  return make_frame(buffer, body);
}

std::optional<Packet> read_packet(std::string_view head, std::string body) {
  try {
    rapidjson::Document document;
    parse(document, head);
    Packet packet;
    const Value *kind = find(document, "kind"), *log = find(document, "log");
    if (kind == nullptr || log == nullptr) return std::nullopt;
    const std::string name = read_text(*kind);
    int kind_index = 0;
    while (kind_index < 6 && name != kKindNames[kind_index]) kind_index++;
    if (kind_index == 6) return std::nullopt;
    packet.kind = static_cast<Packet::Kind>(kind_index);
    packet.log = read_member(*log);
    packet.body = std::move(body);
    if (const Value* value = find(document, "say")) packet.message = read_message(*value, packet.body);
    if (packet.message && std::holds_alternative<protocol::Append>(*packet.message)) packet.body.clear();
    if (const Value* value = find(document, "epoch")) packet.epoch = read_epoch(*value);
    const auto optional_number = [&](const char* key) {
      const Value* const value = find(document, key);
      return value == nullptr ? 0 : read_number(*value);
    };
    const auto optional_time = [&](const char* key, Microseconds absent) {
      const Value* const value = find(document, key);
      if (value == nullptr) return absent;
      if (!value->IsInt64()) throw UnreadableError("not an integer time");
      return value->GetInt64();
    };
    if (const Value* value = find(document, "version")) packet.version = read_version(*value);
    packet.replaced = optional_number("replaced") != 0;
    packet.chunk = optional_number("part"), packet.last = optional_number("last") != 0,
    packet.numbered_records = optional_number("numbered");
    packet.salt = static_cast<store::Salt>(optional_number("salt"));
    packet.leader_disk_bytes = optional_number("disk"), packet.mark = optional_number("mark");
    packet.log_time = optional_time("now", 0), packet.last_contact_age = optional_time("ago", -1);
    if (const Value* value = find(document, "text")) packet.reason = read_text(*value);
    if (packet.kind == Packet::Kind::message && !packet.message) return std::nullopt;
    return packet;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_state(const Epoch& promised, Position last, const Epoch& last_epoch, const Config& config,
                        const std::optional<Moved>& moved, Microseconds clock_offset,
                        std::uint64_t leader_disk_bytes) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("promised"), put(json, promised);
  json.Key("last"), put(json, last);
  json.Key("of"), put(json, last_epoch);
  json.Key("config"), put(json, config);
  json.Key("moved"), put(json, moved);
  json.Key("ahead"), json.Int64(clock_offset);
  json.Key("disk"), json.Uint64(leader_disk_bytes);
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<KeptState> read_state(std::string_view json_text) {
  try {
    rapidjson::Document document;
    parse(document, json_text);
    for (const char* key : {"promised", "last", "of", "config", "moved", "ahead", "disk"})
      if (find(document, key) == nullptr) return std::nullopt;
    KeptState state;
    state.promised = read_epoch(document["promised"]), state.last = read_number(document["last"]),
    state.last_epoch = read_epoch(document["of"]);
    state.config = read_config(document["config"]), state.moved = read_moved(document["moved"]);
    if (!document["ahead"].IsInt64()) return std::nullopt;
    state.clock_offset = document["ahead"].GetInt64(),
    state.leader_disk_bytes = read_number(document["disk"]);
    return state;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_import(const Import& import) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("log"), put(json, import.log);
  json.Key("config"), put(json, import.config);
  json.Key("epoch"), put(json, import.epoch);
  json.Key("from"), put(json, import.from);
  json.Key("to"), put(json, import.to);
  if (import.via) json.Key("via"), put(json, *import.via);
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Import> read_import(std::string_view json_text) {
  try {
    rapidjson::Document document;
    parse(document, json_text);
    for (const char* key : {"log", "config", "epoch", "from", "to"})
      if (find(document, key) == nullptr) return std::nullopt;
    Import import;
    import.log = read_member(document["log"]), import.config = read_config(document["config"]),
    import.epoch = read_epoch(document["epoch"]);
    import.from = read_number(document["from"]), import.to = read_number(document["to"]);
    if (const Value* via = find(document, "via")) import.via = read_member(*via);
    return import;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

}  // namespace heronvane::copies

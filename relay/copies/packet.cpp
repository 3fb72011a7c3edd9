#include "packet.hpp"

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
void put(Json& json, std::uint64_t v) { json.Uint64(v); }
void put(Json& json, const std::string& text) {
  json.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}
void put(Json& json, const Member& m) {
  json.StartArray(), put(json, m.name), put(json, m.incarnation), json.EndArray();
}
void put(Json& json, const Epoch& e) {
  json.StartArray(), put(json, e.number), put(json, e.claimant), json.EndArray();
}
void put(Json& json, const Version& v) {
  json.StartArray(), put(json, v.epoch), put(json, v.number), json.EndArray();
}
void put(Json& json, const std::vector<Member>& all) {
  json.StartArray();
  for (const auto& m : all) put(json, m);
  json.EndArray();
}
void put(Json& json, const Config& c) {
  json.StartArray(), put(json, c.version), put(json, c.replicas), put(json, c.next), json.EndArray();
}
void put(Json& json, const std::optional<Moved>& m) {
  json.StartArray();
  if (m) put(json, m->epoch), put(json, m->into);
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
    for (const auto& e : message.entries) {
      json.StartArray();
      if (e.epoch == message.epoch)
        json.Null();
      else
        put(json, e.epoch);
      put(json, static_cast<std::uint64_t>(e.bytes.size()));
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
  for (const auto& b : body) size += b.size();
  const std::uint32_t lengths[2] = {static_cast<std::uint32_t>(head.GetSize()),
                                    static_cast<std::uint32_t>(size)};
  std::string out;
  out.reserve(kFrameHeaderBytes + head.GetSize() + size);
  out.append(reinterpret_cast<const char*>(lengths), sizeof lengths);
  out.append(head.GetString(), head.GetSize());
  for (const auto& b : body) out.append(b);
  return out;
}

// ---- Decoding. ----
class ArrayReader {
 public:
  explicit ArrayReader(const Value& v) : array_(v) {
    if (!v.IsArray()) throw UnreadableError("not an array");
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

std::uint64_t read_number(const Value& v) {
  if (!v.IsUint64()) throw UnreadableError("not an unsigned integer");
  return v.GetUint64();
}
std::string read_text(const Value& v) {
  if (!v.IsString()) throw UnreadableError("not a string");
  return {v.GetString(), v.GetStringLength()};
}
Member read_member(const Value& v) {
  ArrayReader f(v);
  Member m;
  m.name = read_text(f.next()), m.incarnation = read_number(f.next());
  f.done();
  return m;
}
Epoch read_epoch(const Value& v) {
  ArrayReader f(v);
  Epoch e;
  e.number = read_number(f.next()), e.claimant = read_member(f.next());
  f.done();
  return e;
}
Version read_version(const Value& v) {
  ArrayReader f(v);
  Version message;
  message.epoch = read_epoch(f.next()), message.number = read_number(f.next());
  f.done();
  return message;
}
std::vector<Member> read_members(const Value& v) {
  std::vector<Member> all;
  for (ArrayReader f(v); f.more();) all.push_back(read_member(f.next()));
  return all;
}
Config read_config(const Value& v) {
  ArrayReader f(v);
  Config c;
  c.version = read_version(f.next()), c.replicas = read_members(f.next()), c.next = read_members(f.next());
  f.done();
  return c;
}
std::optional<Moved> read_moved(const Value& v) {
  ArrayReader f(v);
  if (!f.more()) return std::nullopt;
  Moved m;
  m.epoch = read_epoch(f.next()), m.into = read_member(f.next());
  f.done();
  return m;
}

ProtocolMessage read_message(const Value& v, const std::string& body) {
  ArrayReader f(v);
  const std::string tag = read_text(f.next());
  const Epoch e = read_epoch(f.next());
  const auto decode = [&]() -> ProtocolMessage {
    if (tag == "append") {
      protocol::Append message;
      message.epoch = e, message.after = read_number(f.next()), message.after_epoch = read_epoch(f.next()),
      message.config = read_config(f.next());
      std::size_t at = 0;
      for (ArrayReader entries(f.next()); entries.more();) {
        ArrayReader one(entries.next());
        const Value& written = one.next();
        const std::size_t size = read_number(one.next());
        if (size > body.size() - at) throw UnreadableError("entries are longer than the body");
        message.entries.push_back({written.IsNull() ? e : read_epoch(written), body.substr(at, size)});
        at += size;
      }
      if (at != body.size()) throw UnreadableError("the body is longer than the entries");
      return message;
    }
    if (tag == "appended") {
      const Position last = read_number(f.next());
      return protocol::Appended{e, last, read_version(f.next())};
    }
    if (tag == "behind") {
      const Position last = read_number(f.next());
      return protocol::Behind{e, last, read_epoch(f.next())};
    }
    if (tag == "snapshot") {
      protocol::Snapshot message{e, read_number(f.next()), {}, {}};
      message.last_epoch = read_epoch(f.next()), message.config = read_config(f.next());
      return message;
    }
    if (tag == "refused") return protocol::Refused{e};
    if (tag == "claim") return protocol::Claim{e};
    if (tag == "promised") {
      protocol::Promised message;
      message.epoch = e, message.last = read_number(f.next()), message.last_epoch = read_epoch(f.next());
      message.config = read_config(f.next()), message.moved = read_moved(f.next());
      return message;
    }
    if (tag == "read") return protocol::Read{e};
    if (tag == "state") {
      const Position last = read_number(f.next());
      return protocol::State{e, last, read_epoch(f.next())};
    }
    if (tag == "move") return protocol::Move{e, read_member(f.next())};
    if (tag == "accepted") return protocol::Accepted{e};
    throw UnreadableError("unknown message tag");
  };
  ProtocolMessage decoded = decode();
  f.done();
  return decoded;
}

constexpr const char* kKindNames[] = {"word", "part", "part_taken", "heard", "full", "release"};

void parse(rapidjson::Document& d, std::string_view json) {
  d.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) throw UnreadableError("not a JSON object");
}
const Value* find(const Value& d, const char* key) {
  const auto it = d.FindMember(key);
  return it == d.MemberEnd() ? nullptr : &it->value;
}

}  // namespace

FrameLengths read_frame_lengths(std::string_view bytes) {
  std::uint32_t lengths[2] = {0, 0};
  std::memcpy(lengths, bytes.data(), sizeof lengths);
  return {lengths[0], lengths[1]};
}

std::string write_hello(const Hello& hello) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("heronvane"), json.String("copies 1");
  json.Key("cluster"), put(json, hello.cluster);
  json.Key("self"), put(json, hello.self);
  json.Key("mark"), put(json, hello.mark);
  json.Key("seen"), json.StartArray(), put(json, hello.seen_incarnation), put(json, hello.seen_mark),
      json.EndArray();
  json.EndObject();
  return make_frame(out, {});
}

std::optional<Hello> read_hello(std::string_view head) {
  try {
    rapidjson::Document d;
    parse(d, head);
    const Value *format = find(d, "heronvane"), *cluster = find(d, "cluster"), *self = find(d, "self");
    const Value *mark = find(d, "mark"), *seen = find(d, "seen");
    if (format == nullptr || cluster == nullptr || self == nullptr || mark == nullptr || seen == nullptr ||
        read_text(*format) != "copies 1")
      return std::nullopt;
    Hello h;
    h.cluster = read_text(*cluster), h.self = read_member(*self), h.mark = read_number(*mark);
    ArrayReader f(*seen);
    h.seen_incarnation = read_number(f.next()), h.seen_mark = read_number(f.next());
    f.done();
    return h;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_packet(const Packet& p) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("kind"), json.String(kKindNames[static_cast<int>(p.kind)]);
  json.Key("log"), put(json, p.log);
  std::vector<std::string_view> body{p.body};
  if (p.message) {
    json.Key("say"), json.StartArray(), std::visit(MessageWriter{json}, *p.message), json.EndArray();
    if (const auto* const a = std::get_if<protocol::Append>(&*p.message)) {
      body.clear();
      for (const auto& e : a->entries) body.push_back(e.bytes);
    }
  }
  if (p.epoch != Epoch{}) json.Key("epoch"), put(json, p.epoch);
  const auto optional_number = [&](const char* key, std::uint64_t v) {
    if (v != 0) json.Key(key), json.Uint64(v);
  };
  if (p.kind == Packet::Kind::last_contact) json.Key("version"), put(json, p.version);
  optional_number("replaced", p.replaced), optional_number("part", p.chunk), optional_number("last", p.last),
      optional_number("numbered", p.numbered_records), optional_number("salt", p.salt);
  optional_number("disk", p.leader_disk_bytes), optional_number("mark", p.mark);
  if (p.log_time != 0) json.Key("now"), json.Int64(p.log_time);
  if (p.last_contact_age >= 0) json.Key("ago"), json.Int64(p.last_contact_age);
  if (!p.reason.empty()) json.Key("text"), put(json, p.reason);
  json.EndObject();
  return make_frame(out, body);
}

std::optional<Packet> read_packet(std::string_view head, std::string body) {
  try {
    rapidjson::Document d;
    parse(d, head);
    Packet p;
    const Value *kind = find(d, "kind"), *log = find(d, "log");
    if (kind == nullptr || log == nullptr) return std::nullopt;
    const std::string name = read_text(*kind);
    int at = 0;
    while (at < 6 && name != kKindNames[at]) at++;
    if (at == 6) return std::nullopt;
    p.kind = static_cast<Packet::Kind>(at);
    p.log = read_member(*log);
    p.body = std::move(body);
    if (const Value* v = find(d, "say")) p.message = read_message(*v, p.body);
    if (p.message && std::holds_alternative<protocol::Append>(*p.message)) p.body.clear();
    if (const Value* v = find(d, "epoch")) p.epoch = read_epoch(*v);
    const auto optional_number = [&](const char* key) {
      const Value* const v = find(d, key);
      return v == nullptr ? 0 : read_number(*v);
    };
    const auto optional_time = [&](const char* key, Microseconds absent) {
      const Value* const v = find(d, key);
      if (v == nullptr) return absent;
      if (!v->IsInt64()) throw UnreadableError("not an integer time");
      return v->GetInt64();
    };
    if (const Value* v = find(d, "version")) p.version = read_version(*v);
    p.replaced = optional_number("replaced") != 0;
    p.chunk = optional_number("part"), p.last = optional_number("last") != 0,
    p.numbered_records = optional_number("numbered");
    p.salt = static_cast<store::Salt>(optional_number("salt"));
    p.leader_disk_bytes = optional_number("disk"), p.mark = optional_number("mark");
    p.log_time = optional_time("now", 0), p.last_contact_age = optional_time("ago", -1);
    if (const Value* v = find(d, "text")) p.reason = read_text(*v);
    if (p.kind == Packet::Kind::message && !p.message) return std::nullopt;
    return p;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_state(const Epoch& promised, Position last, const Epoch& last_epoch, const Config& c,
                        const std::optional<Moved>& m, Microseconds clock_offset,
                        std::uint64_t leader_disk_bytes) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("promised"), put(json, promised);
  json.Key("last"), put(json, last);
  json.Key("of"), put(json, last_epoch);
  json.Key("config"), put(json, c);
  json.Key("moved"), put(json, m);
  json.Key("ahead"), json.Int64(clock_offset);
  json.Key("disk"), json.Uint64(leader_disk_bytes);
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

std::optional<KeptState> read_state(std::string_view json_text) {
  try {
    rapidjson::Document d;
    parse(d, json_text);
    for (const char* key : {"promised", "last", "of", "config", "moved", "ahead", "disk"})
      if (find(d, key) == nullptr) return std::nullopt;
    KeptState s;
    s.promised = read_epoch(d["promised"]), s.last = read_number(d["last"]),
    s.last_epoch = read_epoch(d["of"]);
    s.config = read_config(d["config"]), s.moved = read_moved(d["moved"]);
    if (!d["ahead"].IsInt64()) return std::nullopt;
    s.clock_offset = d["ahead"].GetInt64(), s.leader_disk_bytes = read_number(d["disk"]);
    return s;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

std::string write_import(const Import& i) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("log"), put(json, i.log);
  json.Key("config"), put(json, i.config);
  json.Key("epoch"), put(json, i.epoch);
  json.Key("from"), put(json, i.from);
  json.Key("to"), put(json, i.to);
  if (i.via) json.Key("via"), put(json, *i.via);
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

std::optional<Import> read_import(std::string_view json_text) {
  try {
    rapidjson::Document d;
    parse(d, json_text);
    for (const char* key : {"log", "config", "epoch", "from", "to"})
      if (find(d, key) == nullptr) return std::nullopt;
    Import i;
    i.log = read_member(d["log"]), i.config = read_config(d["config"]), i.epoch = read_epoch(d["epoch"]);
    i.from = read_number(d["from"]), i.to = read_number(d["to"]);
    if (const Value* v = find(d, "via")) i.via = read_member(*v);
    return i;
  } catch (const UnreadableError&) {
    return std::nullopt;
  }
}

}  // namespace heronvane::copies

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

struct Unreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- Writing. Each value is an array of fixed shape. ----
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
  json.StartArray(), put(json, c.version), put(json, c.holders), put(json, c.next), json.EndArray();
}
void put(Json& json, const std::optional<Moved>& m) {
  json.StartArray();
  if (m) put(json, m->epoch), put(json, m->into);
  json.EndArray();
}

// Lengths of entries and their epochs; the bytes are the body.
struct Words {
  Json& json;
  void word(const char* name) const { json.String(name); }
  void operator()(const say::Append& x) const {
    word("append"), put(json, x.epoch), put(json, x.after), put(json, x.after_epoch), put(json, x.config);
    json.StartArray();
    for (const auto& e : x.entries) {
      json.StartArray();
      if (e.epoch == x.epoch)
        json.Null();
      else
        put(json, e.epoch);
      put(json, static_cast<std::uint64_t>(e.bytes.size()));
      json.EndArray();
    }
    json.EndArray();
  }
  void operator()(const say::Appended& x) const {
    word("appended"), put(json, x.epoch), put(json, x.last), put(json, x.config);
  }
  void operator()(const say::Behind& x) const {
    word("behind"), put(json, x.epoch), put(json, x.last), put(json, x.last_epoch);
  }
  void operator()(const say::Snapshot& x) const {
    word("snapshot"), put(json, x.epoch), put(json, x.last), put(json, x.last_epoch), put(json, x.config);
  }
  void operator()(const say::Refused& x) const { word("refused"), put(json, x.promised); }
  void operator()(const say::Claim& x) const { word("claim"), put(json, x.epoch); }
  void operator()(const say::Promised& x) const {
    word("promised"), put(json, x.epoch), put(json, x.last), put(json, x.last_epoch), put(json, x.config);
    put(json, x.moved);
  }
  void operator()(const say::Read& x) const { word("read"), put(json, x.epoch); }
  void operator()(const say::State& x) const {
    word("state"), put(json, x.epoch), put(json, x.last), put(json, x.last_epoch);
  }
  void operator()(const say::Move& x) const { word("move"), put(json, x.epoch), put(json, x.into); }
  void operator()(const say::Accepted& x) const { word("accepted"), put(json, x.epoch); }
};

std::string framed(const rapidjson::StringBuffer& head, const std::vector<std::string_view>& body) {
  std::uint64_t size = 0;
  for (const auto& b : body) size += b.size();
  const std::uint32_t lengths[2] = {static_cast<std::uint32_t>(head.GetSize()),
                                    static_cast<std::uint32_t>(size)};
  std::string out;
  out.reserve(kFrameHead + head.GetSize() + size);
  out.append(reinterpret_cast<const char*>(lengths), sizeof lengths);
  out.append(head.GetString(), head.GetSize());
  for (const auto& b : body) out.append(b);
  return out;
}

// ---- Reading. ----
class Fields {
 public:
  explicit Fields(const Value& v) : v_(v) {
    if (!v.IsArray()) throw Unreadable("no array");
  }
  const Value& next() {
    if (at_ >= v_.Size()) throw Unreadable("short");
    return v_[at_++];
  }
  bool more() const { return at_ < v_.Size(); }
  void done() const {
    if (more()) throw Unreadable("long");
  }

 private:
  const Value& v_;
  rapidjson::SizeType at_ = 0;
};

std::uint64_t number(const Value& v) {
  if (!v.IsUint64()) throw Unreadable("no number");
  return v.GetUint64();
}
std::string text(const Value& v) {
  if (!v.IsString()) throw Unreadable("no text");
  return {v.GetString(), v.GetStringLength()};
}
Member member(const Value& v) {
  Fields f(v);
  Member m;
  m.name = text(f.next()), m.incarnation = number(f.next());
  f.done();
  return m;
}
Epoch epoch(const Value& v) {
  Fields f(v);
  Epoch e;
  e.number = number(f.next()), e.claimant = member(f.next());
  f.done();
  return e;
}
Version version(const Value& v) {
  Fields f(v);
  Version x;
  x.epoch = epoch(f.next()), x.number = number(f.next());
  f.done();
  return x;
}
std::vector<Member> members(const Value& v) {
  std::vector<Member> all;
  for (Fields f(v); f.more();) all.push_back(member(f.next()));
  return all;
}
Config config(const Value& v) {
  Fields f(v);
  Config c;
  c.version = version(f.next()), c.holders = members(f.next()), c.next = members(f.next());
  f.done();
  return c;
}
std::optional<Moved> moved(const Value& v) {
  Fields f(v);
  if (!f.more()) return std::nullopt;
  Moved m;
  m.epoch = epoch(f.next()), m.into = member(f.next());
  f.done();
  return m;
}

Saying saying(const Value& v, const std::string& body) {
  Fields f(v);
  const std::string word = text(f.next());
  const Epoch e = epoch(f.next());
  const auto rest = [&]() -> Saying {
    if (word == "append") {
      say::Append x;
      x.epoch = e, x.after = number(f.next()), x.after_epoch = epoch(f.next()), x.config = config(f.next());
      std::size_t at = 0;
      for (Fields entries(f.next()); entries.more();) {
        Fields one(entries.next());
        const Value& written = one.next();
        const std::size_t size = number(one.next());
        if (size > body.size() - at) throw Unreadable("entries are longer than the body");
        x.entries.push_back({written.IsNull() ? e : epoch(written), body.substr(at, size)});
        at += size;
      }
      if (at != body.size()) throw Unreadable("the body is longer than the entries");
      return x;
    }
    if (word == "appended") {
      const Position last = number(f.next());
      return say::Appended{e, last, version(f.next())};
    }
    if (word == "behind") {
      const Position last = number(f.next());
      return say::Behind{e, last, epoch(f.next())};
    }
    if (word == "snapshot") {
      say::Snapshot x{e, number(f.next()), {}, {}};
      x.last_epoch = epoch(f.next()), x.config = config(f.next());
      return x;
    }
    if (word == "refused") return say::Refused{e};
    if (word == "claim") return say::Claim{e};
    if (word == "promised") {
      say::Promised x;
      x.epoch = e, x.last = number(f.next()), x.last_epoch = epoch(f.next());
      x.config = config(f.next()), x.moved = moved(f.next());
      return x;
    }
    if (word == "read") return say::Read{e};
    if (word == "state") {
      const Position last = number(f.next());
      return say::State{e, last, epoch(f.next())};
    }
    if (word == "move") return say::Move{e, member(f.next())};
    if (word == "accepted") return say::Accepted{e};
    throw Unreadable("unknown word");
  };
  Saying out = rest();
  f.done();
  return out;
}

constexpr const char* kKinds[] = {"word", "part", "part_taken", "heard", "full", "release"};

void parse(rapidjson::Document& d, std::string_view json) {
  d.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) throw Unreadable("no JSON object");
}
const Value* find(const Value& d, const char* key) {
  const auto it = d.FindMember(key);
  return it == d.MemberEnd() ? nullptr : &it->value;
}

}  // namespace

Lengths read_lengths(std::string_view bytes) {
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
  return framed(out, {});
}

std::optional<Hello> read_hello(std::string_view head) {
  try {
    rapidjson::Document d;
    parse(d, head);
    const Value *what = find(d, "heronvane"), *cluster = find(d, "cluster"), *self = find(d, "self");
    const Value *mark = find(d, "mark"), *seen = find(d, "seen");
    if (what == nullptr || cluster == nullptr || self == nullptr || mark == nullptr || seen == nullptr ||
        text(*what) != "copies 1")
      return std::nullopt;
    Hello h;
    h.cluster = text(*cluster), h.self = member(*self), h.mark = number(*mark);
    Fields f(*seen);
    h.seen_incarnation = number(f.next()), h.seen_mark = number(f.next());
    f.done();
    return h;
  } catch (const Unreadable&) {
    return std::nullopt;
  }
}

std::string write_packet(const Packet& p) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("kind"), json.String(kKinds[static_cast<int>(p.kind)]);
  json.Key("log"), put(json, p.log);
  std::vector<std::string_view> body{p.body};
  if (p.saying) {
    json.Key("say"), json.StartArray(), std::visit(Words{json}, *p.saying), json.EndArray();
    if (const auto* const a = std::get_if<say::Append>(&*p.saying)) {
      body.clear();
      for (const auto& e : a->entries) body.push_back(e.bytes);
    }
  }
  if (p.epoch != Epoch{}) json.Key("epoch"), put(json, p.epoch);
  const auto plain = [&](const char* key, std::uint64_t v) {
    if (v != 0) json.Key(key), json.Uint64(v);
  };
  if (p.kind == Packet::Kind::heard) json.Key("version"), put(json, p.version);
  plain("replaced", p.replaced), plain("part", p.part), plain("last", p.last), plain("numbered", p.numbered),
      plain("salt", p.salt);
  plain("disk", p.disk), plain("mark", p.mark);
  if (p.now != 0) json.Key("now"), json.Int64(p.now);
  if (p.ago >= 0) json.Key("ago"), json.Int64(p.ago);
  if (!p.text.empty()) json.Key("text"), put(json, p.text);
  json.EndObject();
  return framed(out, body);
}

std::optional<Packet> read_packet(std::string_view head, std::string body) {
  try {
    rapidjson::Document d;
    parse(d, head);
    Packet p;
    const Value *kind = find(d, "kind"), *log = find(d, "log");
    if (kind == nullptr || log == nullptr) return std::nullopt;
    const std::string name = text(*kind);
    int at = 0;
    while (at < 6 && name != kKinds[at]) at++;
    if (at == 6) return std::nullopt;
    p.kind = static_cast<Packet::Kind>(at);
    p.log = member(*log);
    p.body = std::move(body);
    if (const Value* v = find(d, "say")) p.saying = saying(*v, p.body);
    if (p.saying && std::holds_alternative<say::Append>(*p.saying)) p.body.clear();
    if (const Value* v = find(d, "epoch")) p.epoch = epoch(*v);
    const auto plain = [&](const char* key) {
      const Value* const v = find(d, key);
      return v == nullptr ? 0 : number(*v);
    };
    const auto time = [&](const char* key, Microseconds absent) {
      const Value* const v = find(d, key);
      if (v == nullptr) return absent;
      if (!v->IsInt64()) throw Unreadable("no time");
      return v->GetInt64();
    };
    if (const Value* v = find(d, "version")) p.version = version(*v);
    p.replaced = plain("replaced") != 0;
    p.part = plain("part"), p.last = plain("last") != 0, p.numbered = plain("numbered");
    p.salt = static_cast<store::Salt>(plain("salt"));
    p.disk = plain("disk"), p.mark = plain("mark");
    p.now = time("now", 0), p.ago = time("ago", -1);
    if (const Value* v = find(d, "text")) p.text = text(*v);
    if (p.kind == Packet::Kind::word && !p.saying) return std::nullopt;
    return p;
  } catch (const Unreadable&) {
    return std::nullopt;
  }
}

std::string write_state(const Epoch& promised, Position last, const Epoch& last_epoch, const Config& c,
                        const std::optional<Moved>& m, Microseconds ahead, std::uint64_t disk) {
  rapidjson::StringBuffer out;
  Json json(out);
  json.StartObject();
  json.Key("promised"), put(json, promised);
  json.Key("last"), put(json, last);
  json.Key("of"), put(json, last_epoch);
  json.Key("config"), put(json, c);
  json.Key("moved"), put(json, m);
  json.Key("ahead"), json.Int64(ahead);
  json.Key("disk"), json.Uint64(disk);
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

std::optional<KeptState> read_state(std::string_view text_of_it) {
  try {
    rapidjson::Document d;
    parse(d, text_of_it);
    for (const char* key : {"promised", "last", "of", "config", "moved", "ahead", "disk"})
      if (find(d, key) == nullptr) return std::nullopt;
    KeptState s;
    s.promised = epoch(d["promised"]), s.last = number(d["last"]), s.last_epoch = epoch(d["of"]);
    s.config = config(d["config"]), s.moved = moved(d["moved"]);
    if (!d["ahead"].IsInt64()) return std::nullopt;
    s.ahead = d["ahead"].GetInt64(), s.disk = number(d["disk"]);
    return s;
  } catch (const Unreadable&) {
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

std::optional<Import> read_import(std::string_view text_of_it) {
  try {
    rapidjson::Document d;
    parse(d, text_of_it);
    for (const char* key : {"log", "config", "epoch", "from", "to"})
      if (find(d, key) == nullptr) return std::nullopt;
    Import i;
    i.log = member(d["log"]), i.config = config(d["config"]), i.epoch = epoch(d["epoch"]);
    i.from = number(d["from"]), i.to = number(d["to"]);
    if (const Value* v = find(d, "via")) i.via = member(*v);
    return i;
  } catch (const Unreadable&) {
    return std::nullopt;
  }
}

}  // namespace heronvane::copies

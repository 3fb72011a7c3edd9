#include "core/status.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

#include "wire/utf8.hpp"

namespace heronvane {
namespace {

using heronvane::dispatch::Health;
using heronvane::dispatch::Listing;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Names come from lists and clients, and may hold any bytes: an answer that is no JSON would count as none.
void text(Writer& w, const std::string& v) {
  const std::string sound = printable(v);
  w.String(sound.data(), static_cast<rapidjson::SizeType>(sound.size()));
}
void field(Writer& w, const char* key, const std::string& v) { w.Key(key), text(w, v); }
void field(Writer& w, const char* key, const char* v) { w.Key(key), w.String(v); }
void field(Writer& w, const char* key, bool v) { w.Key(key), w.Bool(v); }
void field(Writer& w, const char* key, std::int64_t v) { w.Key(key), w.Int64(v); }
void field(Writer& w, const char* key, std::uint64_t v) { w.Key(key), w.Uint64(v); }

std::int64_t ms(Microseconds t) { return t / 1000; }
// JSON has no infinity; a thousandth is more than anybody reads.
double shown(double v) { return std::isfinite(v) ? std::round(v * 1000) / 1000 : 0; }

const char* name(Listing l) {
  switch (l) {
    case Listing::active:
      return "ready";
    case Listing::draining:
      return "draining";
    case Listing::gone:
      return "gone";
  }
  return "";
}
const char* name(Health h) {
  switch (h) {
    case Health::healthy:
      return "open";
    case Health::ejected:
      return "closed";
    case Health::slow_start:
      return "ramp";
  }
  return "";
}
const char* name(Outcome o) {
  switch (o) {
    case Outcome::served:
      return "served";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "full";
    case Outcome::timeout:
      return "timeout";
    case Outcome::connect_failed:
      return "connect_failed";
    case Outcome::reset:
      return "reset";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      return "not_sent";
  }
  return "";
}

void write_held(Writer& w, const Status& s) {
  w.Key("held");
  w.StartObject();
  field(w, "total", std::uint64_t{s.held}), field(w, "given_up", std::uint64_t{s.given_up});
  w.Key("by_class");
  w.StartObject();
  for (const auto& [cls, n] : s.counts.by_class) field(w, printable(cls).c_str(), std::uint64_t{n});
  w.EndObject();
  field(w, "oldest_ms", ms(s.counts.oldest));
  w.Key("by_age_ms");
  w.StartObject();
  field(w, "1000", std::uint64_t{s.counts.up_to_1s}), field(w, "5000", std::uint64_t{s.counts.up_to_5s});
  field(w, "30000", std::uint64_t{s.counts.up_to_30s}), field(w, "more", std::uint64_t{s.counts.more});
  w.EndObject();
  w.EndObject();
}

void write_targets(Writer& w, const Status& s) {
  w.Key("targets");
  w.StartArray();
  for (const auto& t : s.targets) {
    w.StartObject();
    field(w, "endpoint", t.known.endpoint), field(w, "destination", t.known.destination);
    field(w, "listing", name(t.listing)), field(w, "health", name(t.known.health));
    w.Key("pace"), w.Double(shown(t.known.send_rate));
    field(w, "delay_ms",
          static_cast<std::int64_t>(std::isfinite(t.known.backoff_delay) ? t.known.backoff_delay * 1e3 : 0));
    field(w, "wait_ms", ms(t.known.retry_after_left));
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

std::string status_json(const Status& s) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  field(w, "name", s.name), field(w, "run", s.run), field(w, "pid", s.pid), field(w, "version", s.version);
  field(w, "generation", s.generation), field(w, "started_ms", ms(s.started));
  field(w, "uptime_ms", ms(s.uptime));
  field(w, "start_waited_ms", ms(s.start_waited)), field(w, "start_waited_for", s.start_waited_for);
  field(w, "ready", s.ready), field(w, "draining", s.draining), field(w, "stopping", s.stopping);
  field(w, "fence", s.fence), field(w, "trouble", s.trouble);
  write_held(w, s);
  w.Key("calls");
  w.StartObject();
  field(w, "out", std::uint64_t{s.calls}), field(w, "slots", std::uint64_t{s.slots});
  w.EndObject();
  field(w, "clients", std::uint64_t{s.clients});
  write_targets(w, s);
  w.Key("store");
  w.StartObject();
  field(w, "bytes", s.store_bytes), field(w, "limit", s.store_limit);
  field(w, "segments", std::uint64_t{s.segments});
  w.EndObject();
  field(w, "memory_kb", s.memory_kb), field(w, "descriptors", s.descriptors);
  w.Key("list");
  w.StartObject();
  field(w, "told", s.list_told), field(w, "index", s.list_index);
  field(w, "endpoints", std::uint64_t{s.endpoints});
  w.EndObject();
  if (!s.copies.empty()) {
    w.Key("copies");
    w.RawValue(s.copies.data(), s.copies.size(), rapidjson::kObjectType);
  }
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string message_json(MessageId number, const Held& held,
                         const heronvane::dispatch::adapter::NameIndex& zones) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  const Message& m = held.message;
  w.StartObject();
  field(w, "id", m.id), field(w, "number", std::uint64_t{number}), field(w, "class", m.message_class);
  field(w, "tenant", m.tenant), field(w, "destination", m.destination);
  field(w, "state", held.ending ? "given_up" : "held"), field(w, "deadline_ms", ms(m.deadline));
  w.Key("attempts");
  w.StartArray();
  for (const auto& a : held.attempts) {
    w.StartObject();
    field(w, "at_ms", ms(a.sent));
    std::string zone;
    for (const auto& [name, place] : zones)
      if (place == a.zone) zone = name;
    field(w, "zone", zone);
    w.Key("outcome");
    a.outcome ? w.String(name(*a.outcome)) : w.Null();
    w.EndObject();
  }
  w.EndArray();
  field(w, "doubt", held.doubt);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string over_json(const std::string& id) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  field(w, "id", id), field(w, "state", "over");
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace heronvane

#include "core/status.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

#include "wire/utf8.hpp"

namespace heronvane {
namespace {

using heronvane::dispatch::Health;
using heronvane::dispatch::Listing;
using heronvane::dispatch::adapter::NameIndex;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr Microseconds kMillisecond = 1000;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kShownFractions = 1000;  // numbers are rounded to 1/1000

// Names come from endpoint lists and clients and may contain bytes that are invalid in JSON.
void text(Writer& w, const std::string& value) {
  const std::string valid = printable(value);
  w.String(valid.data(), static_cast<rapidjson::SizeType>(valid.size()));
}
void field(Writer& w, const char* key, const std::string& value) {
  w.Key(key);
  text(w, value);
}
void field(Writer& w, const char* key, const char* value) {
  w.Key(key);
  w.String(value);
}
void field(Writer& w, const char* key, bool value) {
  w.Key(key);
  w.Bool(value);
}
void field(Writer& w, const char* key, std::int64_t value) {
  w.Key(key);
  w.Int64(value);
}
void field(Writer& w, const char* key, std::uint64_t value) {
  w.Key(key);
  w.Uint64(value);
}
void field(Writer& w, const char* key, double value) {
  w.Key(key);
  w.Double(value);
}

std::int64_t milliseconds(Microseconds time) { return time / kMillisecond; }

// Rounds a number for JSON; 0 for infinity and NaN, which JSON can't express.
double rounded(double value) {
  return std::isfinite(value) ? std::round(value * kShownFractions) / kShownFractions : 0;
}

const char* name_of(Listing listing) {
  switch (listing) {
    case Listing::active:
      return "ready";
    case Listing::draining:
      return "draining";
    case Listing::gone:
      return "gone";
  }
  return "";
}

const char* name_of(Health health) {
  switch (health) {
    case Health::healthy:
      return "open";
    case Health::ejected:
      return "closed";
    case Health::slow_start:
      return "ramp";
  }
  return "";
}

const char* name_of(Outcome outcome) {
  switch (outcome) {
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

void write_process(Writer& w, const Status& s) {
  field(w, "name", s.name);
  field(w, "run", s.run);
  field(w, "pid", s.pid);
  field(w, "version", s.version);
  field(w, "generation", s.generation);
  field(w, "started_ms", milliseconds(s.started));
  field(w, "uptime_ms", milliseconds(s.uptime));
  field(w, "start_waited_ms", milliseconds(s.start_waited));
  field(w, "start_waited_for", s.start_waited_for);
  field(w, "ready", s.ready);
  field(w, "draining", s.draining);
  field(w, "stopping", s.stopping);
  field(w, "fence", s.fence);
  field(w, "trouble", s.unavailable_reason);
}

void write_held(Writer& w, const Status& s) {
  w.Key("held");
  w.StartObject();
  field(w, "total", std::uint64_t{s.held});
  field(w, "given_up", std::uint64_t{s.given_up});
  w.Key("by_class");
  w.StartObject();
  for (const auto& [name, count] : s.counts.by_class) {
    field(w, printable(name).c_str(), std::uint64_t{count});
  }
  w.EndObject();
  field(w, "oldest_ms", milliseconds(s.counts.oldest));
  w.Key("by_age_ms");
  w.StartObject();
  field(w, "1000", std::uint64_t{s.counts.up_to_1s});
  field(w, "5000", std::uint64_t{s.counts.up_to_5s});
  field(w, "30000", std::uint64_t{s.counts.up_to_30s});
  field(w, "more", std::uint64_t{s.counts.over_30s});
  w.EndObject();
  w.EndObject();
}

void write_calls(Writer& w, const Status& s) {
  w.Key("calls");
  w.StartObject();
  field(w, "out", std::uint64_t{s.calls});
  field(w, "slots", std::uint64_t{s.slots});
  w.EndObject();
  field(w, "clients", std::uint64_t{s.clients});
}

void write_target(Writer& w, const Status::Target& target) {
  const auto& known = target.known;
  const double backoff_ms =
      std::isfinite(known.backoff_delay) ? known.backoff_delay * kMillisecondsPerSecond : 0;
  w.StartObject();
  field(w, "endpoint", known.endpoint);
  field(w, "destination", known.destination);
  field(w, "listing", name_of(target.listing));
  field(w, "health", name_of(known.health));
  field(w, "pace", rounded(known.send_rate));
  field(w, "delay_ms", static_cast<std::int64_t>(backoff_ms));
  field(w, "wait_ms", milliseconds(known.retry_after_left));
  w.EndObject();
}

void write_targets(Writer& w, const Status& s) {
  w.Key("targets");
  w.StartArray();
  for (const auto& target : s.targets) write_target(w, target);
  w.EndArray();
}

void write_resources(Writer& w, const Status& s) {
  w.Key("store");
  w.StartObject();
  field(w, "bytes", s.store_bytes);
  field(w, "limit", s.store_limit);
  field(w, "segments", std::uint64_t{s.segments});
  w.EndObject();
  field(w, "memory_kb", s.memory_kb);
  field(w, "descriptors", s.descriptors);
}

void write_list(Writer& w, const Status& s) {
  w.Key("list");
  w.StartObject();
  field(w, "told", s.list_received);
  field(w, "index", s.list_index);
  field(w, "endpoints", std::uint64_t{s.endpoints});
  w.EndObject();
}

// Empty if the zone is unknown.
std::string zone_name(const NameIndex& zones, int zone) {
  for (const auto& [name, index] : zones) {
    if (index == zone) return name;
  }
  return {};
}

void write_attempt(Writer& w, const Attempt& attempt, const NameIndex& zones) {
  w.StartObject();
  field(w, "at_ms", milliseconds(attempt.sent));
  field(w, "zone", zone_name(zones, attempt.zone));
  w.Key("outcome");
  if (attempt.outcome) {
    w.String(name_of(*attempt.outcome));
  } else {
    w.Null();
  }
  w.EndObject();
}

}  // namespace

std::string status_json(const Status& status) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  write_process(w, status);
  write_held(w, status);
  write_calls(w, status);
  write_targets(w, status);
  write_resources(w, status);
  write_list(w, status);
  if (!status.copies.empty()) {
    w.Key("copies");
    w.RawValue(status.copies.data(), status.copies.size(), rapidjson::kObjectType);
  }
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string message_json(MessageId number, const Held& held, const NameIndex& zones) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  const Message& message = held.message;
  w.StartObject();
  field(w, "id", message.id);
  field(w, "number", std::uint64_t{number});
  field(w, "class", message.message_class);
  field(w, "tenant", message.tenant);
  field(w, "destination", message.destination);
  field(w, "state", held.ending ? "given_up" : "held");
  field(w, "deadline_ms", milliseconds(message.deadline));
  w.Key("attempts");
  w.StartArray();
  for (const auto& attempt : held.attempts) write_attempt(w, attempt, zones);
  w.EndArray();
  field(w, "doubt", held.doubt);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string completed_json(const std::string& id) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  field(w, "id", id);
  field(w, "state", "over");
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace heronvane

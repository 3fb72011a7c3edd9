#include "event_reader.hpp"

#include <string_view>
#include <utility>

namespace heronvane::dispatch::adapter {
namespace {

// A message, and the tables by which its names are resolved.
struct Source {
  const std::string& kind;
  const Value& message;
  const NameTables& names;
  const Rosters& rosters;
};

struct OutcomeCode {
  std::int64_t code;
  Outcome outcome;
};

constexpr OutcomeCode kOutcomeCodes[] = {
    {10, Outcome::served},         {20, Outcome::error}, {30, Outcome::rejected},  {40, Outcome::timeout},
    {50, Outcome::connect_failed}, {60, Outcome::reset}, {70, Outcome::cancelled}, {80, Outcome::not_sent},
};

Outcome read_outcome(const Value& value, const std::string& path) {
  const std::int64_t code = as_int64(value, path);
  for (const OutcomeCode& known : kOutcomeCodes) {
    if (known.code == code) return known.outcome;
  }
  throw_malformed(path, "unknown outcome");
}

LoadReport read_load_report(const Value& message, const std::string& path) {
  LoadReport report;
  const Value* const value = find_member(message, "HealthInfo");
  if (value == nullptr) return report;
  const std::string report_path = path + ".HealthInfo";
  as_object(*value, report_path);
  report.limit_remaining = optional_field(*value, "x0", report_path, as_number, -1.0);
  report.limit_rate = optional_field(*value, "x1", report_path, as_number, -1.0);
  return report;
}

RosterEntry read_roster_entry(const Value& object, const std::string& path) {
  as_object(object, path);
  RosterEntry entry;
  entry.endpoint.id = required_field(object, "Endpoint", path, as_string);
  entry.endpoint.destination = required_field(object, "Cell", path, as_int64);
  entry.endpoint.listing = enum_from_name<Listing>(
      required_field(object, "Health", path, as_string),
      {{"healthy", Listing::active}, {"cordoned", Listing::draining}, {"deregistered", Listing::gone}},
      path + ".Health");
  entry.endpoint.weight = optional_field(object, "CapacityHint", path, as_number, 1.0);
  entry.endpoint.since = optional_field(object, "Since", path, as_timestamp, 0);
  entry.zone = optional_field(object, "Az", path, as_string, "");
  entry.kind = optional_field(object, "Kind", path, as_string, "");
  return entry;
}

std::vector<Endpoint> resolve_roster(const std::vector<RosterEntry>& roster, const NameTables& names) {
  std::vector<Endpoint> endpoints;
  for (const RosterEntry& entry : roster) {
    endpoints.push_back(entry.endpoint);
    endpoints.back().zone = index_of(names.zones, entry.zone);
    endpoints.back().kind = index_of(names.kinds, entry.kind);
  }
  return endpoints;
}

Event read_endpoint_list(const Source& source) {
  const std::string how = required_field(source.message, "How", source.kind, as_string);
  if (how == "X") return event::EndpointListFailed{};
  const auto roster = source.rosters.find(required_field(source.message, "RosterId", source.kind, as_int64));
  if (roster == source.rosters.end()) throw_malformed(source.kind + ".RosterId", "no such POOL was given");
  std::vector<Endpoint> endpoints = resolve_roster(roster->second, source.names);
  if (how == "D") return event::EndpointListUpdate{std::move(endpoints)};
  if (how == "F") return event::EndpointListSnapshot{std::move(endpoints), false};
  if (how == "C") return event::EndpointListSnapshot{std::move(endpoints), true};
  throw_malformed(source.kind + ".How", "unknown word '" + how + "'");
}

int read_message_class(const Source& source) {
  const std::string name = required_field(source.message, "TierClass", source.kind, as_string);
  const int index = index_of(source.names.classes, name);
  if (index == kUnknownIndex) throw_malformed(source.kind + ".TierClass", "unknown class '" + name + "'");
  return index;
}

// The number 0 stands for no tenant.
bool is_no_tenant(const Value& account) { return account.IsInt() && account.GetInt() == 0; }

Event read_request_arrived(const Source& source) {
  const auto& [kind, message, names, rosters] = source;
  event::RequestArrived arrived;
  arrived.id = required_field(message, "Rid", kind, as_uint64);
  arrived.destination = required_field(message, "Dest", kind, as_int64);
  arrived.message_class = read_message_class(source);
  arrived.time_left = required_field(message, "TimeLeft", kind, as_duration);
  arrived.order_key = optional_field(message, "Subject", kind, as_string, "");
  arrived.repeat = optional_field(message, "Retry", kind, as_bool, false);
  const Value* const account = find_member(message, "Account");
  if (account != nullptr && !is_no_tenant(*account)) {
    arrived.tenant = index_of(names.tenants, as_string(*account, kind + ".Account"));
  }
  return arrived;
}

Event read_attempt_ended(const Source& source) {
  const auto& [kind, message, names, rosters] = source;
  event::AttemptEnded ended;
  ended.id = required_field(message, "Rid", kind, as_uint64);
  ended.attempt = required_field(message, "SendNo", kind, as_int);
  ended.endpoint = required_field(message, "Endpoint", kind, as_string);
  ended.outcome = required_field(message, "Result", kind, read_outcome);
  ended.latency = optional_field(message, "DelaySeen", kind, as_duration, 0);
  ended.request_completed = optional_field(message, "Closed", kind, as_bool, false);
  if (ended.outcome == Outcome::rejected) {
    ended.retry_after = optional_field(message, "RemarkMs", kind, as_duration_ms, 0);
  }
  ended.load_report = read_load_report(message, kind);
  return ended;
}

Event read_request_withdrawn(const Source& source) {
  return event::RequestWithdrawn{required_field(source.message, "Rid", source.kind, as_uint64)};
}

Event read_timer_expired(const Source& source) {
  return event::TimerExpired{required_field(source.message, "Tag", source.kind, as_uint64)};
}

Event read_health_check_ended(const Source& source) {
  const auto& [kind, message, names, rosters] = source;
  return event::HealthCheckEnded{required_field(message, "Endpoint", kind, as_string),
                                 required_field(message, "Result", kind, read_outcome),
                                 optional_field(message, "DelaySeen", kind, as_duration, 0),
                                 read_load_report(message, kind)};
}

Event read_gossip(const Source& source) {
  return event::GossipReceived{required_field(source.message, "From", source.kind, as_int),
                               required_field(source.message, "Body", source.kind, as_string)};
}

struct EventKind {
  std::string_view name;
  Event (*read)(const Source& source);
};

constexpr EventKind kEventKinds[] = {
    {"SYNC", read_endpoint_list},     {"KNOCK", read_request_arrived},
    {"RETURNED", read_attempt_ended}, {"HANGUP", read_request_withdrawn},
    {"REMINDER", read_timer_expired}, {"ECHO", read_health_check_ended},
    {"HEARD", read_gossip},
};

}  // namespace

void read_roster(const Value& message, const std::string& path, Rosters& rosters) {
  const std::string elements_path = path + ".Elements";
  std::vector<RosterEntry> roster;
  for (const auto& element : as_array(required_member(message, "Elements", path), elements_path).GetArray()) {
    roster.push_back(read_roster_entry(element, elements_path));
  }
  rosters[required_field(message, "RosterId", path, as_int64)] = std::move(roster);
}

Event read_event(const std::string& kind, const Value& message, const NameTables& names,
                 const Rosters& rosters) {
  for (const EventKind& known : kEventKinds) {
    if (known.name == kind) return known.read({kind, message, names, rosters});
  }
  throw_malformed(kind, "unknown message kind");
}

}  // namespace heronvane::dispatch::adapter

#include "codec.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <optional>

#include "settings.hpp"

namespace heronvane::dispatch::adapter {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

Outcome read_outcome(const Value& v, const std::string& path) {
  switch (as_int64(v, path)) {
    case 10:
      return Outcome::served;
    case 20:
      return Outcome::error;
    case 30:
      return Outcome::rejected;
    case 40:
      return Outcome::timeout;
    case 50:
      return Outcome::connect_failed;
    case 60:
      return Outcome::reset;
    case 70:
      return Outcome::cancelled;
    case 80:
      return Outcome::not_sent;
    default:
      throw_malformed(path, "unknown outcome");
  }
}

LoadReport read_report(const Value& event, const std::string& path) {
  LoadReport r;
  const Value* v = find_member(event, "HealthInfo");
  if (v == nullptr) return r;
  const std::string where = path + ".HealthInfo";
  as_object(*v, where);
  r.limit_remaining = optional_field(*v, "x0", where, as_number, -1.0);
  r.limit_rate = optional_field(*v, "x1", where, as_number, -1.0);
  return r;
}

// ---- Writing actions. ----
class ActionWriter {
 public:
  ActionWriter(std::string& reply, const std::string& who) : reply_(reply), who_(who) {}

  void operator()(const action::Send& a) {
    line("PLACE", [&](Writer& w) {
      id(w, a.id), text(w, "Endpoint", a.endpoint), number(w, "GiveUpAfter", a.timeout);
    });
  }
  void operator()(const action::Reject& a) {
    line("BUSY", [&](Writer& w) { id(w, a.id), number(w, "ComeBack", a.retry_after); });
  }
  void operator()(const action::Fail& a) {
    line("END_FAILED", [&](Writer& w) { id(w, a.id); });
  }
  void operator()(const action::Cancel& a) {
    line("ABANDON", [&](Writer& w) { id(w, a.id), number(w, "SendNo", a.attempt); });
  }
  void operator()(const action::CloseIdle& a) {
    line("CLOSE", [&](Writer& w) { text(w, "Endpoint", a.endpoint); });
  }
  void operator()(const action::SetTimer& a) {
    line("SLEEP", [&](Writer& w) { number(w, "After", a.after), w.Key("Tag"), w.Uint64(a.token); });
  }
  void operator()(const action::PollEndpointList&) {
    line("QUERY_ALL", [](Writer&) {});
  }
  void operator()(const action::Subscribe& a) {
    line("FOLLOW", [&](Writer& w) { w.Key("Active"), w.Bool(a.on); });
  }
  void operator()(const action::CheckHealth& a) {
    line("SOUND_OUT", [&](Writer& w) { text(w, "Endpoint", a.endpoint); });
  }
  void operator()(const action::SendGossip& a) {
    line("BROADCAST_TO", [&](Writer& w) { number(w, "Whom", a.peer), text(w, "Body", a.body); });
  }
  void operator()(const action::Log& a) {
    line("PRINT", [&](Writer& w) { text(w, "Msg", a.text); });
  }
  void fatal(const std::string& what) {
    line("FATAL", [&](Writer& w) { text(w, "Msg", what); });
  }

 private:
  template <class Fields>
  void line(const char* kind, Fields fields) {
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.StartObject();
    w.Key("kind"), w.String(kind);
    text(w, "Who", who_);
    fields(w);
    w.EndObject();
    reply_.append(buffer.GetString(), buffer.GetSize()).push_back('\n');
  }
  static void id(Writer& w, MessageId id) { w.Key("Rid"), w.Uint64(id); }
  static void number(Writer& w, const char* key, std::int64_t v) { w.Key(key), w.Int64(v); }
  static void text(Writer& w, const char* key, const std::string& v) {
    w.Key(key), w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  }

  std::string& reply_;
  const std::string& who_;
};

}  // namespace

struct Codec::Instance {
  NameTables tables;
  std::optional<Dispatcher> dispatcher;
  std::string broken;  // why the dispatcher could not be made
  std::vector<Event> events;
};

struct Codec::PoolEntry {
  Endpoint endpoint;
  std::string zone, kind;
};

struct Codec::Impl {
  Microseconds now = 0;
  bool in_batch = false;
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, std::vector<PoolEntry>> pools;
  std::vector<std::string> acting;  // instances with an event in this batch, in order

  Instance& instance(const Value& v, const std::string& path) {
    const std::string who = required_field(v, "Who", path, as_string);
    const auto it = instances.find(who);
    if (it == instances.end())
      throw_malformed(path + ".Who", ("instance '" + who + "' was never started").c_str());
    if (std::find(acting.begin(), acting.end(), who) == acting.end()) acting.push_back(who);
    return it->second;
  }

  void start(const Value& v, const std::string& path) {
    const std::string who = required_field(v, "Who", path, as_string);
    Instance fresh;
    const std::uint64_t seed = required_field(v, "RngSeed", path, as_uint64);
    const Settings settings = read_settings(required_member(v, "Setup", path), path + ".Setup", fresh.tables);
    try {
      fresh.dispatcher.emplace(settings, seed);
    } catch (const std::exception& e) {
      fresh.broken = e.what();
    }
    instances.insert_or_assign(who, std::move(fresh));
    instance(v, path);
  }

  void stop(const Value& v, const std::string& path) {
    instance(v, path);
    const std::string who = required_field(v, "Who", path, as_string);
    instances.erase(who);
    acting.erase(std::find(acting.begin(), acting.end(), who));
  }

  void pool(const Value& v, const std::string& path) {
    std::vector<PoolEntry> entries;
    for (const auto& e : as_array(required_member(v, "Elements", path), path + ".Elements").GetArray()) {
      const std::string where = path + ".Elements";
      as_object(e, where);
      PoolEntry entry;
      entry.endpoint.id = required_field(e, "Endpoint", where, as_string);
      entry.endpoint.destination = required_field(e, "Cell", where, as_int64);
      entry.endpoint.listing = enum_from_name<Listing>(
          required_field(e, "Health", where, as_string),
          {{"healthy", Listing::active}, {"cordoned", Listing::draining}, {"deregistered", Listing::gone}},
          where + ".Health");
      entry.endpoint.weight = optional_field(e, "CapacityHint", where, as_number, 1.0);
      entry.endpoint.since = optional_field(e, "Since", where, as_timestamp, 0);
      entry.zone = optional_field(e, "Az", where, as_string, "");
      entry.kind = optional_field(e, "Kind", where, as_string, "");
      entries.push_back(std::move(entry));
    }
    pools[required_field(v, "RosterId", path, as_int64)] = std::move(entries);
  }

  Event sync(const Value& v, const std::string& path, const NameTables& tables) {
    const std::string how = required_field(v, "How", path, as_string);
    if (how == "X") return event::EndpointListFailed{};
    const auto it = pools.find(required_field(v, "RosterId", path, as_int64));
    if (it == pools.end()) throw_malformed(path + ".RosterId", "no such POOL was given");
    std::vector<Endpoint> list;
    for (const auto& entry : it->second) {
      list.push_back(entry.endpoint);
      list.back().zone = index_of(tables.zones, entry.zone);
      list.back().kind = index_of(tables.kinds, entry.kind);
    }
    if (how == "D") return event::EndpointListUpdate{std::move(list)};
    if (how == "F") return event::EndpointListSnapshot{std::move(list), false};
    if (how == "C") return event::EndpointListSnapshot{std::move(list), true};
    throw_malformed(path + ".How", ("unknown word '" + how + "'").c_str());
  }

  Event read_event(const std::string& kind, const Value& v, const NameTables& tables) {
    if (kind == "SYNC") return sync(v, kind, tables);
    if (kind == "KNOCK") {
      event::RequestArrived e;
      e.id = required_field(v, "Rid", kind, as_uint64);
      e.destination = required_field(v, "Dest", kind, as_int64);
      const std::string cls = required_field(v, "TierClass", kind, as_string);
      e.message_class = index_of(tables.classes, cls);
      if (e.message_class < 0) throw_malformed(kind + ".TierClass", ("unknown class '" + cls + "'").c_str());
      e.time_left = required_field(v, "TimeLeft", kind, as_duration);
      e.order_key = optional_field(v, "Subject", kind, as_string, "");
      e.repeat = optional_field(v, "Retry", kind, as_bool, false);
      const Value* tenant = find_member(v, "Account");
      if (tenant != nullptr && !(tenant->IsInt() && tenant->GetInt() == 0))
        e.tenant = index_of(tables.tenants, as_string(*tenant, kind + ".Account"));
      return e;
    }
    if (kind == "RETURNED") {
      event::AttemptEnded e;
      e.id = required_field(v, "Rid", kind, as_uint64);
      e.attempt = required_field(v, "SendNo", kind, as_int);
      e.endpoint = required_field(v, "Endpoint", kind, as_string);
      e.outcome = required_field(v, "Result", kind, read_outcome);
      e.latency = optional_field(v, "DelaySeen", kind, as_duration, 0);
      e.request_completed = optional_field(v, "Closed", kind, as_bool, false);
      if (e.outcome == Outcome::rejected)
        e.retry_after = optional_field(v, "RemarkMs", kind, as_duration_ms, 0);
      e.load_report = read_report(v, kind);
      return e;
    }
    if (kind == "HANGUP") return event::RequestWithdrawn{required_field(v, "Rid", kind, as_uint64)};
    if (kind == "REMINDER") return event::TimerExpired{required_field(v, "Tag", kind, as_uint64)};
    if (kind == "ECHO") {
      return event::HealthCheckEnded{
          required_field(v, "Endpoint", kind, as_string), required_field(v, "Result", kind, read_outcome),
          optional_field(v, "DelaySeen", kind, as_duration, 0), read_report(v, kind)};
    }
    if (kind == "HEARD")
      return event::GossipReceived{required_field(v, "From", kind, as_int),
                                   required_field(v, "Body", kind, as_string)};
    throw_malformed(kind, "unknown message kind");
  }

  void answer(std::string& reply) {
    for (const auto& who : acting) {
      Instance& i = instances.at(who);
      std::vector<Action> actions;
      ActionWriter writer(reply, who);
      try {
        if (!i.dispatcher) throw std::runtime_error(i.broken);
        i.dispatcher->handle(now, i.events, actions);
        for (const auto& a : actions) std::visit(writer, a);
      } catch (const std::exception& e) {
        writer.fatal(e.what());
      }
      i.events.clear();
    }
    acting.clear();
    reply += "{\"kind\":\"OK\"}\n";
  }
};

Codec::Codec() : impl_(std::make_unique<Impl>()) {}
Codec::~Codec() = default;

bool Codec::take(const std::string& line, std::string& reply) {
  rapidjson::Document v;
  v.Parse(line.data(), line.size());
  if (v.HasParseError())
    throw WireError("column " + std::to_string(v.GetErrorOffset() + 1) + ": " +
                    rapidjson::GetParseError_En(v.GetParseError()));
  as_object(v, "message");
  const std::string kind = required_field(v, "kind", "message", as_string);
  if (kind == "ROUND") {
    if (impl_->in_batch) throw_malformed(kind, "the round before has not ended");
    impl_->now = required_field(v, "Clock", kind, as_timestamp);
    impl_->in_batch = true;
    return false;
  }
  if (!impl_->in_batch) throw_malformed(kind, "no ROUND came before");
  if (kind == "YOUR_TURN") {
    impl_->in_batch = false;
    reply.clear();
    impl_->answer(reply);
    return true;
  }
  if (kind == "NEW_INSTANCE") {
    impl_->start(v, kind);
  } else if (kind == "POWER_OFF") {
    impl_->stop(v, kind);
  } else if (kind == "POOL") {
    impl_->pool(v, kind);
  } else if (kind == "ACCEPTED") {
    impl_->instance(v, kind);  // no class streams; the attempt's outcome follows
  } else {
    Instance& i = impl_->instance(v, kind);
    i.events.push_back(impl_->read_event(kind, v, i.tables));
  }
  return false;
}

}  // namespace heronvane::dispatch::adapter

#include "codec.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace cedarplank::adapter {
namespace {

using Value = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// ---- Reading fields: `path` says where, for the one line on what is malformed. ----
[[noreturn]] void malformed(const std::string& path, const char* what) {
  throw WireError(path + ": " + what);
}

// The member, or nullptr where it is absent or null.
const Value* find(const Value& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
const Value& need(const Value& object, const char* name, const std::string& path) {
  const Value* v = find(object, name);
  if (v == nullptr) malformed(path + "." + name, "missing");
  return *v;
}

std::string as_text(const Value& v, const std::string& path) {
  if (!v.IsString()) malformed(path, "must be a string");
  return {v.GetString(), v.GetStringLength()};
}
std::int64_t as_integer(const Value& v, const std::string& path) {
  if (!v.IsInt64()) malformed(path, "must be an integer");
  return v.GetInt64();
}
std::uint64_t as_natural(const Value& v, const std::string& path) {
  if (!v.IsUint64()) malformed(path, "must be a whole number");
  return v.GetUint64();
}
int as_int(const Value& v, const std::string& path) {
  if (!v.IsInt()) malformed(path, "must be an integer");
  return v.GetInt();
}
double as_number(const Value& v, const std::string& path) {
  if (!v.IsNumber()) malformed(path, "must be a number");
  return v.GetDouble();
}
bool as_bool(const Value& v, const std::string& path) {
  if (!v.IsBool()) malformed(path, "must be true or false");
  return v.GetBool();
}
const Value& as_object(const Value& v, const std::string& path) {
  if (!v.IsObject()) malformed(path, "must be an object");
  return v;
}
const Value& as_array(const Value& v, const std::string& path) {
  if (!v.IsArray()) malformed(path, "must be an array");
  return v;
}

// A required field, and one that may be absent or null, read by one of the readers above.
template <class Read>
auto get(const Value& object, const char* name, const std::string& path, Read read) {
  return read(need(object, name, path), path + "." + name);
}
template <class Read, class Default>
auto get(const Value& object, const char* name, const std::string& path, Read read, Default absent) {
  const Value* v = find(object, name);
  using Result = decltype(read(*v, path));
  return v == nullptr ? static_cast<Result>(absent) : read(*v, path + "." + name);
}

// The value that a word of the wire stands for.
template <class T>
T word(const std::string& text, std::initializer_list<std::pair<const char*, T>> words,
       const std::string& path) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  malformed(path, ("unknown word '" + text + "'").c_str());
}

using Names = std::unordered_map<std::string, int>;
Names names_of(const Value& object, const char* name, const std::string& path) {
  Names names;
  const Value* list = find(object, name);
  if (list == nullptr) return names;
  for (const auto& v : as_array(*list, path + "." + name).GetArray())
    names.emplace(as_text(v, path + "." + name), static_cast<int>(names.size()));
  return names;
}
int position(const Names& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

struct Tables {
  Names classes, tenants, zones, kinds;
};

ClassSettings read_class(const Value& v, const std::string& path) {
  ClassSettings c;
  c.worth = get(v, "Points", path, as_number);
  c.late_worth = get(v, "LateWorth", path, as_number, 0.0);
  c.aim = get(v, "Target", path, as_integer);
  c.deadline = get(v, "Deadline", path, as_integer);
  c.effect = word<Effect>(
      get(v, "Idempotency", path, as_text),
      {{"read_like", Effect::safe}, {"idempotency_key", Effect::keyed}, {"non_idempotent", Effect::unsafe}},
      path + ".Idempotency");
  c.group = word<KeyGroup>(get(v, "Group", path, as_text, "all"),
                           {{"all", KeyGroup::all}, {"zone", KeyGroup::zone}, {"cell", KeyGroup::cell}},
                           path + ".Group");
  c.key_window = get(v, "Window", path, as_integer, 0);
  c.ordered = get(v, "FifoByKey", path, as_bool, false);
  return c;
}

// A list with one value for each kind, or nothing.
const Value* per_kind(const Value& family, const char* name, const std::string& path) {
  const Value* v = find(family, name);
  return v == nullptr ? nullptr : &as_array(*v, path + "." + name);
}

Settings read_settings(const Value& v, const std::string& path, Tables& tables) {
  as_object(v, path);
  Settings s;
  for (const auto& c : as_array(need(v, "Classes", path), path + ".Classes").GetArray()) {
    as_object(c, path + ".Classes");
    tables.classes.emplace(get(c, "Name", path + ".Classes", as_text), static_cast<int>(s.classes.size()));
    s.classes.push_back(read_class(c, path + ".Classes"));
  }
  if (const Value* tenants = find(v, "Tenants")) {
    for (const auto& t : as_array(*tenants, path + ".Tenants").GetArray()) {
      as_object(t, path + ".Tenants");
      tables.tenants.emplace(get(t, "Name", path + ".Tenants", as_text), static_cast<int>(s.tenants.size()));
      s.tenants.push_back({get(t, "QuotaPerS", path + ".Tenants", as_number, 0.0)});
    }
  }
  tables.zones = names_of(v, "FailureDomains", path);
  tables.kinds = names_of(v, "HostTypes", path);
  s.kinds.resize(std::max<std::size_t>(1, tables.kinds.size()));

  const std::string family_path = path + ".FamilyInfo";
  const Value& family = as_object(need(v, "FamilyInfo", path), family_path);
  const Value* apart = per_kind(family, "RoutesApart", family_path);
  const Value* bundle = per_kind(family, "BundleMax", family_path);
  for (rapidjson::SizeType i = 0; i < s.kinds.size(); i++) {
    if (apart != nullptr && i < apart->Size())
      s.kinds[i].routes_apart = as_bool((*apart)[i], family_path + ".RoutesApart");
    if (bundle != nullptr && i < bundle->Size())
      s.kinds[i].bundle_max = as_int((*bundle)[i], family_path + ".BundleMax");
  }
  s.slots = get(family, "Workers", family_path, as_int);
  s.decay = word<Decay>(get(family, "Decay", family_path, as_text, "line"),
                        {{"line", Decay::line}, {"halves", Decay::halves}}, family_path + ".Decay");
  if (const Value* toll = per_kind(family, "Toll", family_path))
    for (const auto& fee : toll->GetArray()) s.zone_fees.push_back(as_number(fee, family_path + ".Toll"));

  const std::string limits_path = path + ".Limits";
  const Value& limits = as_object(need(v, "Limits", path), limits_path);
  s.open_max = get(limits, "OpenCap", limits_path, as_int);
  s.attempts_max = get(limits, "MaxAttempts", limits_path, as_int);
  s.second_copies = get(limits, "SecondCopies", limits_path, as_bool, false);
  s.cancelling = get(limits, "Cancelling", limits_path, as_bool, false);
  s.probes = get(limits, "Probes", limits_path, as_bool, false);
  s.peers = get(limits, "Peers", limits_path, as_bool, false);
  s.connect_timeout = get(limits, "ConnectTimeout", limits_path, as_integer, s.connect_timeout);
  s.connection_idle = get(limits, "ConnIdle", limits_path, as_integer, s.connection_idle);
  s.retry_after_max = get(limits, "MaxRetryAfter", limits_path, as_integer, 0);

  const std::string rules_path = path + ".Rules";
  const Value& rules = as_object(need(v, "Rules", path), rules_path);
  s.answer_slack = get(rules, "AnswerSlack", rules_path, as_integer, 0);
  s.drain_grace = get(rules, "DrainGrace", rules_path, as_integer, 0);
  s.must_ask_in = get(rules, "MustAskIn", rules_path, as_integer, 0);
  s.settle_after_doubt = get(rules, "SettleAfterDoubt", rules_path, as_integer, 0);
  s.fall_multiple = get(rules, "FallMultiple", rules_path, as_number, s.fall_multiple);
  s.overload_for = get(rules, "OverloadFor", rules_path, as_integer, s.overload_for);
  s.cold_from = get(rules, "ColdFrom", rules_path, as_number, s.cold_from);
  s.cold = get(rules, "Cold", rules_path, as_integer, s.cold);

  s.over_share_worth = get(v, "OverShareWorth", path, as_number, 1.0);
  s.relays = get(v, "GroupSize", path, as_int, 1);
  s.rank = get(v, "Rank", path, as_int, 0);
  s.zone = position(tables.zones, get(v, "Locality", path, as_text, ""));
  s.tick = get(v, "Tick", path, as_integer, s.tick);
  s.subscribe = get(v, "Discovery", path, as_text, "automatic") == "subscribe";
  s.weights = word<WeightKind>(get(v, "WeightKind", path, as_text, "none"),
                               {{"none", WeightKind::none},
                                {"nominal", WeightKind::nominal},
                                {"rough", WeightKind::rough},
                                {"live", WeightKind::none}},
                               path + ".WeightKind");
  return s;
}

Outcome read_outcome(const Value& v, const std::string& path) {
  switch (as_integer(v, path)) {
    case 10:
      return Outcome::served;
    case 20:
      return Outcome::error;
    case 30:
      return Outcome::full;
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
      malformed(path, "unknown outcome");
  }
}

Report read_report(const Value& event, const std::string& path) {
  Report r;
  const Value* v = find(event, "HealthInfo");
  if (v == nullptr) return r;
  const std::string where = path + ".HealthInfo";
  as_object(*v, where);
  r.limit_left = get(*v, "x0", where, as_number, -1.0);
  r.limit_rate = get(*v, "x1", where, as_number, -1.0);
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
  void operator()(const action::Refuse& a) {
    line("BUSY", [&](Writer& w) { id(w, a.id), number(w, "ComeBack", a.come_back); });
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
  void operator()(const action::FetchList&) {
    line("QUERY_ALL", [](Writer&) {});
  }
  void operator()(const action::Subscribe& a) {
    line("FOLLOW", [&](Writer& w) { w.Key("Active"), w.Bool(a.on); });
  }
  void operator()(const action::Probe& a) {
    line("SOUND_OUT", [&](Writer& w) { text(w, "Endpoint", a.endpoint); });
  }
  void operator()(const action::TellPeer& a) {
    line("BROADCAST_TO", [&](Writer& w) { number(w, "Whom", a.whom), text(w, "Body", a.body); });
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
  Tables tables;
  std::optional<Dispatcher> dispatcher;
  std::string broken;  // why the dispatcher could not be made
  std::vector<Event> events;
};

struct Codec::PoolEntry {
  Endpoint endpoint;
  std::string zone, kind;
};

struct Codec::Impl {
  Time now = 0;
  bool in_batch = false;
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, std::vector<PoolEntry>> pools;
  std::vector<std::string> acting;  // instances with an event in this batch, in order

  Instance& instance(const Value& v, const std::string& path) {
    const std::string who = get(v, "Who", path, as_text);
    const auto it = instances.find(who);
    if (it == instances.end()) malformed(path + ".Who", ("instance '" + who + "' was never started").c_str());
    if (std::find(acting.begin(), acting.end(), who) == acting.end()) acting.push_back(who);
    return it->second;
  }

  void start(const Value& v, const std::string& path) {
    const std::string who = get(v, "Who", path, as_text);
    Instance fresh;
    const std::uint64_t seed = get(v, "RngSeed", path, as_natural);
    const Settings settings = read_settings(need(v, "Setup", path), path + ".Setup", fresh.tables);
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
    const std::string who = get(v, "Who", path, as_text);
    instances.erase(who);
    acting.erase(std::find(acting.begin(), acting.end(), who));
  }

  void pool(const Value& v, const std::string& path) {
    std::vector<PoolEntry> entries;
    for (const auto& e : as_array(need(v, "Elements", path), path + ".Elements").GetArray()) {
      const std::string where = path + ".Elements";
      as_object(e, where);
      PoolEntry entry;
      entry.endpoint.id = get(e, "Endpoint", where, as_text);
      entry.endpoint.destination = get(e, "Cell", where, as_integer);
      entry.endpoint.listing = word<Listing>(
          get(e, "Health", where, as_text),
          {{"healthy", Listing::active}, {"cordoned", Listing::draining}, {"deregistered", Listing::gone}},
          where + ".Health");
      entry.endpoint.weight = get(e, "CapacityHint", where, as_number, 1.0);
      entry.endpoint.since = get(e, "Since", where, as_integer, 0);
      entry.zone = get(e, "Az", where, as_text, "");
      entry.kind = get(e, "Kind", where, as_text, "");
      entries.push_back(std::move(entry));
    }
    pools[get(v, "RosterId", path, as_integer)] = std::move(entries);
  }

  Event sync(const Value& v, const std::string& path, const Tables& tables) {
    const std::string how = get(v, "How", path, as_text);
    if (how == "X") return event::ListFailed{};
    const auto it = pools.find(get(v, "RosterId", path, as_integer));
    if (it == pools.end()) malformed(path + ".RosterId", "no such POOL was given");
    std::vector<Endpoint> list;
    for (const auto& entry : it->second) {
      list.push_back(entry.endpoint);
      list.back().zone = position(tables.zones, entry.zone);
      list.back().kind = position(tables.kinds, entry.kind);
    }
    if (how == "D") return event::ListChanges{std::move(list)};
    if (how == "F") return event::ListWhole{std::move(list), false};
    if (how == "C") return event::ListWhole{std::move(list), true};
    malformed(path + ".How", ("unknown word '" + how + "'").c_str());
  }

  Event read_event(const std::string& kind, const Value& v, const Tables& tables) {
    if (kind == "SYNC") return sync(v, kind, tables);
    if (kind == "KNOCK") {
      event::Arrival e;
      e.id = get(v, "Rid", kind, as_natural);
      e.destination = get(v, "Dest", kind, as_integer);
      const std::string cls = get(v, "TierClass", kind, as_text);
      e.message_class = position(tables.classes, cls);
      if (e.message_class < 0) malformed(kind + ".TierClass", ("unknown class '" + cls + "'").c_str());
      e.time_left = get(v, "TimeLeft", kind, as_integer);
      e.order_key = get(v, "Subject", kind, as_text, "");
      e.repeat = get(v, "Retry", kind, as_bool, false);
      const Value* tenant = find(v, "Account");
      if (tenant != nullptr && !(tenant->IsInt() && tenant->GetInt() == 0))
        e.tenant = position(tables.tenants, as_text(*tenant, kind + ".Account"));
      return e;
    }
    if (kind == "RETURNED") {
      event::AttemptEnded e;
      e.id = get(v, "Rid", kind, as_natural);
      e.attempt = get(v, "SendNo", kind, as_int);
      e.endpoint = get(v, "Endpoint", kind, as_text);
      e.outcome = get(v, "Result", kind, read_outcome);
      e.latency = get(v, "DelaySeen", kind, as_integer, 0);
      e.closed = get(v, "Closed", kind, as_bool, false);
      if (e.outcome == Outcome::full) e.told_wait = 1000 * get(v, "RemarkMs", kind, as_integer, 0);
      e.report = read_report(v, kind);
      return e;
    }
    if (kind == "HANGUP") return event::Withdrawn{get(v, "Rid", kind, as_natural)};
    if (kind == "REMINDER") return event::TimerDue{get(v, "Tag", kind, as_natural)};
    if (kind == "ECHO") {
      return event::ProbeEnded{get(v, "Endpoint", kind, as_text), get(v, "Result", kind, read_outcome),
                               get(v, "DelaySeen", kind, as_integer, 0), read_report(v, kind)};
    }
    if (kind == "HEARD") return event::PeerNote{get(v, "From", kind, as_int), get(v, "Body", kind, as_text)};
    malformed(kind, "unknown message kind");
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
  const std::string kind = get(v, "kind", "message", as_text);
  if (kind == "ROUND") {
    if (impl_->in_batch) malformed(kind, "the round before has not ended");
    impl_->now = get(v, "Clock", kind, as_integer);
    impl_->in_batch = true;
    return false;
  }
  if (!impl_->in_batch) malformed(kind, "no ROUND came before");
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

}  // namespace cedarplank::adapter

#include "settings.hpp"

#include <algorithm>

namespace heronvane::dispatch::adapter {
namespace {

NameIndex names_of(const Value& object, const char* name, const std::string& path) {
  NameIndex names;
  const Value* list = find_member(object, name);
  if (list == nullptr) return names;
  for (const auto& v : as_array(*list, path + "." + name).GetArray())
    names.emplace(as_string(v, path + "." + name), static_cast<int>(names.size()));
  return names;
}
ClassSettings read_class(const Value& v, const std::string& path) {
  ClassSettings c;
  c.priority_weight = required_field(v, "Points", path, as_number);
  c.weight_at_deadline = optional_field(v, "LateWorth", path, as_number, 0.0);
  c.latency_objective = required_field(v, "Target", path, as_duration);
  c.deadline = required_field(v, "Deadline", path, as_duration);
  c.idempotency = enum_from_name<Idempotency>(required_field(v, "Idempotency", path, as_string),
                                              {{"read_like", Idempotency::idempotent},
                                               {"idempotency_key", Idempotency::keyed},
                                               {"non_idempotent", Idempotency::non_idempotent}},
                                              path + ".Idempotency");
  c.key_scope = enum_from_name<KeyScope>(
      optional_field(v, "Group", path, as_string, "all"),
      {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, path + ".Group");
  c.key_window = optional_field(v, "Window", path, as_duration, 0);
  c.ordered = optional_field(v, "FifoByKey", path, as_bool, false);
  return c;
}

// A list with one value for each kind, or nothing.
const Value* per_kind(const Value& family, const char* name, const std::string& path) {
  const Value* v = find_member(family, name);
  return v == nullptr ? nullptr : &as_array(*v, path + "." + name);
}

}  // namespace

int index_of(const NameIndex& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

Settings read_settings(const Value& v, const std::string& path, NameTables& tables) {
  as_object(v, path);
  Settings s;
  for (const auto& c : as_array(required_member(v, "Classes", path), path + ".Classes").GetArray()) {
    as_object(c, path + ".Classes");
    tables.classes.emplace(required_field(c, "Name", path + ".Classes", as_string),
                           static_cast<int>(s.classes.size()));
    s.classes.push_back(read_class(c, path + ".Classes"));
  }
  if (const Value* tenants = find_member(v, "Tenants")) {
    for (const auto& t : as_array(*tenants, path + ".Tenants").GetArray()) {
      as_object(t, path + ".Tenants");
      tables.tenants.emplace(required_field(t, "Name", path + ".Tenants", as_string),
                             static_cast<int>(s.tenants.size()));
      s.tenants.push_back({optional_field(t, "QuotaPerS", path + ".Tenants", as_number, 0.0)});
    }
  }
  tables.zones = names_of(v, "FailureDomains", path);
  tables.kinds = names_of(v, "HostTypes", path);
  s.kinds.resize(std::max<std::size_t>(1, tables.kinds.size()));

  const std::string family_path = path + ".FamilyInfo";
  const Value& family = as_object(required_member(v, "FamilyInfo", path), family_path);
  const Value* apart = per_kind(family, "RoutesApart", family_path);
  const Value* bundle = per_kind(family, "BundleMax", family_path);
  for (rapidjson::SizeType i = 0; i < s.kinds.size(); i++) {
    if (apart != nullptr && i < apart->Size())
      s.kinds[i].per_endpoint_limits = as_bool((*apart)[i], family_path + ".RoutesApart");
    if (bundle != nullptr && i < bundle->Size())
      s.kinds[i].max_batch_size = as_int((*bundle)[i], family_path + ".BundleMax");
  }
  s.max_concurrent_calls = required_field(family, "Workers", family_path, as_int);
  s.decay = enum_from_name<WeightDecay>(optional_field(family, "Decay", family_path, as_string, "line"),
                                        {{"line", WeightDecay::linear}, {"halves", WeightDecay::half_life}},
                                        family_path + ".Decay");
  if (const Value* toll = per_kind(family, "Toll", family_path))
    for (const auto& fee : toll->GetArray()) s.zone_costs.push_back(as_number(fee, family_path + ".Toll"));

  const std::string limits_path = path + ".Limits";
  const Value& limits = as_object(required_member(v, "Limits", path), limits_path);
  s.max_in_flight = required_field(limits, "OpenCap", limits_path, as_int);
  s.max_attempts = required_field(limits, "MaxAttempts", limits_path, as_int);
  s.hedging = optional_field(limits, "SecondCopies", limits_path, as_bool, false);
  s.cancellation = optional_field(limits, "Cancelling", limits_path, as_bool, false);
  s.health_checks = optional_field(limits, "Probes", limits_path, as_bool, false);
  s.gossip = optional_field(limits, "Peers", limits_path, as_bool, false);
  s.connect_timeout = optional_field(limits, "ConnectTimeout", limits_path, as_duration, s.connect_timeout);
  s.connection_idle_timeout =
      optional_field(limits, "ConnIdle", limits_path, as_duration, s.connection_idle_timeout);
  s.retry_after_max = optional_field(limits, "MaxRetryAfter", limits_path, as_duration, 0);

  const std::string rules_path = path + ".Rules";
  const Value& rules = as_object(required_member(v, "Rules", path), rules_path);
  s.answer_grace = optional_field(rules, "AnswerSlack", rules_path, as_duration, 0);
  s.drain_grace = optional_field(rules, "DrainGrace", rules_path, as_duration, 0);
  s.max_poll_interval = optional_field(rules, "MustAskIn", rules_path, as_duration, 0);
  s.key_quiet_period = optional_field(rules, "SettleAfterDoubt", rules_path, as_duration, 0);
  s.collapse_factor = optional_field(rules, "FallMultiple", rules_path, as_number, s.collapse_factor);
  s.collapse_period = optional_field(rules, "OverloadFor", rules_path, as_duration, s.collapse_period);
  s.slow_start_min_share = optional_field(rules, "ColdFrom", rules_path, as_number, s.slow_start_min_share);
  s.slow_start_window = optional_field(rules, "Cold", rules_path, as_duration, s.slow_start_window);

  s.over_quota_weight = optional_field(v, "OverShareWorth", path, as_number, 1.0);
  s.relays = optional_field(v, "GroupSize", path, as_int, 1);
  s.relay_index = optional_field(v, "Rank", path, as_int, 0);
  s.zone = index_of(tables.zones, optional_field(v, "Locality", path, as_string, ""));
  s.min_decision_interval = optional_field(v, "Tick", path, as_duration, s.min_decision_interval);
  s.list_subscription = optional_field(v, "Discovery", path, as_string, "automatic") == "subscribe";
  s.weights = enum_from_name<WeightKind>(optional_field(v, "WeightKind", path, as_string, "none"),
                                         {{"none", WeightKind::none},
                                          {"nominal", WeightKind::nominal},
                                          {"rough", WeightKind::rough},
                                          {"live", WeightKind::none}},
                                         path + ".WeightKind");
  return s;
}

}  // namespace heronvane::dispatch::adapter

#include "settings.hpp"

#include <algorithm>
#include <cstddef>

namespace heronvane::dispatch::adapter {
namespace {

constexpr const char* kSubscribe = "subscribe";  // the value of Discovery that has the list watched

// The index of each name in a list of strings; empty where the list is absent.
NameIndex read_name_list(const Value& object, const char* field, const std::string& path) {
  NameIndex names;
  const Value* const list = find_member(object, field);
  if (list == nullptr) return names;
  const std::string list_path = path + "." + field;
  for (const auto& name : as_array(*list, list_path).GetArray()) {
    names.emplace(as_string(name, list_path), static_cast<int>(names.size()));
  }
  return names;
}

ClassSettings read_class(const Value& object, const std::string& path) {
  ClassSettings class_settings;
  class_settings.priority_weight = required_field(object, "Points", path, as_number);
  class_settings.weight_at_deadline = optional_field(object, "LateWorth", path, as_number, 0.0);
  class_settings.latency_objective = required_field(object, "Target", path, as_duration);
  class_settings.deadline = required_field(object, "Deadline", path, as_duration);
  class_settings.idempotency =
      enum_from_name<Idempotency>(required_field(object, "Idempotency", path, as_string),
                                  {{"read_like", Idempotency::idempotent},
                                   {"idempotency_key", Idempotency::keyed},
                                   {"non_idempotent", Idempotency::non_idempotent}},
                                  path + ".Idempotency");
  class_settings.key_scope = enum_from_name<KeyScope>(
      optional_field(object, "Group", path, as_string, "all"),
      {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, path + ".Group");
  class_settings.key_window = optional_field(object, "Window", path, as_duration, 0);
  class_settings.ordered = optional_field(object, "FifoByKey", path, as_bool, false);
  return class_settings;
}

void read_classes(const Value& object, const std::string& path, ParsedSettings& parsed) {
  const std::string classes_path = path + ".Classes";
  auto& classes = parsed.settings.classes;
  for (const auto& entry : as_array(required_member(object, "Classes", path), classes_path).GetArray()) {
    as_object(entry, classes_path);
    const std::string name = required_field(entry, "Name", classes_path, as_string);
    parsed.names.classes.emplace(name, static_cast<int>(classes.size()));
    classes.push_back(read_class(entry, classes_path));
  }
}

void read_tenants(const Value& object, const std::string& path, ParsedSettings& parsed) {
  const Value* const list = find_member(object, "Tenants");
  if (list == nullptr) return;
  const std::string tenants_path = path + ".Tenants";
  auto& tenants = parsed.settings.tenants;
  for (const auto& entry : as_array(*list, tenants_path).GetArray()) {
    as_object(entry, tenants_path);
    const std::string name = required_field(entry, "Name", tenants_path, as_string);
    parsed.names.tenants.emplace(name, static_cast<int>(tenants.size()));
    tenants.push_back({optional_field(entry, "QuotaPerS", tenants_path, as_number, 0.0)});
  }
}

// An array, or nullptr where found is absent.
const Value* find_array(const Value& object, const char* field, const std::string& path) {
  const Value* const value = find_member(object, field);
  return value == nullptr ? nullptr : &as_array(*value, path + "." + field);
}

// Lists with a value for each kind of host; kinds beyond the end of a list keep their default.
void read_kinds(const Value& family, const std::string& path, std::vector<KindSettings>& kinds) {
  const Value* const separate_limits = find_array(family, "RoutesApart", path);
  const Value* const batch_sizes = find_array(family, "BundleMax", path);
  for (rapidjson::SizeType i = 0; i < kinds.size(); i++) {
    if (separate_limits != nullptr && i < separate_limits->Size()) {
      kinds[i].per_endpoint_limits = as_bool((*separate_limits)[i], path + ".RoutesApart");
    }
    if (batch_sizes != nullptr && i < batch_sizes->Size()) {
      kinds[i].max_batch_size = as_int((*batch_sizes)[i], path + ".BundleMax");
    }
  }
}

void read_family(const Value& object, const std::string& path, Settings& settings) {
  const std::string family_path = path + ".FamilyInfo";
  const Value& family = as_object(required_member(object, "FamilyInfo", path), family_path);
  read_kinds(family, family_path, settings.kinds);
  settings.max_concurrent_calls = required_field(family, "Workers", family_path, as_int);
  settings.decay = enum_from_name<WeightDecay>(
      optional_field(family, "Decay", family_path, as_string, "line"),
      {{"line", WeightDecay::linear}, {"halves", WeightDecay::half_life}}, family_path + ".Decay");
  const Value* const zone_costs = find_array(family, "Toll", family_path);
  if (zone_costs == nullptr) return;
  for (const auto& cost : zone_costs->GetArray()) {
    settings.zone_costs.push_back(as_number(cost, family_path + ".Toll"));
  }
}

void read_limits(const Value& object, const std::string& path, Settings& settings) {
  const std::string limits_path = path + ".Limits";
  const Value& limits = as_object(required_member(object, "Limits", path), limits_path);
  settings.max_in_flight = required_field(limits, "OpenCap", limits_path, as_int);
  settings.max_attempts = required_field(limits, "MaxAttempts", limits_path, as_int);
  settings.hedging = optional_field(limits, "SecondCopies", limits_path, as_bool, false);
  settings.cancellation = optional_field(limits, "Cancelling", limits_path, as_bool, false);
  settings.health_checks = optional_field(limits, "Probes", limits_path, as_bool, false);
  settings.gossip = optional_field(limits, "Peers", limits_path, as_bool, false);
  settings.connect_timeout =
      optional_field(limits, "ConnectTimeout", limits_path, as_duration, settings.connect_timeout);
  settings.connection_idle_timeout =
      optional_field(limits, "ConnIdle", limits_path, as_duration, settings.connection_idle_timeout);
  settings.retry_after_max = optional_field(limits, "MaxRetryAfter", limits_path, as_duration, 0);
}

void read_rules(const Value& object, const std::string& path, Settings& settings) {
  const std::string rules_path = path + ".Rules";
  const Value& rules = as_object(required_member(object, "Rules", path), rules_path);
  settings.answer_grace = optional_field(rules, "AnswerSlack", rules_path, as_duration, 0);
  settings.drain_grace = optional_field(rules, "DrainGrace", rules_path, as_duration, 0);
  settings.max_poll_interval = optional_field(rules, "MustAskIn", rules_path, as_duration, 0);
  settings.key_quiet_period = optional_field(rules, "SettleAfterDoubt", rules_path, as_duration, 0);
  settings.collapse_factor =
      optional_field(rules, "FallMultiple", rules_path, as_number, settings.collapse_factor);
  settings.collapse_period =
      optional_field(rules, "OverloadFor", rules_path, as_duration, settings.collapse_period);
  settings.slow_start_min_share =
      optional_field(rules, "ColdFrom", rules_path, as_number, settings.slow_start_min_share);
  settings.slow_start_window =
      optional_field(rules, "Cold", rules_path, as_duration, settings.slow_start_window);
}

// The fields outside the sections.
void read_instance(const Value& object, const std::string& path, const NameIndex& zones, Settings& settings) {
  settings.over_quota_weight = optional_field(object, "OverShareWorth", path, as_number, 1.0);
  settings.relays = optional_field(object, "GroupSize", path, as_int, 1);
  settings.relay_index = optional_field(object, "Rank", path, as_int, 0);
  settings.zone = index_of(zones, optional_field(object, "Locality", path, as_string, ""));
  settings.min_decision_interval =
      optional_field(object, "Tick", path, as_duration, settings.min_decision_interval);
  settings.list_subscription =
      optional_field(object, "Discovery", path, as_string, "automatic") == kSubscribe;
  // Live weights come with the load reports, not with the list.
  settings.weights = enum_from_name<WeightKind>(optional_field(object, "WeightKind", path, as_string, "none"),
                                                {{"none", WeightKind::none},
                                                 {"nominal", WeightKind::nominal},
                                                 {"rough", WeightKind::rough},
                                                 {"live", WeightKind::none}},
                                                path + ".WeightKind");
}

}  // namespace

int index_of(const NameIndex& names, const std::string& name) {
  const auto found = names.find(name);
  return found == names.end() ? kUnknownIndex : found->second;
}

ParsedSettings read_settings(const Value& object, const std::string& path) {
  as_object(object, path);
  ParsedSettings parsed;
  read_classes(object, path, parsed);
  read_tenants(object, path, parsed);
  parsed.names.zones = read_name_list(object, "FailureDomains", path);
  parsed.names.kinds = read_name_list(object, "HostTypes", path);
  parsed.settings.kinds.resize(std::max<std::size_t>(1, parsed.names.kinds.size()));
  read_family(object, path, parsed.settings);
  read_limits(object, path, parsed.settings);
  read_rules(object, path, parsed.settings);
  read_instance(object, path, parsed.names.zones, parsed.settings);
  return parsed;
}

}  // namespace heronvane::dispatch::adapter

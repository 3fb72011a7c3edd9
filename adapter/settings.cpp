#include "settings.hpp"

#include <algorithm>

namespace heronvane::dispatch::adapter {
namespace {

Names names_of(const Value& object, const char* name, const std::string& path) {
  Names names;
  const Value* list = find(object, name);
  if (list == nullptr) return names;
  for (const auto& v : as_array(*list, path + "." + name).GetArray())
    names.emplace(as_text(v, path + "." + name), static_cast<int>(names.size()));
  return names;
}
ClassSettings read_class(const Value& v, const std::string& path) {
  ClassSettings c;
  c.priority_weight = get(v, "Points", path, as_number);
  c.weight_at_deadline = get(v, "LateWorth", path, as_number, 0.0);
  c.latency_objective = get(v, "Target", path, as_span);
  c.deadline = get(v, "Deadline", path, as_span);
  c.idempotency = word<Idempotency>(get(v, "Idempotency", path, as_text),
                                    {{"read_like", Idempotency::idempotent},
                                     {"idempotency_key", Idempotency::keyed},
                                     {"non_idempotent", Idempotency::non_idempotent}},
                                    path + ".Idempotency");
  c.key_scope = word<KeyScope>(get(v, "Group", path, as_text, "all"),
                               {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}},
                               path + ".Group");
  c.key_window = get(v, "Window", path, as_span, 0);
  c.ordered = get(v, "FifoByKey", path, as_bool, false);
  return c;
}

// A list with one value for each kind, or nothing.
const Value* per_kind(const Value& family, const char* name, const std::string& path) {
  const Value* v = find(family, name);
  return v == nullptr ? nullptr : &as_array(*v, path + "." + name);
}

}  // namespace

int position(const Names& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
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
      s.kinds[i].per_endpoint_limits = as_bool((*apart)[i], family_path + ".RoutesApart");
    if (bundle != nullptr && i < bundle->Size())
      s.kinds[i].max_batch_size = as_int((*bundle)[i], family_path + ".BundleMax");
  }
  s.max_concurrent_calls = get(family, "Workers", family_path, as_int);
  s.decay = word<WeightDecay>(get(family, "Decay", family_path, as_text, "line"),
                              {{"line", WeightDecay::linear}, {"halves", WeightDecay::half_life}},
                              family_path + ".Decay");
  if (const Value* toll = per_kind(family, "Toll", family_path))
    for (const auto& fee : toll->GetArray()) s.zone_costs.push_back(as_number(fee, family_path + ".Toll"));

  const std::string limits_path = path + ".Limits";
  const Value& limits = as_object(need(v, "Limits", path), limits_path);
  s.max_in_flight = get(limits, "OpenCap", limits_path, as_int);
  s.max_attempts = get(limits, "MaxAttempts", limits_path, as_int);
  s.hedging = get(limits, "SecondCopies", limits_path, as_bool, false);
  s.cancellation = get(limits, "Cancelling", limits_path, as_bool, false);
  s.health_checks = get(limits, "Probes", limits_path, as_bool, false);
  s.gossip = get(limits, "Peers", limits_path, as_bool, false);
  s.connect_timeout = get(limits, "ConnectTimeout", limits_path, as_span, s.connect_timeout);
  s.connection_idle_timeout = get(limits, "ConnIdle", limits_path, as_span, s.connection_idle_timeout);
  s.retry_after_max = get(limits, "MaxRetryAfter", limits_path, as_span, 0);

  const std::string rules_path = path + ".Rules";
  const Value& rules = as_object(need(v, "Rules", path), rules_path);
  s.answer_grace = get(rules, "AnswerSlack", rules_path, as_span, 0);
  s.drain_grace = get(rules, "DrainGrace", rules_path, as_span, 0);
  s.max_poll_interval = get(rules, "MustAskIn", rules_path, as_span, 0);
  s.key_quiet_period = get(rules, "SettleAfterDoubt", rules_path, as_span, 0);
  s.collapse_factor = get(rules, "FallMultiple", rules_path, as_number, s.collapse_factor);
  s.collapse_period = get(rules, "OverloadFor", rules_path, as_span, s.collapse_period);
  s.slow_start_min_share = get(rules, "ColdFrom", rules_path, as_number, s.slow_start_min_share);
  s.slow_start_window = get(rules, "Cold", rules_path, as_span, s.slow_start_window);

  s.over_quota_weight = get(v, "OverShareWorth", path, as_number, 1.0);
  s.relays = get(v, "GroupSize", path, as_int, 1);
  s.relay_index = get(v, "Rank", path, as_int, 0);
  s.zone = position(tables.zones, get(v, "Locality", path, as_text, ""));
  s.min_decision_interval = get(v, "Tick", path, as_span, s.min_decision_interval);
  s.list_subscription = get(v, "Discovery", path, as_text, "automatic") == "subscribe";
  s.weights = word<WeightKind>(get(v, "WeightKind", path, as_text, "none"),
                               {{"none", WeightKind::none},
                                {"nominal", WeightKind::nominal},
                                {"rough", WeightKind::rough},
                                {"live", WeightKind::none}},
                               path + ".WeightKind");
  return s;
}

}  // namespace heronvane::dispatch::adapter

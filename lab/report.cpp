#include "report.hpp"

#include <rapidjson/document.h>
#include <rapidjson/ostreamwrapper.h>
#include <rapidjson/writer.h>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace heronvane::lab {

namespace {

std::string number(double n, const char* format = "%.4g") {
  char out[32];
  std::snprintf(out, sizeof out, format, n);
  return out;
}

// The figures by name, as all outputs have them.
std::vector<std::pair<std::string, double>> named(const Report& r) {
  const auto& f = r.figures;
  const auto& t = r.verdict.tally;
  return {{"full_service_s", f.full_service_s.value_or(-1)},
          {"served", f.served()},
          {"served_first_10s", f.served_first_10s},
          {"served_first_30s", f.served_first_30s},
          {"accept_p50_ms", f.accept_p50_ms},
          {"accept_p99_ms", f.accept_p99_ms},
          {"whole_p50_ms", f.whole_p50_ms},
          {"whole_p99_ms", f.whole_p99_ms},
          {"peak_over", f.peak_over},
          {"list_calls", f.list_calls},
          {"list_calls_worst_second", f.list_calls_worst_second},
          {"connections_per_message", f.connections_per_message},
          {"attempts_per_message", f.attempts_per_message},
          {"refused_share", f.refused_share},
          {"sent", static_cast<double>(t.sent)},
          {"taken", static_cast<double>(t.taken)},
          {"delivered", static_cast<double>(t.delivered)},
          {"undeliverable", static_cast<double>(t.undeliverable)},
          {"deferred", static_cast<double>(t.deferred)},
          {"lost_with_disk", static_cast<double>(t.lost_with_disk)},
          {"twice_after_rollback", static_cast<double>(t.twice_after_rollback)},
          {"crossed", static_cast<double>(t.crossed)},
          {"repeats", static_cast<double>(t.repeats)},
          {"falls", static_cast<double>(t.falls)},
          {"cold_load_peak_share", r.peak_cold_load.all},
          {"cold_load_peak_share_of_those_who_saw", r.peak_cold_load.by_those_who_saw},
          {"broken", static_cast<double>(r.verdict.faults())},
          {"excused", static_cast<double>(t.excused)},
          {"relay_cpu_s", r.relay_cpu_s},
          {"relay_memory_mb", static_cast<double>(r.relay_memory) / 1e6},
          {"lag_p50_ms", f.lag_p50_ms},
          {"lag_p99_ms", f.lag_p99_ms},
          {"lag_max_ms", f.lag_max_ms},
          {"links", static_cast<double>(r.fabric.links)},
          {"link_connections", static_cast<double>(r.fabric.connections)},
          {"link_megabytes", static_cast<double>(r.fabric.bytes) / 1e6},
          {"not_carried", static_cast<double>(r.fabric.not_carried)}};
}

using JsonWriter = rapidjson::Writer<rapidjson::OStreamWrapper>;
void text(JsonWriter& json, const char* name, const std::string& value) {
  json.Key(name);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace

std::vector<std::string> unmet(const Experiment& x, const Verdict& v, const Figures& f) {
  std::vector<std::string> all;
  if (x.expect.judged)
    for (const auto& [rule, count] : v.broken)
      all.push_back("rule broken: " + std::string(word(rule)) + ", " + std::to_string(count) + " times");
  const double lost = static_cast<double>(v.tally.lost_with_disk);
  if (lost > x.expect.lost_most)
    all.push_back(std::to_string(v.tally.lost_with_disk) +
                  " messages lost with their machines' disks, expected at most " +
                  number(x.expect.lost_most));
  if (f.served() < x.expect.served_least)
    all.push_back("served " + number(f.served()) + " of the worth, expected at least " +
                  number(x.expect.served_least));
  if (x.expect.full_service_most > 0) {
    const double most = static_cast<double>(x.expect.full_service_most) / 1e6;
    if (!f.full_service_s)
      all.push_back("service was not full again within the run, expected within " + number(most) + " s");
    else if (*f.full_service_s > most)
      all.push_back("service was full again after " + number(*f.full_service_s) + " s, expected within " +
                    number(most));
  }
  if (x.expect.pushed_over_most >= 0 && static_cast<double>(v.tally.falls) > x.expect.pushed_over_most)
    all.push_back(std::to_string(v.tally.falls) + " destinations fell over, expected at most " +
                  number(x.expect.pushed_over_most));
  return all;
}

void write_json(const Report& r, std::ostream& out) {
  rapidjson::OStreamWrapper stream(out);
  JsonWriter json(stream);
  json.SetMaxDecimalPlaces(4);
  json.StartObject();
  text(json, "program", r.program);
  text(json, "experiment_path", r.experiment_path);
  text(json, "experiment", r.experiment_text);
  text(json, "seed", std::to_string(r.seed));
  json.Key("kept_strikes"), json.StartArray();
  for (const auto i : r.kept_strikes) json.Uint64(i);
  json.EndArray();
  json.Key("passed"), json.Bool(r.failed.empty());
  json.Key("timed"), json.Bool(r.verdict.timed);
  json.Key("failed"), json.StartArray();
  for (const auto& f : r.failed) json.String(f.c_str());
  json.EndArray();
  json.Key("figures"), json.StartObject();
  for (const auto& [name, value] : named(r)) json.Key(name.c_str()), json.Double(value);
  json.EndObject();
  json.Key("broken"), json.StartObject();
  for (const auto& [rule, count] : r.verdict.broken) json.Key(word(rule)), json.Uint64(count);
  json.EndObject();
  json.Key("findings"), json.StartArray();
  for (const auto& f : r.verdict.findings) {
    json.StartObject();
    text(json, "rule", word(f.rule));
    json.Key("at_s"), json.Double(static_cast<double>(f.at) / 1e6);
    text(json, "id", f.id);
    text(json, "what", f.text);
    json.Key("path"), json.StartArray();
    for (const auto& step : f.path) json.String(step.c_str());
    json.EndArray();
    json.EndObject();
  }
  json.EndArray();
  json.Key("faults"), json.StartArray();
  for (const auto& s : r.plan.strikes) {
    json.StartObject();
    json.Key("at_s"), json.Double(static_cast<double>(s.at) / 1e6);
    json.Key("for_s"), json.Double(static_cast<double>(s.lasts) / 1e6);
    text(json, "what", s.words);
    json.EndObject();
  }
  json.EndArray();
  json.Key("series"), json.StartArray();
  for (const auto& p : r.figures.points) {
    json.StartObject();
    json.Key("at_s"), json.Double(static_cast<double>(p.at) / 1e6);
    json.Key("offered"), json.Double(p.offered);
    json.Key("taken"), json.Double(p.taken);
    json.Key("refused"), json.Double(p.refused);
    json.Key("unanswered"), json.Double(p.unanswered);
    json.Key("served_worth"), json.Double(p.served_worth);
    json.Key("held"), json.Double(p.held);
    json.Key("list_calls"), json.Double(p.list_calls);
    json.Key("connections"), json.Double(p.connections);
    json.Key("relays_up"), json.Double(p.relays_up);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  out << "\n";
}

void write_events(const History& history, const Plan& plan, std::ostream& out) {
  rapidjson::OStreamWrapper stream(out);
  for (const auto& e : history) {
    JsonWriter json(stream);
    json.StartObject();
    json.Key("at_us"), json.Int64(e.at);
    text(json, "kind", word(e.kind));
    if (e.relay < plan.relays.size()) text(json, "relay", plan.relays[e.relay].name);
    if (e.endpoint < plan.endpoints.size()) text(json, "endpoint", plan.endpoints[e.endpoint].name);
    if (e.destination < plan.destinations.size())
      text(json, "destination", plan.destinations[e.destination].name);
    if (!e.id.empty()) text(json, "id", e.id);
    if (e.call > 0) json.Key("call"), json.Uint(e.call);
    if (e.until != 0) json.Key("until_us"), json.Int64(e.until);
    if (e.value != 0) json.Key("value"), json.Double(e.value);
    json.EndObject();
    out << "\n";
  }
}

std::string summary(const Report& r) {
  std::ostringstream out;
  const auto& t = r.verdict.tally;
  const auto& f = r.figures;
  out << (r.failed.empty() ? "passed" : "FAILED") << "  seed " << r.seed << "  " << r.program << "\n";
  for (const auto& why : r.failed) out << "  not met: " << why << "\n";
  if (!r.verdict.timed)
    out << "  not judged in time: the lab itself lagged for " << number(100 * r.verdict.lagged, "%.1f")
        << "% of the run; rules that hang on times were left out\n";
  out << "  handed in " << t.sent << " tries, taken " << t.taken << ", refused " << t.refused
      << ", no answer " << t.silence << ", no relay " << t.unreached << "\n  delivered " << t.delivered
      << ", given up " << t.undeliverable << ", deferred " << t.deferred << ", lost with disks "
      << t.lost_with_disk << ", fell over " << t.falls << ", excused " << t.excused << "\n  served "
      << number(f.served(), "%.3f") << " of the worth (" << number(f.served_first_10s, "%.3f")
      << " in the 10 s from the first fault, " << number(f.served_first_30s, "%.3f")
      << " in 30 s); full service "
      << (f.full_service_s         ? "after " + number(*f.full_service_s, "%.1f") + " s"
          : r.plan.strikes.empty() ? std::string("throughout")
                                   : std::string("not within the run"))
      << "\n  taken on in " << number(f.accept_p50_ms, "%.1f") << " / " << number(f.accept_p99_ms, "%.1f")
      << " ms, delivered in " << number(f.whole_p50_ms, "%.0f") << " / " << number(f.whole_p99_ms, "%.0f")
      << " ms (p50 / p99)\n  peak of calls over capacity " << number(f.peak_over, "%.1f")
      << (f.peak_at.empty() ? "" : " (" + f.peak_at + ")") << ", calls for lists "
      << number(f.list_calls, "%.0f") << ", in the worst second " << number(f.list_calls_worst_second, "%.0f")
      << ", new connections a message " << number(f.connections_per_message, "%.2f")
      << "\n  most that came to a cold destination, of what may come: "
      << number(r.peak_cold_load.all, "%.2f") << ", from relays that had seen its outage "
      << number(r.peak_cold_load.by_those_who_saw, "%.2f") << "\n  the lab: " << r.fabric.links
      << " links, lag p99 " << number(f.lag_p99_ms, "%.1f") << " ms, most " << number(f.lag_max_ms, "%.0f")
      << " ms";
  if (r.fabric.not_carried > 0)
    out << ", " << r.fabric.not_carried << " connections not carried for want of descriptors";
  out << "\n";
  std::size_t shown = 0;
  for (const auto& finding : r.verdict.findings) {
    if (shown++ == 3) break;
    out << "  " << word(finding.rule) << " at " << number(static_cast<double>(finding.at) / 1e6, "%.3f")
        << " s: " << (finding.id.empty() ? "" : finding.id + ": ") << finding.text << "\n";
    for (const auto& step : finding.path) out << "      " << step << "\n";
  }
  return out.str();
}

Kept read_report(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": can't be read: " + std::strerror(errno));
  const std::string bytes(std::istreambuf_iterator<char>(in), {});
  rapidjson::Document v;
  v.Parse(bytes.data(), bytes.size());
  const auto fits = [&](const char* name, auto is) {
    if (v.HasParseError() || !v.IsObject() || !v.HasMember(name) || !(v[name].*is)())
      throw std::runtime_error(path + ": is no report of the lab (" + name +
                               "); name the report.json of a run");
  };
  using Value = rapidjson::Value;
  for (const char* const name : {"program", "experiment_path", "experiment", "seed"})
    fits(name, &Value::IsString);
  fits("kept_strikes", &Value::IsArray), fits("figures", &Value::IsObject), fits("passed", &Value::IsBool);
  Kept k;
  k.program = v["program"].GetString();
  k.experiment_path = v["experiment_path"].GetString();
  k.experiment_text = v["experiment"].GetString();
  k.seed = std::strtoull(v["seed"].GetString(), nullptr, 10);
  k.passed = v["passed"].GetBool();
  for (const auto& i : v["kept_strikes"].GetArray())
    if (i.IsUint64()) k.kept_strikes.push_back(i.GetUint64());
  for (const auto& f : v["figures"].GetObject())
    if (f.value.IsNumber()) k.figures.emplace_back(f.name.GetString(), f.value.GetDouble());
  return k;
}

}  // namespace heronvane::lab

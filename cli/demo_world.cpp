#include "demo_world.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace heronvane::cli {

using standins::Habits;
using standins::TryResult;

namespace {

constexpr DemoWorld::Microseconds kSecond = 1'000'000;
constexpr DemoWorld::Microseconds kReplaceInterval = 25 * kSecond;
// Long enough for every relay to receive the new list and for the running calls to end.
constexpr DemoWorld::Microseconds kDrainTime = 6 * kSecond, kStopAfter = 9 * kSecond;
constexpr DemoWorld::Microseconds kRateWindow = 3 * kSecond;
constexpr DemoWorld::Microseconds kForgetAfter = 120 * kSecond;
constexpr DemoWorld::Microseconds kResetReportInterval = 10 * kSecond;
// Short enough that all pending messages end within the time for the final drain.
constexpr DemoWorld::Microseconds kDeadline = 1'500'000, kUnsafeDeadline = 2'500'000;
constexpr const char* kSafe = "load-status";
constexpr const char* kUnsafe = "pay-and-order";

double rate(std::uint64_t now, std::uint64_t before, DemoWorld::Microseconds span) {
  return span <= 0 || now < before ? 0 : static_cast<double>(now - before) * 1e6 / static_cast<double>(span);
}

std::uint64_t refused(const standins::Endpoint::Counts& c) { return c.refused + c.told_to_wait; }
std::uint64_t failed(const standins::Endpoint::Counts& c) {
  return c.failed + c.silent + c.reset + c.given_up;
}

}  // namespace

SeenState seen_state(std::string_view endpoint, const std::vector<Instance>& instances) {
  std::size_t asked = 0, out = 0, back = 0, gone = 0;
  double wait_ms = 0, pace = 0;
  bool draining = false, slowed = false;
  for (const auto& i : instances) {
    if (!i.status) continue;
    asked++;
    for (const auto& t : i.status->targets) {
      if (t.endpoint != endpoint) continue;
      out += t.health == "closed", back += t.health == "ramp";
      wait_ms = std::max(wait_ms, t.wait_ms);
      pace += t.pace, slowed = slowed || t.delay_ms > 0;
      draining = draining || t.listing == "draining", gone += t.listing == "gone";
    }
  }
  char text[48];
  if (asked == 0) return {"-", Tone::dim};
  if (gone > 0) return {"gone", Tone::dim};
  if (draining) return {"draining", Tone::warn};
  if (out > 0) {
    return {"out at " + std::to_string(out) + " of " + std::to_string(asked), Tone::bad};
  }
  if (wait_ms > 0) {
    std::snprintf(text, sizeof text, "told to wait %.1fs", wait_ms / 1e3);
    return {text, Tone::warn};
  }
  if (back > 0) return {"coming back", Tone::warn};
  if (pace > 0) {
    std::snprintf(text, sizeof text, "paced to %.0f/s", pace);
    return {text, Tone::warn};
  }
  if (slowed) return {"slowed", Tone::warn};
  return {"open", Tone::good};
}

DemoWorld::DemoWorld(boost::asio::io_context& io, std::string partners_file, ReportEvent report_event,
                     std::uint64_t seed)
    : io_(io),
      partners_file_(std::move(partners_file)),
      report_event_(std::move(report_event)),
      seed_(seed),
      partners_{{"harbor", "big", 1, 50},    {"quarry", "small", 2, 17},  {"meadow", "small", 3, 25},
                {"orchard", "small", 4, 20}, {"foundry", "small", 5, 26}, {"lantern", "big", 6, 12}} {
  const auto with = [](auto change) {
    Habits h;
    change(h);
    return h;
  };
  const Habits sound;
  add(0, sound, "sound");
  add(0, with([](Habits& h) { h.median = 25'000, h.spread = 0.6; }), "slow");
  add(1, with([](Habits& h) { h.limit_per_s = 20; }), "takes 20/s");
  add(2, with([](Habits& h) { h.silent = {20 * kSecond, 4 * kSecond}; }), "goes silent");
  add(2, sound, "sound");
  add(3, with([](Habits& h) { h.reset_share = 0.04; }), "resets 4%");
  add(4, sound, "replaced", true);
  add(4, with([](Habits& h) { h.error_share = 0.01; }), "errors 1%");
  add(5, with([](Habits& h) { h.wait = {15 * kSecond, 1 * kSecond}; }), "tells waits");
  add(5, sound, "sound");
  write_partners();
}

DemoWorld::~DemoWorld() = default;

void DemoWorld::add(std::size_t partner, const Habits& habits, std::string behaviour, bool replaced) {
  standins::EndpointOptions o;
  o.name = "s-" + std::to_string(++last_endpoint_number_);
  o.habits = habits;
  o.seed = seed_ + last_endpoint_number_;
  o.ran = [this](const std::string& id) { ledger_.ran(id); };
  o.answered = [this](const std::string& id) { ledger_.delivered(standins::steady_time(), id); };
  EndpointState state;
  state.endpoint = std::make_unique<standins::Endpoint>(io_, std::move(o));
  state.partner = partner, state.habits = habits, state.behaviour = std::move(behaviour),
  state.replaced_regularly = replaced;
  endpoints_.push_back(std::move(state));
}

void DemoWorld::write_partners() const {
  std::string text = "{\"endpoints\":[";
  bool first = true;
  for (const auto& r : endpoints_) {
    if (r.status == "gone") continue;
    const auto& p = partners_[r.partner];
    text += std::string(first ? "\n" : ",\n") + "  {\"name\":\"" + r.endpoint->name() + "\",\"address\":\"" +
            r.endpoint->address() + "\",\"type\":\"" + p.kind + "\",\"group\":" + std::to_string(p.group) +
            ",\"status\":\"" + r.status + "\"}";
    first = false;
  }
  text += "\n]}\n";
  const std::string fresh = partners_file_ + ".new";
  std::ofstream out(fresh);
  out << text;
  out.close();
  if (!out || std::rename(fresh.c_str(), partners_file_.c_str()) != 0)
    throw std::runtime_error(partners_file_ + ": can't be written");
}

void DemoWorld::start_clients(std::vector<standins::ClientsOptions::Relay> relays) {
  standins::ClientsOptions o;
  relays_ = relays.size();
  o.relays = std::move(relays);
  o.plan.per_s = 0;
  for (const auto& p : partners_) {
    o.plan.per_s += p.per_s;
    o.plan.destinations.push_back({p.group, p.per_s});
  }
  o.plan.classes = {{kSafe, 0.7, kDeadline}, {kUnsafe, 0.3, kUnsafeDeadline}};
  o.plan.tenants = {"north", "south", "west"};
  o.seed = seed_;
  o.on_try = [this](const standins::Message& m) {
    ledger_.sent(standins::steady_time(), m.id, m.message_class == kUnsafe);
  };
  o.on_try_result = [this](const standins::Message& m, std::size_t, TryResult h) { ledger_.heard(m.id, h); };
  clients_ = std::make_unique<standins::Clients>(io_, std::move(o));
  clients_->start();
}

void DemoWorld::stop_clients() {
  if (clients_) clients_->stop();
}

standins::Clients::Counts DemoWorld::counts() const {
  return clients_ ? clients_->counts() : standins::Clients::Counts{};
}
bool DemoWorld::clients_out() const { return counts().out > 0; }

void DemoWorld::replace(std::size_t i, Microseconds now) {
  const EndpointState& old = endpoints_[i];
  add(old.partner, old.habits, old.behaviour, true);
  endpoints_[i].status = "draining";
  endpoints_[i].replaced_regularly = false;
  endpoints_[i].gone_at = now + kDrainTime, endpoints_[i].ends_at = now + kStopAfter;
  write_partners();
  report_event_("drained: " + endpoints_[i].endpoint->name() + " -> " + endpoints_.back().endpoint->name());
}

void DemoWorld::tick(Microseconds now) {
  for (auto& r : endpoints_) {
    const auto& name = r.endpoint->name();
    if (r.endpoint->silent() != r.silent) {
      r.silent = !r.silent;
      report_event_(r.silent ? "silent: " + name + " takes calls and answers none"
                             : "answers again: " + name);
    }
    if (r.endpoint->waits() != r.waits) {
      r.waits = !r.waits;
      if (r.waits) report_event_("told to wait: " + name + " wants no calls for a second");
    }
    const auto resets = r.endpoint->counts().reset;
    if (resets > r.resets_reported && now - r.reported_at >= kResetReportInterval) {
      report_event_("reset: " + name + " broke " +
                    count(static_cast<std::int64_t>(resets - r.resets_reported), "call", "calls"));
      r.resets_reported = resets, r.reported_at = now;
    }
    if (r.status == "draining" && now >= r.gone_at) {
      r.status = "gone";
      write_partners();
      report_event_("gone: " + name);
    }
  }
  std::erase_if(endpoints_, [&](const EndpointState& r) { return r.status == "gone" && now >= r.ends_at; });
  if (replace_at_ == 0) replace_at_ = now + kReplaceInterval / 2;
  if (now >= replace_at_) {
    replace_at_ = now + kReplaceInterval;
    for (std::size_t i = 0; i < endpoints_.size(); i++)
      if (endpoints_[i].replaced_regularly) {
        replace(i, now);
        break;
      }
  }
  ledger_.forget(now - kForgetAfter);
  take_sample(now);
}

void DemoWorld::take_sample(Microseconds now) {
  Sample m;
  m.at = now;
  for (std::size_t i = 0; i < relays_; i++) m.taken.push_back(clients_->relay(i).taken);
  for (const auto& r : endpoints_) m.endpoints.emplace_back(r.endpoint->name(), r.endpoint->counts());
  samples_.push_back(std::move(m));
  while (samples_.size() > 1 && samples_[1].at <= now - kRateWindow) samples_.pop_front();
}

void DemoWorld::fill(DemoView& view, const std::vector<Instance>& instances, Microseconds now) {
  view.partners = partners_.size();
  const Sample* const before = samples_.empty() ? nullptr : &samples_.front();
  const Microseconds span = before == nullptr ? 0 : now - before->at;
  for (std::size_t i = 0; i < view.relays.size() && i < relays_; i++) {
    const auto& r = clients_->relay(i);
    if (before != nullptr && i < before->taken.size())
      view.relays[i].per_s = rate(r.taken, before->taken[i], span);
    view.relays[i].p50_us = r.latencies.quantile(now, 0.5);
    view.relays[i].p99_us = r.latencies.quantile(now, 0.99);
  }
  view.endpoints.clear();
  for (const auto& r : endpoints_) {
    DemoView::Endpoint e;
    e.name = r.endpoint->name();
    e.partner = partners_[r.partner].name;
    e.behaviour = r.behaviour;
    e.leaving = r.status != "ready";
    const auto seen = r.status == "gone" ? SeenState{"gone", Tone::dim} : seen_state(e.name, instances);
    e.seen = seen.text, e.tone = seen.tone;
    const auto& c = r.endpoint->counts();
    if (before != nullptr)
      for (const auto& [name, was] : before->endpoints)
        if (name == e.name) {
          e.served_s = rate(c.served, was.served, span);
          e.refused_s = rate(refused(c), refused(was), span);
          e.failed_s = rate(failed(c), failed(was), span);
        }
    view.endpoints.push_back(std::move(e));
  }
  const auto n = counts();
  const auto& l = ledger_.totals();
  auto& t = view.totals;
  t.handed = n.handed, t.taken = n.taken, t.refused = n.refused + n.failed, t.unanswered = n.silence,
  t.out = n.out;
  t.delivered = l.delivered, t.twice = l.twice;
  t.p50_us = ledger_.latencies().quantile(now, 0.5);
  t.p99_us = ledger_.latencies().quantile(now, 0.99);
}

}  // namespace heronvane::cli

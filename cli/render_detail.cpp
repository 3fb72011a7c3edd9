// Renders the details of one instance and of one message.
#include <algorithm>

#include "render.hpp"

namespace heronvane::cli {

namespace {

// Such as "held         3, the oldest for 812ms".
void field(std::string& out, const std::string& name, const std::string& value, const Style& style) {
  constexpr std::size_t kNameWidth = 13;
  auto text = wrapped(safe(value), kNameWidth, style.width);
  const auto head = name + std::string(name.size() < kNameWidth ? kNameWidth - name.size() : 1, ' ');
  out += toned(head, Tone::dim, style) + text.substr(std::min(kNameWidth, text.size()));
}

std::string class_counts(const std::vector<std::pair<std::string, std::int64_t>>& all) {
  std::string out;
  for (const auto& [name, n] : all) out += (out.empty() ? "" : ", ") + std::to_string(n) + " " + name;
  return out;
}

// Counts by age. The key is the upper bound in ms, or "more" above the largest bound.
std::string age_counts(const std::vector<std::pair<std::string, std::int64_t>>& all) {
  std::string out;
  for (const auto& [bound, n] : all) {
    const bool number =
        !bound.empty() && bound.size() < 16 && bound.find_first_not_of("0123456789") == bound.npos;
    out += (out.empty() ? "" : ", ") + std::to_string(n) +
           (number ? " up to " + duration(std::stoll(bound)) : " " + bound);
  }
  return out;
}

std::string targets(const RelayStatus& s, const Style& style) {
  Table table({{"ENDPOINT"},
               {"DESTINATION", 0, true},
               {"LISTED"},
               {"HEALTH"},
               {"WAIT", 0, true},
               {"DELAY", 1, true}});
  const auto length = [](double ms) { return ms > 0 ? duration(static_cast<std::int64_t>(ms)) : "-"; };
  for (const auto& t : s.targets)
    table.row({{t.endpoint},
               {std::to_string(t.destination)},
               {t.listing},
               {t.health, t.health == "open" ? Tone::plain : Tone::warn},
               {length(t.wait_ms)},
               {length(t.delay_ms)}});
  return table.empty() ? "" : "\n" + table.text(style);
}

// The replicas of its log, and the logs of other relays that it stores.
void copies(std::string& out, const RelayStatus::Copies& c, const Style& style) {
  const auto f = [&](const std::string& name, const std::string& value) { field(out, name, value, style); };
  f("copies",
    (c.phase == "owning" ? std::to_string(c.copies) + " of " +
                               count(static_cast<std::int64_t>(c.holders.size()), "holder", "holders") +
                               (c.copies == 1 ? " has all" : " have all")
                         : c.phase) +
        ", epoch " + std::to_string(c.epoch) +
        (c.waiting > 0 ? ", " + count(c.waiting, "entry waits", "entries wait") : "") +
        (c.is_short ? ", too few holders: takes nothing on" : "") +
        (c.changing ? ", a holder is being replaced" : "") +
        (c.under_copied ? "; UNDER-COPIED: a further loss may lose what is held" : ""));
  for (const auto& h : c.holders)
    f("  held by", h.name +
                       (!h.connected ? ", away"
                        : h.snapshot ? ", gets a snapshot"
                        : h.lag > 0  ? ", lacks " + count(h.lag, "entry", "entries")
                                     : ", has all") +
                       (h.trouble.empty() ? "" : ": " + h.trouble));
  for (const auto& h : c.held)
    f("  holds for",
      h.name +
          (h.moved_to.empty() ? ", " + count(h.messages, "message", "messages") + " in " + bytes(h.bytes) +
                                    ", heard " + duration(h.heard_ms_ago) + " ago"
                              : ", taken over by " + h.moved_to) +
          (h.trouble.empty() ? "" : ": " + h.trouble));
  if (c.taken_over > 0 || !c.taking_over.empty())
    f("  taken over",
      count(c.taken_over, "log", "logs") + (c.taking_over.empty() ? "" : "; now " + c.taking_over));
}

}  // namespace

std::string render_instance(const AgentResult<Instance>& result, const Style& style, std::int64_t now_ms) {
  const auto& i = result.value;
  std::string out;
  const auto f = [&](const std::string& name, const std::string& value) { field(out, name, value, style); };
  f("instance", i.name + (result.label.empty() ? "" : " on " + result.label));
  f("phase",
    i.phase + (i.since_ms > 0 ? " for " + duration(now_ms - i.since_ms) : "") + "; wanted: " + i.desired);
  f("listen", i.listen);
  if (i.pid > 0) f("process", std::to_string(i.pid) + ", run " + i.run);
  f("generation",
    std::to_string(i.generation) +
        (i.generation == i.wanted_generation ? "" : ", wanted is " + std::to_string(i.wanted_generation)));
  if (i.restarts > 0 || !i.last_exit.empty())
    f("restarts",
      std::to_string(i.restarts) + (i.last_exit.empty() ? "" : ", last ended with " + i.last_exit));
  if (i.next_start_ms > 0)
    f("next start", i.next_start_ms > now_ms ? "in " + duration(i.next_start_ms - now_ms) : "now");
  if (i.operation > 0) f("operation", std::to_string(i.operation));
  if (!i.status) {
    if (i.pid > 0) f("status", "none: its admin socket has not answered");
    return out;
  }
  const auto& s = *i.status;
  f("status", "told " + duration(i.status_age_ms) + " ago" + (s.ready ? "" : ", not ready") +
                  (s.draining ? ", draining" : "") + (s.stopping ? ", stopping" : ""));
  if (!s.trouble.empty()) f("trouble", s.trouble);
  f("version", s.version + ", up " + duration(s.uptime_ms) + ", fence " + std::to_string(s.fence));
  f("held", s.held == 0 ? "none"
                        : std::to_string(s.held) + ", the oldest for " + duration(s.oldest_ms) +
                              (s.given_up > 0 ? ", " + std::to_string(s.given_up) + " given up" : ""));
  if (!s.by_class.empty()) f("  by class", class_counts(s.by_class));
  if (s.held > 0 && !s.by_age.empty()) f("  by age", age_counts(s.by_age));
  f("calls", std::to_string(s.calls) + " of " + count(s.slots, "slot", "slots") + " out, " +
                 count(s.clients, "client", "clients"));
  f("store",
    bytes(s.store_bytes) + " of " + bytes(s.store_limit) + " in " + count(s.segments, "segment", "segments"));
  f("memory", bytes(s.memory_kb * 1024) + ", " + count(s.descriptors, "descriptor", "descriptors"));
  f("list", s.list_received ? count(s.list_endpoints, "endpoint", "endpoints") + " at index " +
                                  std::to_string(s.list_index)
                            : "not told yet");
  if (s.copies) copies(out, *s.copies, style);
  return out + targets(s, style);
}

std::string render_message(const std::vector<AgentResult<MessageAnswer>>& all, const Style& style,
                           std::int64_t now_ms) {
  std::string out, not_asked;
  for (const auto& result : all) {
    const auto at = [&](const std::string& instance) {
      return instance + (result.label.empty() ? "" : " on " + result.label);
    };
    for (const auto& n : result.value.not_asked) not_asked += (not_asked.empty() ? "" : ", ") + at(n);
    for (const auto& m : result.value.found) {
      if (!out.empty()) out += "\n";
      const auto f = [&](const std::string& name, const std::string& value) {
        field(out, name, value, style);
      };
      f("message", m.id);
      f("instance", at(m.instance));
      const auto state_text = m.state == "given_up" ? "given up, its notice is owed" : m.state;
      f("state", state_text);
      if (!m.message_class.empty()) f("class", m.message_class);
      if (!m.tenant.empty()) f("tenant", m.tenant);
      if (!m.destination.empty()) f("destination", m.destination);
      if (m.deadline_ms > 0) {
        const auto left = m.deadline_ms - now_ms;
        f("deadline",
          moment(m.deadline_ms) + (left > 0 ? ", in " + duration(left) : ", " + duration(-left) + " ago"));
      }
      if (!m.doubt.empty()) f("doubt", m.doubt);
      if (m.state == "over") continue;
      if (m.attempts.empty()) {
        f("attempts", "none yet");
        continue;
      }
      Table table({{"ATTEMPT", 0, true}, {"AGO", 0, true}, {"ZONE"}, {"OUTCOME"}});
      std::size_t n = 0;
      for (const auto& a : m.attempts)
        table.row({{std::to_string(++n)}, {duration(now_ms - a.at_ms)}, {a.zone}, {a.outcome}});
      out += "\n" + table.text(style);
    }
  }
  if (!not_asked.empty()) {
    if (!out.empty()) out += "\n";
    out += wrapped("Not asked, as they do not answer: " + safe(not_asked), 0, style.width);
  }
  return out;
}

}  // namespace heronvane::cli

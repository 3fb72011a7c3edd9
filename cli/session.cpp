#include "session.hpp"

#include <poll.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "overlap.hpp"
#include "wire/utf8.hpp"

namespace heronvane::cli {

using std::chrono::milliseconds;
using Why = TransportError::Why;

namespace {

constexpr milliseconds kSilent{15'000};  // of a followed stream, which is then opened anew
constexpr milliseconds kGiveUp{30'000};  // of an agent that does not come back while it is followed

Instant now() { return std::chrono::steady_clock::now(); }

}  // namespace

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string escaped(const std::string& text) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const std::string sound = printable(text);  // logs hold any bytes
  w.String(sound.data(), static_cast<rapidjson::SizeType>(sound.size()));
  return b.GetString();
}

int merged(const std::vector<int>& exits) {
  if (exits.empty()) return kDone;
  const bool same = std::all_of(exits.begin(), exits.end(), [&](int e) { return e == exits.front(); });
  return same ? exits.front() : kPartial;
}

Port::Port(const Global& global, const std::string& agent, const Stop& stop)
    : command("heronvanectl" + (global.agents_named ? " --agent " + agent : "")),
      address_(agent),
      patience_(global.timeout ? milliseconds(static_cast<std::int64_t>(*global.timeout * 1000))
                               : milliseconds(10'000)),
      stop_(stop),
      dialer_(make_dialer(agent, {global.cert, global.key, global.ca}, stop)),
      client_(*dialer_) {
  if (global.agents.size() > 1) label = agent.rfind("https://", 0) == 0 ? agent.substr(8) : agent;
}

Instant Port::patience() const { return now() + patience_; }
std::string Port::named() const {
  return "agent " + (label.empty() || label == address_ ? address_ : label + " (" + address_ + ")");
}

Failure Port::transport(const TransportError& e, bool change) const {
  const bool tls = address_.rfind("https://", 0) == 0;
  Failure f{kUnreachable, "", "", "", false};
  switch (e.why) {
    case Why::absent:
      f.what = "no agent at " + address_ + ": " + e.what();
      f.next =
          tls ? "see that heronvane-agent runs there with --listen-tls, and that the address is right"
              : "start one: heronvane-agent --data FOLDER; or name one that runs: --agent FOLDER/agent.sock";
      return f;
    case Why::forbidden:
      f.what = named() + ": this user may not speak to it: " + e.what();
      f.next = "run this as the user that the agent runs as, or as root";
      return f;
    case Why::untrusted:
      f.what = named() + ": TLS: " + e.what();
      f.next =
          "see that --cert and --key are of a client that the agent knows, and --ca signed its certificate";
      return f;
    case Why::late:
      f.what = named() + ": no answer within " + duration(patience_.count());
      f.next = "wait longer: --timeout SECONDS; or see whether the agent's machine is well";
      break;
    case Why::broken:
    case Why::interrupted:
      f.what = named() + ": " + e.what();
      // An agent may end a connection so hastily that its reason for refusing the certificate is lost.
      f.next = tls ? "see that --cert and --key are of a client that the agent knows; then try again"
                   : "try again; see whether the agent runs: " + command + " version";
      break;
  }
  if (change) {
    f.what += "; whether it took the change is not known";
    f.next = "look before trying again: " + command + " history";
  }
  return f;
}

std::string Port::versions() {
  std::string version = "unknown";
  try {
    const auto a = client_.get("/v1/agent", patience());
    if (a.status == 200) version = read_agent(a.body).version;
  } catch (const std::runtime_error&) {  // the version is for the message only
  }
  return "API " + std::to_string(api_) + " (heronvane-agent " + version + "), this heronvanectl API " +
         std::to_string(kApi) + " (" HERONVANE_VERSION ")";
}

Failure Port::malformed(const std::string& what) {
  if (other_api() != 0)
    return {kUnreachable, named() + " speaks " + versions() + ": " + what,
            "use the heronvanectl that came with that agent", "", false};
  return {kUnreachable, named() + ": " + what, "see that a heronvane-agent listens there, and its version",
          "", false};
}

Failure Port::told(const AgentError& e, std::string json) const {
  Failure f;
  f.json = std::move(json);
  f.what = named() + ": " + e.message;
  f.next = e.hint;
  f.unknown = e.code == "unknown";
  if (f.unknown && e.message.find(' ') == std::string::npos) f.what = named() + ": there is no " + e.message;
  if (f.unknown && f.next.empty()) f.next = "see what there is: " + command + " list";
  if (e.code == "conflict") {
    f.exit = kConflict;
    if (e.with) {
      std::string names;
      for (const auto& n : e.with->names) names += (names.empty() ? "" : ", ") + n;
      f.what = named() + ": conflict: operation " + std::to_string(e.with->operation) + " (" + e.with->kind +
               " by " + e.with->by + ") holds " + (names.empty() ? "what this would touch" : names) +
               ", since " + moment(e.with->since_ms) + " (" + duration(unix_ms() - e.with->since_ms) + ")";
      f.next = "wait for it: " + command + " operation " + std::to_string(e.with->operation) +
               "; or end it: the same command with --supersede";
    }
  } else if (e.code == "stale") {
    f.exit = kConflict;
  }
  if (f.what.empty() || e.message.empty()) f.what = named() + ": refused: " + e.code;
  return f;
}

std::string Port::checked(Answer a, bool json) {
  if (a.api == 0)
    throw Failure{kUnreachable, "what answers at " + address_ + " is no heronvane-agent",
                  "name the agent: --agent PATH|https://HOST:PORT", "", false};
  api_ = a.api;
  if (a.status >= 200 && a.status < 300) {
    if (json) as(a.body, [](const std::string& body) { check_json(body); });
    while (json && !a.body.empty() && a.body.back() == '\n') a.body.pop_back();
    return std::move(a.body);
  }
  const auto error = read_error(a.body);
  if (!error) throw malformed("answered " + std::to_string(a.status) + " without saying why");
  while (!a.body.empty() && a.body.back() == '\n') a.body.pop_back();
  throw told(*error, std::move(a.body));
}

std::string Port::get(const std::string& target, bool json) {
  try {
    return checked(client_.get(target, patience()), json);
  } catch (const TransportError& e) {
    throw transport(e, false);
  } catch (const MalformedAnswer& e) {
    throw malformed(e.what());
  }
}

std::string Port::change(const std::string& method, const std::string& target, const std::string& body) {
  if (other_api() != 0)
    throw Failure{kRefused, named() + " speaks " + versions() + ": nothing was changed",
                  "use the heronvanectl that came with that agent", "", false};
  try {
    return checked(client_.request(method, target, body, patience()), true);
  } catch (const TransportError& e) {
    // What never reached the agent did not change it.
    throw transport(e, e.why == Why::broken || e.why == Why::late);
  } catch (const MalformedAnswer& e) {
    throw malformed(e.what());
  }
}

void Port::persist(const std::function<bool(Attempt&)>& attempt) {
  const auto most = std::min(patience_ * 3, kGiveUp);
  auto since = now();
  milliseconds pause{100};
  for (;;) {
    Attempt a;
    const auto began = now();
    TransportError broke(Why::broken, "the stream ended too early");
    try {
      if (attempt(a)) return;
    } catch (const TransportError& e) {
      if (e.why == Why::interrupted) throw;
      if (e.why == Why::untrusted || e.why == Why::forbidden) throw transport(e, false);
      broke = e;
    } catch (const MalformedAnswer& e) {
      throw malformed(e.what());
    }
    // Silence on a stream that stands is no sign of an agent that is gone.
    if (a.got_on || (a.connected && broke.why == Why::late))
      since = now();
    else if (now() - since > most)
      throw transport(broke, false);
    if (now() - began > milliseconds(1'000)) pause = milliseconds(100);
    pollfd p{stop_.descriptor(), POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(pause.count())) > 0)
      throw TransportError(Why::interrupted, "interrupted");
    pause = std::min(pause * 2, milliseconds(2'000));
  }
}

void Port::follow_operation(std::int64_t id,
                            const std::function<void(const Operation&, const std::string&)>& each) {
  persist([&](Attempt& attempt) {
    std::string rest;
    bool ended = false;
    const auto line = [&](std::string text) {
      while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) text.pop_back();
      if (text.empty()) return;
      const auto o = read_operation(text);
      attempt.got_on = true;
      ended = !o.running();
      each(o, text);
    };
    auto a = client_.follow("/v1/operations/" + std::to_string(id) + "?follow=1", patience_, kSilent,
                            [&](std::string_view bytes) {
                              attempt.connected = true;
                              rest += bytes;
                              for (std::size_t end; !ended && (end = rest.find('\n')) != std::string::npos;) {
                                line(rest.substr(0, end));
                                rest.erase(0, end + 1);
                              }
                              if (rest.size() > kMostLine)
                                throw MalformedAnswer("a line of it is larger than 4 MiB");
                              return !ended;
                            });
    if (a.status != 200 || a.api == 0) checked(std::move(a), true);
    if (!ended && !rest.empty()) line(rest);
    return ended;
  });
}

void Port::follow_log(const std::string& instance, unsigned lines,
                      const std::function<void(std::string_view)>& take) {
  Overlap overlap(200);
  bool first = true;
  persist([&](Attempt& attempt) {
    const auto log = "/v1/instances/" + instance + "/log?lines=";
    auto n = lines;
    if (!first && overlap.known() > 0) {
      const auto now_there = checked(client_.get(log + std::to_string(overlap.most()), patience()), false);
      if (const auto fresh = overlap.catch_up(now_there); !fresh.empty()) take(fresh);
      n = overlap.known();
    }
    auto a = client_.follow(log + std::to_string(n) + "&follow=1", patience_, kSilent,
                            [&](std::string_view bytes) {
                              attempt.connected = true;
                              first = false;
                              if (!bytes.empty()) attempt.got_on = true;
                              const auto fresh = overlap.add(bytes);
                              if (!fresh.empty()) take(fresh);
                              return true;
                            });
    if (a.status != 200 || a.api == 0) checked(std::move(a), false);
    return false;
  });
}

Session::Session(const Global& global, const Stop& stop) {
  for (const auto& agent : global.agents) ports_.push_back(std::make_unique<Port>(global, agent, stop));
}

void Session::learn_labels() {
  if (!many()) return;
  const auto names = ask<std::string>([](Port& p) { return p.as(p.get("/v1/agent"), read_agent).name; });
  std::vector<std::string> labels;
  for (std::size_t i = 0; i < names.size(); i++) {
    const auto* name = std::get_if<std::string>(&names[i]);
    labels.push_back(name != nullptr && !name->empty() ? *name : ports_[i]->label);
  }
  for (std::size_t i = 0; i < labels.size(); i++)
    if (std::count(labels.begin(), labels.end(), labels[i]) > 1) return;
  for (std::size_t i = 0; i < labels.size(); i++) ports_[i]->label = labels[i];
}

}  // namespace heronvane::cli

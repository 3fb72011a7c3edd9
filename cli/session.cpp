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

constexpr milliseconds kStreamIdleTimeout{15'000};  // idle time after which a followed stream is reopened
constexpr milliseconds kReconnectTimeout{30'000};  // upper limit on reconnecting to an agent that is followed

Instant now() { return std::chrono::steady_clock::now(); }

}  // namespace

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string json_string(const std::string& text) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const std::string utf8 = printable(text);  // logs may hold bytes that are not UTF-8
  w.String(utf8.data(), static_cast<rapidjson::SizeType>(utf8.size()));
  return b.GetString();
}

int combined_exit(const std::vector<int>& exits) {
  if (exits.empty()) return kDone;
  const bool same = std::all_of(exits.begin(), exits.end(), [&](int e) { return e == exits.front(); });
  return same ? exits.front() : kPartial;
}

AgentConnection::AgentConnection(const Global& global, const std::string& agent, const Stop& stop)
    : command("heronvanectl" + (global.agents_named ? " --agent " + agent : "")),
      address_(agent),
      timeout_(global.timeout ? milliseconds(static_cast<std::int64_t>(*global.timeout * 1000))
                              : milliseconds(10'000)),
      stop_(stop),
      dialer_(make_dialer(agent, {global.cert, global.key, global.ca}, stop)),
      client_(*dialer_) {
  if (global.agents.size() > 1) label = agent.rfind("https://", 0) == 0 ? agent.substr(8) : agent;
}

Instant AgentConnection::deadline() const { return now() + timeout_; }
std::string AgentConnection::named() const {
  return "agent " + (label.empty() || label == address_ ? address_ : label + " (" + address_ + ")");
}

Failure AgentConnection::transport(const TransportError& e, bool change) const {
  const bool tls = address_.rfind("https://", 0) == 0;
  Failure f{kUnreachable, "", "", "", false};
  switch (e.why) {
    case Why::absent:
      f.message = "no agent at " + address_ + ": " + e.what();
      f.hint =
          tls ? "check that heronvane-agent runs there with --listen-tls, and that the address is right"
              : "start one: heronvane-agent --data FOLDER; or name one that runs: --agent FOLDER/agent.sock";
      return f;
    case Why::forbidden:
      f.message = named() + ": this user has no permission to connect: " + e.what();
      f.hint = "run this as the user that the agent runs as, or as root";
      return f;
    case Why::untrusted:
      f.message = named() + ": TLS: " + e.what();
      f.hint =
          "check that the agent accepts the client certificate of --cert and --key, and that --ca signed the "
          "agent's certificate";
      return f;
    case Why::late:
      f.message = named() + ": no answer within " + duration(timeout_.count());
      f.hint = "wait longer: --timeout SECONDS; or check the agent's machine";
      break;
    case Why::broken:
    case Why::interrupted:
      f.message = named() + ": " + e.what();
      // If an agent closes the connection at once, the TLS alert that gives the reason for refusing the
      // certificate can be lost; so the certificate is suggested as a cause here too.
      f.hint = tls ? "check that the agent accepts the client certificate of --cert and --key; then try again"
                   : "try again; check whether the agent runs: " + command + " version";
      break;
  }
  if (change) {
    f.message += "; whether it took the change is not known";
    f.hint = "check the operations before trying again: " + command + " history";
  }
  return f;
}

std::string AgentConnection::versions() {
  std::string version = "unknown";
  try {
    const auto a = client_.get("/v1/agent", deadline());
    if (a.status == 200) version = read_agent(a.body).version;
  } catch (const std::runtime_error&) {  // the version only serves the message
  }
  return "API " + std::to_string(api_) + " (heronvane-agent " + version + "), this heronvanectl API " +
         std::to_string(kApi) + " (" HERONVANE_VERSION ")";
}

Failure AgentConnection::malformed(const std::string& what) {
  if (other_api() != 0)
    return {kUnreachable, named() + " speaks " + versions() + ": " + what,
            "use the heronvanectl of that agent's version", "", false};
  return {kUnreachable, named() + ": " + what, "check that a heronvane-agent listens there, and its version",
          "", false};
}

Failure AgentConnection::refusal(const AgentError& e, std::string json) const {
  Failure f;
  f.json = std::move(json);
  f.message = named() + ": " + e.message;
  f.hint = e.hint;
  f.not_found = e.code == "unknown";
  if (f.not_found && e.message.find(' ') == std::string::npos)
    f.message = named() + ": there is no " + e.message;
  if (f.not_found && f.hint.empty()) f.hint = "see what there is: " + command + " list";
  if (e.code == "conflict") {
    f.exit = kConflict;
    if (e.with) {
      std::string names;
      for (const auto& n : e.with->names) names += (names.empty() ? "" : ", ") + n;
      f.message = named() + ": conflict: operation " + std::to_string(e.with->operation) + " (" +
                  e.with->kind + " by " + e.with->by + ") holds " +
                  (names.empty() ? "the instances of this change" : names) + ", since " +
                  moment(e.with->since_ms) + " (" + duration(unix_ms() - e.with->since_ms) + ")";
      f.hint = "wait for it: " + command + " operation " + std::to_string(e.with->operation) +
               "; or end it: the same command with --supersede";
    }
  } else if (e.code == "stale") {
    f.exit = kConflict;
  }
  if (f.message.empty() || e.message.empty()) f.message = named() + ": refused: " + e.code;
  return f;
}

std::string AgentConnection::checked(Answer a, bool json) {
  if (a.api == 0)
    throw Failure{kUnreachable, "the server at " + address_ + " is no heronvane-agent",
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
  throw refusal(*error, std::move(a.body));
}

std::string AgentConnection::get(const std::string& target, bool json) {
  try {
    return checked(client_.get(target, deadline()), json);
  } catch (const TransportError& e) {
    throw transport(e, false);
  } catch (const MalformedAnswer& e) {
    throw malformed(e.what());
  }
}

std::string AgentConnection::change(const std::string& method, const std::string& target,
                                    const std::string& body) {
  if (other_api() != 0)
    throw Failure{kRefused, named() + " speaks " + versions() + ": nothing was changed",
                  "use the heronvanectl of that agent's version", "", false};
  try {
    return checked(client_.request(method, target, body, deadline()), true);
  } catch (const TransportError& e) {
    // The other errors occur before the request reaches the agent, so it is unchanged.
    throw transport(e, e.why == Why::broken || e.why == Why::late);
  } catch (const MalformedAnswer& e) {
    throw malformed(e.what());
  }
}

void AgentConnection::retry_until_done(const std::function<bool(Attempt&)>& attempt) {
  const auto limit = std::min(timeout_ * 3, kReconnectTimeout);
  auto last_progress = now();
  milliseconds pause{100};
  for (;;) {
    Attempt a;
    const auto started = now();
    TransportError failure(Why::broken, "the stream ended too early");
    try {
      if (attempt(a)) return;
    } catch (const TransportError& e) {
      if (e.why == Why::interrupted) throw;
      if (e.why == Why::untrusted || e.why == Why::forbidden) throw transport(e, false);
      failure = e;
    } catch (const MalformedAnswer& e) {
      throw malformed(e.what());
    }
    // A connected stream may be idle while the agent is up, so a timeout there restarts the limit too.
    if (a.progressed || (a.connected && failure.why == Why::late))
      last_progress = now();
    else if (now() - last_progress > limit)
      throw transport(failure, false);
    if (now() - started > milliseconds(1'000)) pause = milliseconds(100);
    pollfd p{stop_.descriptor(), POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(pause.count())) > 0)
      throw TransportError(Why::interrupted, "interrupted");
    pause = std::min(pause * 2, milliseconds(2'000));
  }
}

void AgentConnection::follow_operation(
    std::int64_t id, const std::function<void(const Operation&, const std::string&)>& each) {
  retry_until_done([&](Attempt& attempt) {
    std::string partial;
    bool ended = false;
    const auto line = [&](std::string text) {
      while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) text.pop_back();
      if (text.empty()) return;
      const auto o = read_operation(text);
      attempt.progressed = true;
      ended = !o.running();
      each(o, text);
    };
    auto a =
        client_.follow("/v1/operations/" + std::to_string(id) + "?follow=1", timeout_, kStreamIdleTimeout,
                       [&](std::string_view bytes) {
                         attempt.connected = true;
                         partial += bytes;
                         for (std::size_t end; !ended && (end = partial.find('\n')) != std::string::npos;) {
                           line(partial.substr(0, end));
                           partial.erase(0, end + 1);
                         }
                         if (partial.size() > kMaxLineBytes)
                           throw MalformedAnswer("a line of the followed operation is larger than 4 MiB");
                         return !ended;
                       });
    if (a.status != 200 || a.api == 0) checked(std::move(a), true);
    if (!ended && !partial.empty()) line(partial);
    return ended;
  });
}

void AgentConnection::follow_log(const std::string& instance, unsigned lines,
                                 const std::function<void(std::string_view)>& on_lines) {
  Overlap overlap(200);
  bool first = true;
  retry_until_done([&](Attempt& attempt) {
    const auto log = "/v1/instances/" + instance + "/log?lines=";
    auto n = lines;
    if (!first && overlap.remembered() > 0) {
      const auto current = checked(client_.get(log + std::to_string(overlap.capacity()), deadline()), false);
      if (const auto new_lines = overlap.catch_up(current); !new_lines.empty()) on_lines(new_lines);
      n = overlap.remembered();
    }
    auto a = client_.follow(log + std::to_string(n) + "&follow=1", timeout_, kStreamIdleTimeout,
                            [&](std::string_view bytes) {
                              attempt.connected = true;
                              first = false;
                              if (!bytes.empty()) attempt.progressed = true;
                              const auto new_lines = overlap.add(bytes);
                              if (!new_lines.empty()) on_lines(new_lines);
                              return true;
                            });
    if (a.status != 200 || a.api == 0) checked(std::move(a), false);
    return false;
  });
}

Session::Session(const Global& global, const Stop& stop) {
  for (const auto& agent : global.agents)
    connections_.push_back(std::make_unique<AgentConnection>(global, agent, stop));
}

void Session::learn_labels() {
  if (!many()) return;
  const auto names =
      ask<std::string>([](AgentConnection& p) { return p.as(p.get("/v1/agent"), read_agent).name; });
  std::vector<std::string> labels;
  for (std::size_t i = 0; i < names.size(); i++) {
    const auto* name = std::get_if<std::string>(&names[i]);
    labels.push_back(name != nullptr && !name->empty() ? *name : connections_[i]->label);
  }
  for (std::size_t i = 0; i < labels.size(); i++)
    if (std::count(labels.begin(), labels.end(), labels[i]) > 1) return;
  for (std::size_t i = 0; i < labels.size(); i++) connections_[i]->label = labels[i];
}

}  // namespace heronvane::cli

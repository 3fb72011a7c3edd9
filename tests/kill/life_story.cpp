#include "life_story.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace heronvane::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const char* const kSafeClass = "load-status";
const char* const kUnsafeClass = "pay-and-order";
constexpr milliseconds kSafeTime{2000}, kUnsafeTime{2500};  // deadlines
constexpr int kLoadMs = 1100;                               // the load arrives within so many ms
constexpr milliseconds kFirstProcessTime{1700},
    kNextProcessTime{900};                                // time limits of processes that reach no kill point
constexpr milliseconds kSlack{300}, kRestartGrace{1500};  // allowed delay of outcomes
constexpr milliseconds kDrainGrace{1000}, kDrainSlack{300};
// A line sent so long before the relay ended counts as read by it.
constexpr milliseconds kReadTime{300};

std::string text_of(const KillPoint& k) {
  return std::to_string(k.at) + (k.name.empty() ? "" : " of " + k.name);
}

}  // namespace

void Tally::add(const Tally& o) {
  runs += o.runs, kills += o.kills, unreached += o.unreached, stops += o.stops;
  messages += o.messages, accepted += o.accepted, refused += o.refused, calls += o.calls;
  delivered += o.delivered, notices += o.notices;
  repeated_notices += o.repeated_notices, second_ends += o.second_ends, late_outcomes += o.late_outcomes,
      failed_starts += o.failed_starts;
  lost += o.lost, unsafe_twice += o.unsafe_twice, refused_but_executed += o.refused_but_executed;
  sent_to_draining += o.sent_to_draining, misrouted += o.misrouted, damage += o.damage,
      unknown_ids += o.unknown_ids, unexpected_exits += o.unexpected_exits;
  for (const auto& [name, count] : o.killed_at) killed_at[name] += count;
}

std::string Tally::text() const {
  std::ostringstream out;
  out << "runs=" << runs << " kills=" << kills << " unreached=" << unreached << " stops=" << stops
      << " messages=" << messages << " taken=" << accepted << " refused=" << refused << " calls=" << calls
      << " delivered=" << delivered << " notices=" << notices << " again=" << repeated_notices
      << " second-ends=" << second_ends << " late=" << late_outcomes << " no-start=" << failed_starts
      << " lost=" << lost << " unsafe-twice=" << unsafe_twice << " refused-yet-run=" << refused_but_executed
      << " drained=" << sent_to_draining << " astray=" << misrouted << " damage=" << damage
      << " strange=" << unknown_ids << " fell=" << unexpected_exits;
  return out.str();
}

KillScenario::KillScenario(Scenario scenario)
    : scenario_(std::move(scenario)),
      random_(scenario_.seed),
      second_server_(io, [this](const Got& g) { on_call(g, 7); }),
      bundle_server_(io, [this](const Got& g) { on_call(g, 8); }) {
  endpoint.on_request([this](const Got& g) { on_call(g, 7); });
  platform.on_request(
      [this](const Got& g) { g.request.method() == http::verb::post ? on_notices(g) : on_discovery(g); });
  const double sizes[] = {0.5, 0.5, 1, 3};
  disk_mb_ = sizes[random_below(4)];
  open_max_ = random_below(3) == 0 ? 20 : 60;
  last_step_ = steady_clock::now();
  // A port below the ephemeral range: while the relay is down, neither the servers here nor a client's own
  // socket can get the port that its clients keep trying.
  constexpr std::uint16_t kFirstPort = 20'000, kPorts = 10'000;
  error_code port_in_use;
  do {
    tcp::acceptor probe(io);
    port = static_cast<std::uint16_t>(kFirstPort + random_below(kPorts));
    probe.open(tcp::v4());
    probe.set_option(tcp::acceptor::reuse_address(true));
    probe.bind({net::ip::make_address(own_address()), port}, port_in_use);
  } while (port_in_use);
}

// ---- Configuration and discovery. ----
std::string KillScenario::limits() {
  return R"({"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":)" + std::to_string(disk_mb_) + "}";
}

std::string KillScenario::entry(const std::string& name, const Server& server, const std::string& type,
                                int group, const std::string& status) {
  return R"({"name":")" + name + R"(","address":")" + server.address() + R"(","zone":"a","type":")" + type +
         R"(","group":)" + std::to_string(group) + R"(,"status":")" + status +
         R"(","weight":1.0,"since_ms":0})";
}

std::string KillScenario::entries() {
  return entry("s-1", endpoint, "small", 7) + "," +
         entry("s-2", second_server_, "small", 7, draining_ ? "draining" : "ready") + "," +
         entry("s-3", bundle_server_, "big", 8);
}

std::string KillScenario::own_config() {
  const auto us = [](milliseconds t) { return std::to_string(t.count() * 1000); };
  const std::string listen_address = own_address() + ":" + std::to_string(port);
  return R"({"name":"n0","listen":")" + listen_address + R"(","discovery":")" + platform.address() +
         R"(","seed":"8c1f30d27a5be964","limits":)" + limits() + R"(,"known":)" +
         list(entry("s-1", endpoint, "small", 7) + "," + entry("s-2", second_server_, "small", 7) + "," +
              entry("s-3", bundle_server_, "big", 8)) +
         R"(,"settings":{"Classes":[{"Name":"load-status","Points":1.0,"Target":500000,"Deadline":)" +
         us(kSafeTime) +
         R"(,"Idempotency":"read_like"},{"Name":"pay-and-order","Points":3.0,"Target":700000,"Deadline":)" +
         us(kUnsafeTime) +
         R"(,"Idempotency":"non_idempotent","LateWorth":0.3}],"FamilyInfo":{"Workers":16,)"
         R"("BundleMax":[20,1],"RoutesApart":[true,false],"Decay":"halves"},"HostTypes":["big","small"],)"
         R"("FailureDomains":["a","b"],"Locality":"a","Limits":{"OpenCap":)" +
         std::to_string(open_max_) +
         R"(,"MaxAttempts":8,"Cancelling":true,"Peers":true,"ConnIdle":5000000,"ConnectTimeout":1500000,)"
         R"("MaxRetryAfter":2000000},"Discovery":"subscribe","GroupSize":1,)"
         R"("Rules":{"AnswerSlack":20000,"DrainGrace":1000000,"MustAskIn":10000000},"Tick":5000}})";
}

void KillScenario::on_discovery(const Got& g) {
  if (g.request.target().find("follow=1") == beast::string_view::npos)
    return g.session->answer(200, "", list(entries()));
  watches.push_back(g.session);
  g.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  tell(list(entries()));
  if (draining_) drain_written_ = steady_clock::now();
}

void KillScenario::drain() {
  draining_ = true;
  if (watches.empty() || child <= 0) return;
  tell(list(entry("s-2", second_server_, "small", 7, "draining"), false));
  drain_written_ = steady_clock::now();
}

void KillScenario::on_notices(const Got& g) {
  // A notification that this platform rejects was sent in time all the same.
  std::istringstream offered(g.request.body());
  for (std::string line; std::getline(offered, line);) {
    rapidjson::Document v;
    v.Parse(line.data(), line.size());
    const auto message = messages_.find(v["id"].GetString());
    if (message != messages_.end() && !message->second.offered) message->second.offered = steady_clock::now();
  }
  if (!finishing_ && random_below(6) == 0) {
    if (random_below(2) == 0) return g.session->close();
    return g.session->answer(503);
  }
  if (!write(g.session, "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")) return;
  std::istringstream lines(g.request.body());
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document v;
    v.Parse(line.data(), line.size());
    if (!known(v["id"].GetString(), g)) continue;
    auto& message = messages_.at(v["id"].GetString());
    int& same = v["status"] == "deferred" ? message.deferred : message.undeliverable;
    tally_.notices++;
    tally_.repeated_notices += same++ > 0;
    if (!message.ended) message.ended = steady_clock::now();
  }
}

// ---- Clients. ----
void KillScenario::plan_load() {
  const auto count = 20 + random_below(40);
  for (std::uint64_t i = 0; i < count; i++) {
    const std::string id = "m" + std::to_string(i);
    auto& message = messages_[id];
    message.safe = random_below(2) == 0;
    message.destination = random_below(5) < 2 ? 8 : 7;
    const auto size = random_below(10);
    // Messages in bundles are smaller: the server that reads them takes 1 MiB.
    const std::uint64_t max_size = size < 5 ? 200 : size < 8 || message.destination == 8 ? 8'000 : 60'000;
    message.body.assign(random_below(max_size) + 1, static_cast<char>('a' + random_below(26)));
    // In bursts, so that some messages wait for others.
    const int at = static_cast<int>(random_below(8)) * kLoadMs / 8 + static_cast<int>(random_below(20));
    const auto copies = random_below(12) == 0 ? 2u : 1u;
    for (unsigned c = 0; c < copies; c++) later(at, [this, id] { submit(id); });
    planned_submissions_ += static_cast<int>(copies);
  }
  if (random_below(2) == 0) later(static_cast<int>(random_below(500)), [this] { drain(); });
}

void KillScenario::submit(const std::string& id) {
  const auto client = child > 0 ? connect() : nullptr;
  if (!client) {  // not reachable now: the client tries again
    later(30, [this, id] { submit(id); });
    return;
  }
  planned_submissions_--;
  auto& message = messages_[id];
  const auto left = message.safe ? kSafeTime : kUnsafeTime;
  std::string bytes =
      request(id, message.safe ? kSafeClass : kUnsafeClass, message.body, std::to_string(left.count()) + "m");
  if (message.destination != 7)
    bytes.replace(bytes.find("dest=7"), 6, "dest=" + std::to_string(message.destination));
  message.submitted++, message.last_refused = false;
  message.deadline = std::max(message.deadline, steady_clock::now() + left);
  client->write(bytes);
  if (random_below(30) == 0) {  // the client does not wait for the answer
    message.unanswered++;
    return client->close();
  }
  submissions_.push_back({id, client});
}

void KillScenario::read_answers() {
  const auto resubmit = [this](const std::string& id, int max_delay_ms) {
    planned_submissions_++;
    later(40 + static_cast<int>(random_below(static_cast<std::uint64_t>(max_delay_ms))),
          [this, id] { submit(id); });
  };
  for (std::size_t i = 0; i < submissions_.size();) {
    const Submission submission = submissions_[i];
    if (submission.client->answers.empty() && !submission.client->ended) {
      i++;
      continue;
    }
    submissions_.erase(submissions_.begin() + static_cast<std::ptrdiff_t>(i));
    auto& message = messages_[submission.id];
    if (submission.client->answers.empty()) {
      message.unanswered++;
      if (message.submitted < 4 && random_below(3) > 0) resubmit(submission.id, 300);
      continue;
    }
    const auto status = submission.client->answers[0].result_int();
    submission.client->close();
    message.last_refused = status == 503 || status == 429;
    if (status == 202 || status == 200) {
      message.accepted++;
      if (message.submitted < 3 && random_below(10) == 0) resubmit(submission.id, 600);
    } else if (message.last_refused) {
      message.refused++;
      if (message.submitted < 4 && random_below(2) == 0) resubmit(submission.id, 300);
    } else {
      message.other++;
    }
  }
}

// ---- Endpoints. ----
// Whether a client of this scenario submitted that message.
bool KillScenario::known(const std::string& id, const Got& g) {
  if (messages_.count(id) > 0) return true;
  tally_.unknown_ids++;
  error_code ignored;
  const auto from = g.session->socket.remote_endpoint(ignored);
  std::ostringstream text;
  text << "an unknown id, '" << id << "' from " << from << ", " << g.request.target() << ", "
       << g.request.body().substr(0, 300);
  report_fault(text.str(), "");
  return false;
}

// False if the relay is known not to read it.
bool KillScenario::write(const std::shared_ptr<Session>& session, const std::string& bytes) {
  char byte = 0;
  if (!session->socket.is_open()) return false;
  if (::recv(session->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) return false;
  error_code error;
  net::write(session->socket, net::buffer(bytes), error);
  return !error;
}

void KillScenario::on_call(const Got& g, int destination) {
  std::vector<std::string> ids;
  if (g.request.target() == "/events/bundle") {
    rapidjson::Document v;
    v.Parse(g.request.body().data(), g.request.body().size());
    for (const auto& one : v.GetArray()) ids.push_back(one["id"].GetString());
  } else {
    ids.push_back(std::string(g.request["X-Request-Id"]));
  }
  for (const auto& id : ids)
    if (!known(id, g)) return g.session->answer(400);
  for (const auto& id : ids) {
    auto& message = messages_.at(id);
    tally_.calls++;
    if (message.destination != destination) tally_.misrouted++, report_fault("astray", id);
    if (!message.safe && std::any_of(message.calls.begin(), message.calls.end(),
                                     [](const auto& a) { return !a.not_executed; }))
      tally_.unsafe_twice++, report_fault("unsafe twice", id);
    message.calls.emplace_back();
  }
  const auto now = steady_clock::now();
  const auto* const server = destination == 7 ? &second_server_ : nullptr;
  const bool sent_to_draining = server != nullptr && drain_known_ && !server->got.empty() &&
                                server->got.back().session == g.session &&
                                now > *drain_known_ + kDrainGrace + kDrainSlack + longest_step_;
  if (sent_to_draining) tally_.sent_to_draining++, report_fault("sent to a draining endpoint", ids[0]);
  g.request.target() == "/events/bundle" ? bundle(g, ids) : single(g);
}

void KillScenario::single(const Got& g) {
  const std::string id(g.request["X-Request-Id"]);
  const std::size_t call_index = messages_.at(id).calls.size() - 1;
  const auto session = g.session;
  const auto ok = [this, id, call_index, session] {
    auto& message = messages_.at(id);
    if (!write(session, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")) return;
    message.calls[call_index].answered_ok = true;
    message.delivered++, tally_.delivered++;
    if (!message.ended) message.ended = steady_clock::now();
  };
  const auto never_ran = [&] { messages_.at(id).calls[call_index].not_executed = true; };
  const auto choice = finishing_ ? 0 : random_below(100);
  if (choice < 45) return ok();
  if (choice < 60) return later(20 + static_cast<int>(random_below(300)), ok);
  if (choice < 68) return never_ran(), session->answer(503);
  if (choice < 74)
    return never_ran(),
           session->answer(429, "X-Come-Back-Ms: " + std::to_string(100 + random_below(200)) + "\r\n");
  if (choice < 82) return session->answer(500);
  if (choice < 91) return session->close();
  // Otherwise it is never answered.
}

void KillScenario::bundle(const Got& g, const std::vector<std::string>& ids) {
  std::vector<std::size_t> call_indexes;
  for (const auto& id : ids) call_indexes.push_back(messages_.at(id).calls.size() - 1);
  const auto session = g.session;
  const auto never_ran = [&] {
    for (std::size_t i = 0; i < ids.size(); i++)
      messages_.at(ids[i]).calls[call_indexes[i]].not_executed = true;
  };
  const auto choice = finishing_ ? 50 : random_below(100);
  if (choice < 8) return never_ran(), session->answer(503);
  if (choice < 13) return never_ran(), session->answer(429, "X-Come-Back-Ms: 150\r\n");
  if (choice < 18) return session->answer(500);
  if (choice < 24) return session->close();
  if (choice < 30) return;
  const std::mt19937_64 answer_random(random_());
  const bool all_ok = finishing_;
  const auto send_answer = [this, session, ids, call_indexes, all_ok, answer_random] {
    answer_bundle(session, ids, call_indexes, all_ok, answer_random);
  };
  finishing_ || choice < 70 ? send_answer() : later(20 + static_cast<int>(random_below(200)), send_answer);
}

void KillScenario::answer_bundle(const std::shared_ptr<Session>& session, const std::vector<std::string>& ids,
                                 const std::vector<std::size_t>& call_indexes, bool all_ok,
                                 std::mt19937_64 random) {
  std::string body = "[";
  std::vector<std::size_t> done;
  for (std::size_t i = 0; i < ids.size(); i++) {
    const auto choice = all_ok ? 0 : random() % 100;
    if (choice >= 90) continue;  // not named in the answer
    const char* const state = choice < 55 ? "done" : choice < 75 ? "busy" : "failed";
    if (choice < 55) done.push_back(i);
    if (choice >= 55 && choice < 75) messages_.at(ids[i]).calls[call_indexes[i]].not_executed = true;
    body +=
        std::string(body.size() > 1 ? "," : "") + R"({"id":")" + ids[i] + R"(","state":")" + state + "\"}";
  }
  body += "]";
  if (!write(session, "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
    return;
  for (const std::size_t i : done) {
    auto& message = messages_.at(ids[i]);
    message.calls[call_indexes[i]].answered_ok = true;
    message.delivered++, tally_.delivered++;
    if (!message.ended) message.ended = steady_clock::now();
  }
}

// ---- Processes. ----
void KillScenario::later(int ms, std::function<void()> what) {
  timers_.emplace(steady_clock::now() + milliseconds(ms), std::move(what));
}

void KillScenario::start_process(const KillPoint* kill, bool full) {
  processes_++;
  stop_requested_ = false;
  ::setenv("HERONVANE_KILL_TOLD", (folder + "/told-" + std::to_string(processes_)).c_str(), 1);
  const bool point = kill != nullptr && kill->at > 0;
  ::setenv("HERONVANE_KILL_AT", point ? std::to_string(kill->at).c_str() : "", 1);
  ::setenv("HERONVANE_KILL_NAME", point ? kill->name.c_str() : "", 1);
  ::setenv("HERONVANE_DISK_FULL", full ? std::to_string(1 + random_below(1'000'000)).c_str() : "", 1);
  spawn(own_config());
  process_started_at_ = steady_clock::now();
}

// False once the relay process has ended, for whatever reason.
bool KillScenario::alive() {
  if (child <= 0) return false;
  int status = 0;
  if (::waitpid(child, &status, WNOHANG) != child) return true;
  child = -1;
  if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) {
    tally_.kills++;
    std::ifstream in(folder + "/told-" + std::to_string(processes_));
    for (std::string name, what; in >> name >> what;)
      if (name == "killed") tally_.killed_at[what]++;
  } else if (stop_requested_ &&
             (WIFSIGNALED(status) ? WTERMSIG(status) == SIGTERM : WEXITSTATUS(status) == 0)) {
    tally_.stops++;
  } else if (WIFEXITED(status) && WEXITSTATUS(status) == 1 && scenario_.disk_full) {
    tally_.failed_starts++;
  } else {
    tally_.unexpected_exits++;
    report_fault("unexpected exit, status " + std::to_string(status), "");
  }
  return false;
}

void KillScenario::step() {
  io.restart();
  io.run_one_for(milliseconds(2));
  io.poll();
  const auto now = steady_clock::now();
  longest_step_ = std::max(longest_step_, now - last_step_);
  last_step_ = now;
  if (drain_written_ && !drain_known_ && child > 0 && now > *drain_written_ + kReadTime)
    drain_known_ = drain_written_;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto what = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    what();
  }
  read_answers();
}

Tally KillScenario::run(Counts* counts) {
  tally_.runs = 1;
  plan_load();
  for (std::size_t i = 0; i < scenario_.kills.size(); i++) {
    start_process(&scenario_.kills[i], scenario_.disk_full);
    const auto max_size = i == 0 ? kFirstProcessTime : kNextProcessTime;
    // Some are asked to end, and killed during the shutdown or not at all.
    if (random_below(5) == 0)
      later(static_cast<int>(random_below(1500)), [this, life = processes_] {
        if (processes_ == life && child > 0) stop_requested_ = true, ::kill(child, SIGTERM);
      });
    while (alive()) {
      step();
      if (steady_clock::now() < process_started_at_ + max_size) continue;
      tally_.unreached++;
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
      child = -1;
    }
    drain_written_.reset();
    const auto back = steady_clock::now() + milliseconds(random_below(120));
    while (steady_clock::now() < back) step();
  }
  run_last_process();
  if (counts != nullptr) {
    std::ifstream in(folder + "/told-" + std::to_string(processes_));
    std::string name;
    for (std::uint64_t count = 0; in >> name >> count;) (*counts)[name] = count;
  }
  check_results();
  return tally_;
}

bool KillScenario::ready() {
  if (!probe_ || probe_->ended) {
    probe_ = connect();
    if (probe_) probe_->write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    return false;
  }
  if (probe_->answers.empty()) return false;
  if (probe_->answers[0].result_int() == 200) return true;
  probe_.reset();
  return false;
}

void KillScenario::run_last_process() {
  finishing_ = !scenario_.kills.empty();
  start_process(nullptr, scenario_.disk_full && scenario_.kills.empty());
  const auto owed = [this] {
    if (planned_submissions_ > 0 || !submissions_.empty()) return true;
    return std::any_of(messages_.begin(), messages_.end(), [](const auto& message) {
      return message.second.accepted > 0 && !message.second.ended;
    });
  };
  auto until = steady_clock::now() + kPatience;
  // SIGTERM is sent only once it is ready: before that it would kill the process.
  while (alive() && steady_clock::now() < until) {
    // Recorded before checking that nothing is owed: messages that end meanwhile are timed from here.
    const bool up = ready();
    if (up && !ready_at_) ready_at_ = steady_clock::now();
    if (up && !owed()) break;
    step();
  }
  finishing_ = true;
  if (child <= 0) return;
  ::kill(child, SIGTERM);
  until = steady_clock::now() + kPatience;
  int status = 0;
  while (::waitpid(child, &status, WNOHANG) != child) {
    step();
    if (steady_clock::now() < until) continue;
    tally_.unexpected_exits++;
    return report_fault("does not end", "");
  }
  child = -1;
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
    tally_.unexpected_exits++, report_fault("ended with status " + std::to_string(status), "");
  for (int i = 0; i < 10; i++) step();  // reads what it wrote last
}

// ---- Checks. ----
void KillScenario::report_fault(const std::string& what, const std::string& id) {
  fault_report_ += "seed " + std::to_string(scenario_.seed) + (scenario_.disk_full ? " (disk full)" : "") +
                   ": " + what + ": " + id + " in process " + std::to_string(processes_) + "; points";
  for (const auto& k : scenario_.kills) fault_report_ += " " + text_of(k) + ",";
  fault_report_ += "\n";
  if (const auto it = messages_.find(id); it != messages_.end()) {
    const auto& message = it->second;
    fault_report_ +=
        std::string("  ") + (message.safe ? "safe" : "unsafe") + " to " +
        std::to_string(message.destination) + ": submitted " + std::to_string(message.submitted) +
        ", unanswered " + std::to_string(message.unanswered) + ", 202 " + std::to_string(message.accepted) +
        ", 503 " + std::to_string(message.refused) + ", calls " + std::to_string(message.calls.size()) +
        ", delivered " + std::to_string(message.delivered) + ", undeliverable " +
        std::to_string(message.undeliverable) + ", deferred " + std::to_string(message.deferred) + "\n";
  }
}

void KillScenario::check_results() {
  tally_.messages = messages_.size();
  for (const auto& [id, message] : messages_) {
    tally_.accepted += message.accepted > 0, tally_.refused += message.refused > 0;
    const auto may_have_run = std::any_of(message.calls.begin(), message.calls.end(),
                                          [](const auto& a) { return !a.not_executed; });
    if (message.accepted > 0 && !message.ended) tally_.lost++, report_fault("lost", id);
    const auto graced = processes_ > 1 && ready_at_ ? *ready_at_ + kRestartGrace : SteadyTime();
    const auto due = std::max(message.deadline + kSlack, graced);
    const auto notified_at =
        message.ended && message.offered ? std::min(*message.ended, *message.offered) : message.ended;
    if (message.accepted > 0 && notified_at && *notified_at > due) {
      tally_.late_outcomes++;
      const auto ms = [](auto t) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(t).count());
      };
      report_fault("late by " + ms(*notified_at - due) + " ms, longest step of the rig " + ms(longest_step_) +
                       " ms, ready " +
                       (ready_at_ ? ms(*ready_at_ - message.deadline) + " ms after the deadline"
                                  : std::string("not seen")),
                   id);
    }
    // Refused each time: then the message must never have run. If an answer was not received, the message may
    // have been accepted, and refused when submitted again; it may have run only if it may run twice.
    const bool only_refused = message.accepted == 0 && message.other == 0 && message.last_refused;
    const bool refused_run =
        only_refused && (message.unanswered == 0 ? !message.calls.empty() : !message.safe && may_have_run);
    const bool deferred_run = message.deferred > 0 && !message.safe && may_have_run;
    if (refused_run || deferred_run) tally_.refused_but_executed++, report_fault("refused, yet run", id);
    tally_.second_ends += message.delivered > 0 && message.undeliverable + message.deferred > 0;
  }
  const std::string log = logged();
  if (log.find("store: damage") != std::string::npos) tally_.damage++, report_fault("damage", "");
  if (!fault_report_.empty())
    fault_report_ += "its log:\n" + log.substr(log.size() > 6000 ? log.size() - 6000 : 0);
}

}  // namespace heronvane::testing

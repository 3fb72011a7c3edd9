// The exact output at 80 columns.
#include "cli/render.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace heronvane::cli {
namespace {

constexpr std::int64_t kNow = 1'764'584'000'000;  // 2025-12-01 10:13:20 UTC
const Style k80{80, false};
const std::string kTool = "heronvanectl";

Instance instance(const std::string& name, const std::string& phase, std::int64_t for_ms) {
  Instance i;
  i.name = name, i.phase = phase, i.desired = "running", i.listen = "127.0.0.1:8081";
  i.pid = phase == "ready" || phase == "unready" || phase == "draining" ? 71 : 0;
  i.since_ms = kNow - for_ms;
  i.generation = i.wanted_generation = 12;
  i.ready = phase == "ready";
  return i;
}

std::vector<Instance> fleet() {
  auto n0 = instance("n0", "ready", 192'000);
  n0.held = 3, n0.oldest_ms = 812;
  auto n1 = instance("n1", "draining", 61'000);
  n1.desired = "drained", n1.held = 1204, n1.oldest_ms = 75'000, n1.operation = 7;
  auto n2 = instance("n2-with-a-longer-name", "backoff", 2'000);
  n2.restarts = 2, n2.last_exit = "signal 9", n2.next_start_ms = kNow + 4'200;
  auto n3 = instance("n3", "ready", 19'000'000);
  n3.status.emplace();
  n3.status->trouble = "the disk is full: nothing new is taken on until 12 MB are free";
  return {n0, n1, n2, n3};
}

Operation restart(const std::string& state) {
  Operation o;
  o.id = 7, o.kind = "restart", o.by = "ana@web1 pid 71", o.state = state, o.generation = 12;
  o.created_ms = kNow - 15'000;
  if (state != "running") o.ended_ms = kNow - 3'000;
  o.steps = {{"n0", "done", "ready", kNow - 9'000},
             {"n1", state == "failed" ? "failed" : "acting", "draining, 1204 held", kNow - 8'000},
             {"n2", state == "failed" ? "skipped" : "waiting", "", 0}};
  return o;
}

void fits(const std::string& text) {
  std::istringstream lines(text);
  for (std::string l; std::getline(lines, l);) EXPECT_LE(columns(l), 80u) << l;
}

TEST(Render, List) {
  const auto text = render_list({{"", kTool, {12, fleet()}}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(NAME                   PHASE     WANTED     FOR  HELD  OLDEST  LISTEN
n0                     ready     running  3m12s     3   812ms  127.0.0.1:8081
n1                     draining  drained  1m01s  1204   1m15s  127.0.0.1:8081
n2-with-a-longer-name  backoff   running   2.0s     -       -  127.0.0.1:8081
n3                     ready     running  5h16m     0       -  127.0.0.1:8081
)");
}

TEST(Render, ListOfSeveralAgents) {
  const auto text =
      render_list({{"web1", kTool, {12, fleet()}}, {"web2", kTool, {3, {fleet()[0]}}}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(AGENT  NAME                   PHASE       FOR  HELD  OLDEST  LISTEN
web1   n0                     ready     3m12s     3   812ms  127.0.0.1:8081
web1   n1                     draining  1m01s  1204   1m15s  127.0.0.1:8081
web1   n2-with-a-longer-name  backoff    2.0s     -       -  127.0.0.1:8081
web1   n3                     ready     5h16m     0       -  127.0.0.1:8081
web2   n0                     ready     3m12s     3   812ms  127.0.0.1:8081
)");
}

TEST(Render, NamesAreNeverCut) {
  const auto text =
      render_list({{"", kTool, {12, {instance(std::string(64, 'x'), "ready", 1'000)}}}}, {40, false}, kNow);
  EXPECT_NE(text.find(std::string(64, 'x') + "  ready"), std::string::npos) << text;
  EXPECT_EQ(text.find("LISTEN"), std::string::npos) << text;
}

TEST(Render, Status) {
  StatusView v;
  v.agent.name = "web1", v.agent.generation = 12, v.agent.started_ms = kNow - 19'000'000;
  v.agent.platform = Platform{"127.0.0.1:8500", 41, 12, 3, 17, ""};
  v.instances = fleet();
  v.operation = restart("running");
  const auto text = render_status({{"", kTool, v}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(Agent web1, up 5h16m, generation 12
4 instances: 2 ready, 1 draining, 1 backoff
1207 messages held, the oldest for 1m15s in n1
Platform at 127.0.0.1:8500: 12 endpoints, 3 watchers, 17 notices
Running: operation 7 (restart by ana@web1 pid 71), 1 of 3 steps, for 15s

Needs attention
  n1  draining
    drains, and still holds 1204 messages, the oldest for 1m15s
    next: heronvanectl show n1
  n2-with-a-longer-name  backoff
    crashed, starts again in 4.2s; last ended with signal 9
    next: heronvanectl logs n2-with-a-longer-name
  n3  ready
    the disk is full: nothing new is taken on until 12 MB are free
    next: heronvanectl show n3
)");
}

TEST(Render, StatusOfAHealthyFleet) {
  StatusView v;
  v.agent.name = "web1", v.agent.generation = 12, v.agent.started_ms = kNow - 61'000;
  v.instances = {instance("n0", "ready", 1'000)};
  EXPECT_EQ(render_status({{"", kTool, v}}, k80, kNow), R"(Agent web1, up 1m01s, generation 12
1 instance: 1 ready
No messages held
Nothing needs attention.
)");
}

TEST(Render, AFailedApplySuggestsStatusAndRollback) {
  Operation o = restart("failed");
  o.kind = "apply";
  const auto text = render_operation({"", kTool, o}, k80, kNow);
  EXPECT_NE(text.find("next: heronvanectl status    (what is wrong now)\n"
                      "      heronvanectl rollback    (takes it back)\n"),
            std::string::npos)
      << text;
}

TEST(Render, AFirstApplyIsSummarizedAndLaterChangesAreListed) {
  Operation o;
  o.diff = {"+ n0",
            "~ limits.disk_mb none -> 100",
            "~ program none -> heronvane",
            "~ settings.Tick none -> 5000",
            "~ platform.partners[s-1].address none -> \"127.0.0.1:9001\"",
            "~ platform.partners[s-1].group none -> 1",
            "~ platform.partners[s-1].name none -> \"s-1\"",
            "~ platform.partners[s-1].type none -> \"big\""};
  EXPECT_EQ(render_diff({"", kTool, o}, k80), R"(+ n0
~ limits.disk_mb none -> 100
~ program none -> heronvane
~ settings.Tick none -> 5000
~ platform.partners: 4 values, as in the file
)");
  o.diff.erase(o.diff.begin() + 2);
  EXPECT_NE(render_diff({"", kTool, o}, k80).find("~ platform.partners[s-1].group none -> 1\n"),
            std::string::npos);
}

TEST(Render, StatusShowsTheProblemOfThePlatform) {
  StatusView v;
  v.agent = read_agent(
      R"({"name":"web1","platform":{"listen":"127.0.0.1:8500","endpoints":3,"trouble":"partners: p.json: broken"}})");
  v.agent.started_ms = kNow - 61'000;
  v.instances = {instance("n0", "ready", 1'000)};
  const auto text = render_status({{"", kTool, v}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text.substr(text.find("Platform")),
            R"(Platform at 127.0.0.1:8500: 3 endpoints, 0 watchers, 0 notices

Needs attention
  the platform
    partners: p.json: broken
    next: mend that; it is tried again by itself
)");
}

TEST(Render, AttentionForEachPhase) {
  const auto next = [](Instance i) {
    StatusView v;
    v.instances = {i};
    const auto text = render_status({{"", kTool, v}}, k80, kNow);
    const auto at = text.find("next: ");
    return at == std::string::npos ? "" : text.substr(at + 6, text.find('\n', at) - at - 6);
  };
  EXPECT_EQ(next(instance("n", "ready", 1)), "");
  EXPECT_EQ(next(instance("n", "starting", 1)), "");
  EXPECT_EQ(next(instance("n", "backoff", 1)), "heronvanectl logs n");
  EXPECT_EQ(next(instance("n", "looping", 1)), "heronvanectl logs n");
  EXPECT_EQ(next(instance("n", "stalled", 1)), "heronvanectl restart n");
  EXPECT_EQ(next(instance("n", "unready", 1)), "heronvanectl show n");
  EXPECT_EQ(next(instance("n", "stopped", 1)), "heronvanectl up n");
  EXPECT_EQ(next(instance("n", "drained", 1)), "heronvanectl undrain n");
  auto wanted = instance("n", "stopped", 1);
  wanted.desired = "stopped";
  EXPECT_EQ(next(wanted), "");
  auto moved = instance("n", "ready", 1);
  moved.wanted_generation = 13;
  EXPECT_EQ(next(moved), "heronvanectl restart n; or take the change back: heronvanectl rollback");
  moved.operation = 7;  // operation 7 is about to move it
  EXPECT_EQ(next(moved), "");
}

TEST(Render, Show) {
  auto i = fleet()[0];
  i.run = "0123456789abcdef", i.status_age_ms = 210;
  auto& s = i.status.emplace();
  s.version = "0.2.0", s.ready = true, s.uptime_ms = 192'000, s.fence = 7;
  s.held = 3, s.given_up = 1, s.oldest_ms = 812, s.by_class = {{"load-status", 2}, {"billing", 1}};
  s.by_age = {{"1000", 2}, {"5000", 1}, {"more", 0}};
  s.calls = 2, s.slots = 8, s.clients = 3, s.store_bytes = 120'000, s.store_limit = 3'000'000, s.segments = 2;
  s.memory_kb = 5120, s.descriptors = 31, s.list_received = true, s.list_index = 41, s.list_endpoints = 12;
  Target t;
  t.endpoint = "s-1", t.destination = 7, t.listing = "ready", t.health = "out", t.wait_ms = 1500,
  t.delay_ms = 40;
  s.targets = {t};
  const auto text = render_instance({"", kTool, i}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(instance     n0
phase        ready for 3m12s; wanted: running
listen       127.0.0.1:8081
process      71, run 0123456789abcdef
generation   12
status       told 210ms ago
version      0.2.0, up 3m12s, fence 7
held         3, the oldest for 812ms, 1 given up
  by class   2 load-status, 1 billing
  by age     2 up to 1.0s, 1 up to 5.0s, 0 more
calls        2 of 8 slots out, 3 clients
store        120.0 kB of 3.0 MB in 2 segments
memory       5.2 MB, 31 descriptors
list         12 endpoints at index 41

ENDPOINT  DESTINATION  LISTED  HEALTH  WAIT  DELAY
s-1                 7  ready   out     1.5s   40ms
)");
}

TEST(Render, Message) {
  MessageAnswer a;
  FoundMessage m;
  m.instance = "n0", m.id = "order-1", m.message_class = "load-status", m.tenant = "3", m.destination = "7";
  m.state = "held", m.deadline_ms = kNow + 9'000;
  m.attempts = {{kNow - 5'000, "west", "503, wait 2 s"}, {kNow - 1'000, "east", "under way"}};
  a.found = {m};
  a.not_asked = {"n2"};
  const auto text = render_message({{"", kTool, a}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(message      order-1
instance     n0
state        held
class        load-status
tenant       3
destination  7
deadline     2025-12-01 10:13:29 UTC, in 9.0s

ATTEMPT   AGO  ZONE  OUTCOME
      1  5.0s  west  503, wait 2 s
      2  1.0s  east  under way

Not asked, as they do not answer: n2
)");
}

TEST(Render, History) {
  auto old = restart("failed");
  old.id = 6, old.created_ms -= 3'600'000, old.ended_ms -= 3'600'000;
  const auto text = render_history({{"", kTool, {restart("running"), old}}}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(ID  KIND     STATE    STEPS    AGO  TOOK  GEN  BY
 7  restart  running    1/3    15s   15s   12  ana@web1 pid 71
 6  restart  failed     1/3  1h00m   12s   12  ana@web1 pid 71
)");
}

TEST(Render, OperationThatFailed) {
  const auto text = render_operation({"", kTool, restart("failed")}, k80, kNow);
  fits(text);
  EXPECT_EQ(text, R"(operation 7, restart: failed, 1 of 3 steps done in 12s
by ana@web1 pid 71, 2025-12-01 10:13:05 UTC

INSTANCE  STATE    WHAT
n0        done     ready
n1        failed   draining, 1204 held
n2        skipped
next: heronvanectl status    (what is wrong now)
)");
}

TEST(Render, ProgressFitsTheWidth) {
  auto o = restart("running");
  EXPECT_EQ(progress_line({"", kTool, o}, k80, kNow),
            R"(restart 7 [######..............] 1/3 15s  n1 draining, 1204 held)");
  o.steps[1].what = std::string(200, 'x');
  for (const std::size_t width : {20u, 40u, 60u, 80u})
    EXPECT_LT(columns(progress_line({"web1", kTool, o}, {width, false}, kNow)), width);
}

TEST(Text, Durations) {
  EXPECT_EQ(duration(-5), "0s");
  EXPECT_EQ(duration(812), "812ms");
  EXPECT_EQ(duration(4'250), "4.2s");
  EXPECT_EQ(duration(59'999), "59s");
  EXPECT_EQ(duration(192'000), "3m12s");
  EXPECT_EQ(duration(18'420'000), "5h07m");
  EXPECT_EQ(duration(1'047'600'000), "12d3h");
}

TEST(Text, WrapsBetweenWords) {
  EXPECT_EQ(wrapped("one two three", 2, 9), "  one two\n  three\n");
  EXPECT_EQ(wrapped("a-long-word b", 0, 4), "a-long-word\nb\n");
  EXPECT_EQ(wrapped("one two", 0, 0), "one two\n");
}

}  // namespace
}  // namespace heronvane::cli

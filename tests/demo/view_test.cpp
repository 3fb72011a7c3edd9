#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "cli/demo_view.hpp"
#include "cli/demo_world.hpp"

namespace heronvane::cli {
namespace {

DemoView view() {
  DemoView v;
  v.elapsed_s = 83, v.partners = 6, v.headline = "Ctrl-C ends it";
  for (int i = 0; i < 3; i++) {
    DemoView::Relay r;
    r.name = "n" + std::to_string(i), r.phase = i == 1 ? "draining" : "ready", r.pid = 4'194'000 + i;
    r.held = 12, r.per_s = 49.8, r.p50_us = 300, r.p99_us = 12'300;
    v.relays.push_back(r);
  }
  for (int i = 1; i <= 10; i++) {
    DemoView::Endpoint e;
    e.name = "s-" + std::to_string(100 + i), e.partner = "foundry", e.seen = "told to wait 0.9s";
    e.behaviour = "goes silent", e.served_s = 29.2, e.refused_s = 11.5, e.failed_s = 1.7;
    v.endpoints.push_back(e);
  }
  v.totals.handed = 1'234'567, v.totals.taken = 1'234'500, v.totals.delivered = 1'234'000;
  v.totals.ended = 493, v.totals.held = 7, v.totals.p50_us = 12'000, v.totals.p99_us = 1'400'000;
  for (int i = 40; i > 0; i--) v.events.push_back({i, "silent: s-4 takes calls and answers none"});
  v.suggestions = {{"export HERONVANE_AGENT=/tmp/heronvane-demo-VDVk5a/agent.sock", "in another terminal"},
                   {"build/heronvanectl status", "or: show n0, drain n1, restart --rolling"},
                   {"kill -9 4194002", "n2 comes back, nothing is lost"}};
  return v;
}

std::vector<std::string> lines(const std::string& text) {
  std::vector<std::string> all;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) all.push_back(line);
  return all;
}

TEST(DemoViewTest, FitsATerminalOf80By24) {
  const auto all = lines(render_demo(view(), {80, false}, 24));
  EXPECT_EQ(all.size(), 24u);
  for (const auto& line : all) EXPECT_LE(columns(line), 80u) << line;
  const auto has = [&](const std::string& part) {
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& line) { return line.find(part) != std::string::npos; });
  };
  for (const char* part :
       {"1:23", "n2 ", "s-110", "goes silent", "FAILED", "1,234,567", "twice 0", "0:40  silent", "0:39",
        "export HERONVANE_AGENT=/tmp/heronvane-demo-VDVk5a/agent.sock", "restart --rolling",
        "kill -9 4194002"})
    EXPECT_TRUE(has(part)) << part;
}

TEST(DemoViewTest, MoreRowsShowMoreEvents) {
  const auto small = lines(render_demo(view(), {80, false}, 24)),
             large = lines(render_demo(view(), {80, false}, 40));
  const auto told = [](const auto& all) {
    return std::count_if(all.begin(), all.end(), [](const auto& l) { return l.find("silent: s-4") == 6; });
  };
  EXPECT_GT(told(large), told(small));
  EXPECT_LE(large.size(), 40u);
}

TEST(DemoViewTest, ACommandThatWrapsUsesItsRows) {
  auto v = view();
  v.suggestions[0].command = "/" + std::string(100, 'x') + "/heronvanectl status";
  const auto all = lines(render_demo(v, {80, false}, 24));
  EXPECT_EQ(all.size(), 22u);  // one command wraps, and one row stays free at the bottom
  EXPECT_NE(render_demo(v, {80, false}, 24).find(v.suggestions[0].command), std::string::npos);
}

TEST(DemoViewTest, LeavingEndpointsAreShownOnLargeScreens) {
  auto v = view();
  v.endpoints.back().leaving = true;
  EXPECT_EQ(render_demo(v, {80, false}, 24).find("s-110"), std::string::npos);
  EXPECT_NE(render_demo(v, {80, false}, 40).find("s-110"), std::string::npos);
}

TEST(DemoViewTest, PlainIsOneLine) {
  const auto text = plain_demo(view());
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  for (const char* part : {"handed in 1,234,567", "by notice 493", "twice 0", "n1 draining"})
    EXPECT_NE(text.find(part), std::string::npos) << part;
}

TEST(DemoViewTest, Numbers) {
  EXPECT_EQ(grouped(0), "0");
  EXPECT_EQ(grouped(999), "999");
  EXPECT_EQ(grouped(1'000), "1,000");
  EXPECT_EQ(grouped(1'234'567), "1,234,567");
  EXPECT_EQ(clock_time(65), "1:05");
}

std::vector<Instance> relays(std::vector<Target> targets) {
  std::vector<Instance> all(3);
  all[0].status.emplace(), all[1].status.emplace();  // the third has no status
  for (std::size_t i = 0; i < targets.size(); i++) all[i].status->targets.push_back(targets[i]);
  return all;
}
Target target(const std::string& health, double wait_ms = 0, double pace = 0) {
  Target t;
  t.endpoint = "s-1", t.listing = "ready", t.health = health, t.wait_ms = wait_ms, t.pace = pace;
  return t;
}

TEST(SeenStateTest, ShowsTheMostImportantStateOfAllRelays) {
  EXPECT_EQ(seen_state("s-1", {}).text, "-");
  EXPECT_EQ(seen_state("s-1", relays({})).text, "open");
  EXPECT_EQ(seen_state("s-1", relays({target("closed"), target("open")})).text, "out at 1 of 2");
  EXPECT_EQ(seen_state("s-1", relays({target("ramp"), target("open")})).text, "coming back");
  EXPECT_EQ(seen_state("s-1", relays({target("open", 900), target("ramp")})).text, "told to wait 0.9s");
  EXPECT_EQ(seen_state("s-1", relays({target("open", 0, 6), target("open", 0, 6)})).text, "paced to 12/s");
  EXPECT_EQ(seen_state("s-2", relays({target("closed")})).text, "open");
  auto drains = target("closed");
  drains.listing = "draining";
  EXPECT_EQ(seen_state("s-1", relays({drains})).text, "draining");
}

}  // namespace
}  // namespace heronvane::cli

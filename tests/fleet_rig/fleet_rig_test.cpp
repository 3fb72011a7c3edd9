// A fleet under the real agent: relays and the agent are killed while operations of the real tool are under
// way; nothing that was taken on is lost, nothing that may not be repeated runs twice, operations end.
//
// A sample; bench/fleet/run.sh runs the full counts.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <set>

#include "rig.hpp"

namespace heronvane::rig {
namespace {

class FleetRig : public Rig {
 protected:
  static int instances() { return static_cast<int>(environment("HERONVANE_FLEET_INSTANCES", 8)); }
  static std::uint64_t first_seed() { return environment("HERONVANE_FLEET_SEED", 1); }
  static std::string away() { return std::to_string(environment("HERONVANE_FLEET_AWAY", 4)); }

  // The operation while half of the relays are struck.
  void operate_struck(const std::vector<std::string>& words, Ms span, std::size_t starts_each) {
    wait_for(
        [&] {
          books_.notices(machine_->notices());
          return books_.open() >= 2 * static_cast<std::uint64_t>(count_);
        },
        "relays hold messages");
    const auto before = starts();
    Attacks attacks(machine_->sampler(), names(), span, random_());
    const Ms took = operate(words);
    attacks.finish();
    wait_for([&] { return attacks.stopped_ended(); }, "relays that stand still are ended");
    went_on(attacks);
    std::printf("%s: %lld ms, %s\n", words[0].c_str(), static_cast<long long>(took), attacks.text().c_str());
    std::fflush(stdout);
    EXPECT_GT(attacks.hit().size(), 0u);
    expect_starts(before, starts_each, attacks.hit(), words[0].c_str());
  }

  // The operation while the agent is killed, so many times; it is completed by those that come after.
  void operate_agent_killed(const std::vector<std::string>& words, int times) {
    std::uint64_t known = 0;
    if (const auto all = machine_->operations(); !all.empty()) known = all.front().id;
    int asked = 0;
    std::string statuses;
    const auto ask = [&] {
      asked++;
      return machine_->start_tool(words);
    };
    auto tool = ask();
    const auto heard = [&] {
      const Ran ran = machine_->finish_tool(tool);
      statuses += " " + std::to_string(ran.status);
      EXPECT_TRUE(ran.status == 0 || ran.status == 5) << ran.status << "\n" << ran.out << ran.err;
    };
    const auto made = [&] {
      const auto all = machine_->operations();
      return static_cast<int>(
          std::count_if(all.begin(), all.end(), [&](const auto& o) { return o.id > known; }));
    };
    for (int i = 0; i < times; i++) {
      std::this_thread::sleep_for(std::chrono::milliseconds(roll(i == 0 ? 150 : 700)));
      machine_->kill_agent();
      std::this_thread::sleep_for(std::chrono::milliseconds(roll(300)));
      machine_->start_agent();
      if (made() > 0 || !machine_->ended(tool)) continue;
      // Killed before the operation was recorded.
      heard();
      tool = ask();
    }
    heard();
    if (made() == 0) {
      tool = ask();
      heard();
    }
    wait_for(
        [&] {
          const auto all = machine_->operations();
          return !all.empty() && all.front().state != "running";
        },
        "the operation ends");
    const auto all = machine_->operations();
    ASSERT_FALSE(all.empty());
    EXPECT_EQ(all.front().state, "done") << state();
    EXPECT_EQ(made(), 1) << state();
    std::printf("%s: the agent killed %d times, asked %d times, statuses%s\n", words[0].c_str(), times, asked,
                statuses.c_str());
    std::fflush(stdout);
  }
};

TEST_F(FleetRig, HalfOfTheRelaysKilledDuringDrainAndRollingRestart) {
  begin(instances(), first_seed());
  operate_struck({"drain", "--all"}, 250, 0);
  EXPECT_TRUE(machine_->all_in("drained")) << state();
  machine_->sampler().look_twice();
  EXPECT_TRUE(machine_->sampler().alive().empty());
  const auto before = starts();
  operate({"undrain", "--all"});
  expect_starts(before, 1, {}, "by undrain");
  expect_serving();
  const Ms span = 600 * count_ / std::stoi(away());
  operate_struck({"restart", "--rolling", "--max-unavailable", away()}, span, 1);
  expect_serving();
  settle();
}

TEST_F(FleetRig, TheAgentKilledDuringOperations) {
  begin(instances(), first_seed());
  const int times = static_cast<int>(environment("HERONVANE_FLEET_AGENT_KILLS", 2));
  // Half of them are restarted; the others notice nothing.
  std::vector<std::string> words{"restart", "--rolling", "--max-unavailable", away()};
  std::set<std::string> half;
  for (int i = 0; i < count_; i += 2) half.insert(machine_->name(i));
  words.insert(words.end(), half.begin(), half.end());
  const auto before = starts();
  operate_agent_killed(words, times);
  expect_serving();
  for (const auto& [name, count] : starts())
    EXPECT_EQ(count - before.at(name), half.count(name)) << name << "\n" << machine_->log();

  const auto then = starts();
  operate_agent_killed({"drain", "--all"}, times);
  EXPECT_TRUE(machine_->all_in("drained")) << state();
  for (const auto& [name, count] : starts()) EXPECT_EQ(count, then.at(name)) << name;
  operate_agent_killed({"undrain", "--all"}, times);
  expect_serving();
  for (const auto& [name, count] : starts()) EXPECT_EQ(count - then.at(name), 1u) << name;
  settle();
}

TEST_F(FleetRig, TwoToolsAtOnce) {
  begin(instances(), first_seed());
  const std::map<std::string, std::string> ends{
      {"drain", "drained"}, {"undrain", "ready"}, {"up", "ready"}, {"restart", "ready"}, {"down", "stopped"}};
  std::string phase = "ready";
  std::map<std::string, int> heard;
  const auto rounds = environment("HERONVANE_FLEET_ROUNDS", 2);
  for (std::uint64_t round = 0; round < rounds; round++) {
    std::uint64_t known = 0;
    if (const auto all = machine_->operations(); !all.empty()) known = all.front().id;
    // The first can be done; the second is another one.
    const std::vector<std::vector<std::string>> from_ready{
        {"drain", "--all"}, {"down"}, {"restart", "--all", "--max-unavailable", away()}};
    const std::vector<std::vector<std::string>> from_drained{{"undrain", "--all"}, {"down"}};
    const std::vector<std::vector<std::string>> from_stopped{{"up"}, {"down"}};
    const auto& choice = phase == "ready" ? from_ready : phase == "drained" ? from_drained : from_stopped;
    const auto first = roll(choice.size());
    const auto second = (first + 1 + roll(choice.size() - 1)) % choice.size();
    std::vector<Machine::Tool> tools;
    std::string said;
    for (const auto which : {first, second}) {
      auto words = choice[which];
      if (roll(2) == 0) words.push_back("--supersede");
      for (const auto& w : words) said += w + " ";
      said += "| ";
      tools.push_back(machine_->start_tool(words));
      if (which == first) std::this_thread::sleep_for(std::chrono::milliseconds(roll(2) * roll(300)));
    }
    std::vector<Ran> ran;
    for (const auto& t : tools) ran.push_back(machine_->finish_tool(t));
    wait_for(
        [&] {
          const auto all = machine_->operations();
          return std::all_of(all.begin(), all.end(), [](const auto& o) { return o.state != "running"; });
        },
        "no operation runs");
    const auto all = machine_->operations();
    for (const auto& r : ran) {
      const auto by = "pid " + std::to_string(r.pid);
      const auto own = std::find_if(all.begin(), all.end(), [&](const auto& o) {
        return o.id > known && o.by.size() >= by.size() && o.by.substr(o.by.size() - by.size()) == by;
      });
      const bool accepted = own != all.end();
      std::string how = "unknown";
      if (r.status == 0 && accepted && own->state == "done") how = "done";
      if (r.status == 3 && accepted && own->state == "superseded") how = "superseded";
      if (r.status == 3 && !accepted) how = "conflict";
      if (r.status == 2 && !accepted) how = "refused";
      heard[how]++;
      said += how + " ";
      EXPECT_NE(how, "unknown") << said << "status " << r.status << (accepted ? ", " + own->state : "")
                                << "\n"
                                << r.out << r.err;
    }
    // Newest first. One that came after the end of another may find nothing to do (a restart of what is
    // drained): it changes nothing.
    const auto last = std::find_if(all.begin(), all.end(), [&](const auto& o) {
      return o.id > known && (o.state != "done" || o.done > 0 || o.left.empty());
    });
    EXPECT_NE(last, all.end()) << said << "neither was accepted";
    if (last != all.end()) {
      EXPECT_EQ(last->state, "done") << said << state();
      phase = ends.at(last->kind);
    }
    wait_for([&] { return machine_->all_in(phase); }, "the end is that of the last accepted");
    std::printf("%s-> %s\n", said.c_str(), phase.c_str());
    std::fflush(stdout);
  }
  if (phase == "drained") operate({"undrain", "--all"});
  if (phase == "stopped") operate({"up"});
  expect_serving();
  std::string text;
  for (const auto& [how, times] : heard) text += " " + how + "=" + std::to_string(times);
  std::printf("tools:%s\n", text.c_str());
  EXPECT_GT(heard["done"], 0);
  settle();
}

}  // namespace
}  // namespace heronvane::rig

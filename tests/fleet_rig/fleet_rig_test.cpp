// A fleet under the real agent. Relays and the agent are killed while operations of the real tool run: no
// accepted message may be lost, no non-idempotent message may run twice, and all operations must end.
//
// The counts here are small; bench/fleet/run.sh runs larger ones.
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
  static std::string max_unavailable() { return std::to_string(environment("HERONVANE_FLEET_AWAY", 4)); }

  // Runs the operation while faults are injected into half of the relays.
  void operate_with_faults(const std::vector<std::string>& words, Ms span, std::size_t starts_each) {
    wait_for(
        [&] {
          ledger_.set_notices(machine_->notices());
          return ledger_.open_count() >= 2 * static_cast<std::uint64_t>(count_);
        },
        "relays hold messages");
    const auto before = starts();
    FaultInjector faults(machine_->sampler(), names(), span, random_());
    const Ms duration = operate(words);
    faults.finish();
    wait_for([&] { return faults.stopped_are_ended(); }, "stopped relays are ended");
    record_resumed(faults);
    std::printf("%s: %lld ms, %s\n", words[0].c_str(), static_cast<long long>(duration),
                faults.text().c_str());
    std::fflush(stdout);
    EXPECT_GT(faults.fault_counts().size(), 0u);
    expect_starts(before, starts_each, faults.fault_counts(), words[0].c_str());
  }

  // Runs the operation while the agent is killed `times` times; the restarted agents complete it.
  void operate_with_agent_kills(const std::vector<std::string>& words, int times) {
    std::uint64_t last_id = 0;
    if (const auto all = machine_->operations(); !all.empty()) last_id = all.front().id;
    int requests = 0;
    std::string statuses;
    const auto start_request = [&] {
      requests++;
      return machine_->start_tool(words);
    };
    auto tool = start_request();
    const auto finish_request = [&] {
      const ToolResult result = machine_->finish_tool(tool);
      statuses += " " + std::to_string(result.status);
      EXPECT_TRUE(result.status == 0 || result.status == 5) << result.status << "\n"
                                                            << result.out << result.err;
    };
    const auto created_operations = [&] {
      const auto all = machine_->operations();
      return static_cast<int>(
          std::count_if(all.begin(), all.end(), [&](const auto& o) { return o.id > last_id; }));
    };
    for (int i = 0; i < times; i++) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random_below(i == 0 ? 150 : 700)));
      machine_->kill_agent();
      std::this_thread::sleep_for(std::chrono::milliseconds(random_below(300)));
      machine_->start_agent();
      if (created_operations() > 0 || !machine_->ended(tool)) continue;
      // The agent was killed before it recorded the operation.
      finish_request();
      tool = start_request();
    }
    finish_request();
    if (created_operations() == 0) {
      tool = start_request();
      finish_request();
    }
    wait_for(
        [&] {
          const auto all = machine_->operations();
          return !all.empty() && all.front().state != "running";
        },
        "the operation has ended");
    const auto all = machine_->operations();
    ASSERT_FALSE(all.empty());
    EXPECT_EQ(all.front().state, "done") << state();
    EXPECT_EQ(created_operations(), 1) << state();
    std::printf("%s: the agent killed %d times, asked %d times, statuses%s\n", words[0].c_str(), times,
                requests, statuses.c_str());
    std::fflush(stdout);
  }
};

TEST_F(FleetRig, FaultsInHalfOfTheRelaysDuringDrainAndRollingRestart) {
  begin(instances(), first_seed());
  operate_with_faults({"drain", "--all"}, 250, 0);
  EXPECT_TRUE(machine_->all_in("drained")) << state();
  machine_->sampler().wait_for_full_scan();
  EXPECT_TRUE(machine_->sampler().alive().empty());
  const auto before = starts();
  operate({"undrain", "--all"});
  expect_starts(before, 1, {}, "by undrain");
  expect_serving();
  const Ms span = 600 * count_ / std::stoi(max_unavailable());
  operate_with_faults({"restart", "--rolling", "--max-unavailable", max_unavailable()}, span, 1);
  expect_serving();
  stop_and_verify();
}

TEST_F(FleetRig, AgentKillsDuringOperations) {
  begin(instances(), first_seed());
  const int times = static_cast<int>(environment("HERONVANE_FLEET_AGENT_KILLS", 2));
  // Half of the relays are restarted; the others must not be.
  std::vector<std::string> words{"restart", "--rolling", "--max-unavailable", max_unavailable()};
  std::set<std::string> half;
  for (int i = 0; i < count_; i += 2) half.insert(machine_->name(i));
  words.insert(words.end(), half.begin(), half.end());
  const auto before = starts();
  operate_with_agent_kills(words, times);
  expect_serving();
  for (const auto& [name, count] : starts())
    EXPECT_EQ(count - before.at(name), half.count(name)) << name << "\n" << machine_->log();

  const auto before_drain = starts();
  operate_with_agent_kills({"drain", "--all"}, times);
  EXPECT_TRUE(machine_->all_in("drained")) << state();
  for (const auto& [name, count] : starts()) EXPECT_EQ(count, before_drain.at(name)) << name;
  operate_with_agent_kills({"undrain", "--all"}, times);
  expect_serving();
  for (const auto& [name, count] : starts()) EXPECT_EQ(count - before_drain.at(name), 1u) << name;
  stop_and_verify();
}

TEST_F(FleetRig, TwoConcurrentTools) {
  begin(instances(), first_seed());
  const std::map<std::string, std::string> ends{
      {"drain", "drained"}, {"undrain", "ready"}, {"up", "ready"}, {"restart", "ready"}, {"down", "stopped"}};
  std::string phase = "ready";
  std::map<std::string, int> outcomes;
  const auto rounds = environment("HERONVANE_FLEET_ROUNDS", 2);
  for (std::uint64_t round = 0; round < rounds; round++) {
    std::uint64_t last_id = 0;
    if (const auto all = machine_->operations(); !all.empty()) last_id = all.front().id;
    // The first is possible in the current phase; the second is a different one.
    const std::vector<std::vector<std::string>> from_ready{
        {"drain", "--all"}, {"down"}, {"restart", "--all", "--max-unavailable", max_unavailable()}};
    const std::vector<std::vector<std::string>> from_drained{{"undrain", "--all"}, {"down"}};
    const std::vector<std::vector<std::string>> from_stopped{{"up"}, {"down"}};
    const auto& choice = phase == "ready" ? from_ready : phase == "drained" ? from_drained : from_stopped;
    const auto first = random_below(choice.size());
    const auto second = (first + 1 + random_below(choice.size() - 1)) % choice.size();
    std::vector<Machine::Tool> tools;
    std::string description;
    for (const auto choice_index : {first, second}) {
      auto words = choice[choice_index];
      if (random_below(2) == 0) words.push_back("--supersede");
      for (const auto& w : words) description += w + " ";
      description += "| ";
      tools.push_back(machine_->start_tool(words));
      if (choice_index == first)
        std::this_thread::sleep_for(std::chrono::milliseconds(random_below(2) * random_below(300)));
    }
    std::vector<ToolResult> results;
    for (const auto& t : tools) results.push_back(machine_->finish_tool(t));
    wait_for(
        [&] {
          const auto all = machine_->operations();
          return std::all_of(all.begin(), all.end(), [](const auto& o) { return o.state != "running"; });
        },
        "no operation is running");
    const auto all = machine_->operations();
    for (const auto& r : results) {
      const auto by = "pid " + std::to_string(r.pid);
      const auto operation = std::find_if(all.begin(), all.end(), [&](const auto& o) {
        return o.id > last_id && o.by.size() >= by.size() && o.by.substr(o.by.size() - by.size()) == by;
      });
      const bool accepted = operation != all.end();
      std::string outcome = "unknown";
      if (r.status == 0 && accepted && operation->state == "done") outcome = "done";
      if (r.status == 3 && accepted && operation->state == "superseded") outcome = "superseded";
      if (r.status == 3 && !accepted) outcome = "conflict";
      if (r.status == 2 && !accepted) outcome = "refused";
      outcomes[outcome]++;
      description += outcome + " ";
      EXPECT_NE(outcome, "unknown") << description << "status " << r.status
                                    << (accepted ? ", " + operation->state : "") << "\n"
                                    << r.out << r.err;
    }
    // Newest first. An operation that starts after another has ended may have nothing to do, such as a
    // restart of drained relays; it does not count.
    const auto last = std::find_if(all.begin(), all.end(), [&](const auto& o) {
      return o.id > last_id && (o.state != "done" || o.done > 0 || o.unfinished_steps.empty());
    });
    EXPECT_NE(last, all.end()) << description << "neither was accepted";
    if (last != all.end()) {
      EXPECT_EQ(last->state, "done") << description << state();
      phase = ends.at(last->kind);
    }
    wait_for([&] { return machine_->all_in(phase); }, "the phase is that of the last accepted operation");
    std::printf("%s-> %s\n", description.c_str(), phase.c_str());
    std::fflush(stdout);
  }
  if (phase == "drained") operate({"undrain", "--all"});
  if (phase == "stopped") operate({"up"});
  expect_serving();
  std::string text;
  for (const auto& [outcome, times] : outcomes) text += " " + outcome + "=" + std::to_string(times);
  std::printf("tools:%s\n", text.c_str());
  EXPECT_GT(outcomes["done"], 0);
  stop_and_verify();
}

}  // namespace
}  // namespace heronvane::rig

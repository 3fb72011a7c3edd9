// The experiments' language: what it takes, and what it says of what it does not take.
#include "lab/experiment.hpp"

#include <gtest/gtest.h>

#include <filesystem>

#include "lab/plan.hpp"

namespace heronvane::lab {
namespace {

const std::string kHead = "title = \"t\"\nlength = \"20s\"\n";

std::string error_of(const std::string& text) {
  try {
    const auto x = read_experiment(text, "x.toml");
    make_plan(x, 1);
  } catch (const ExperimentError& e) {
    return e.what();
  }
  return "";
}

TEST(Experiments, ThoseThatComeWithItAreFine) {
  int count = 0;
  for (const auto& f : std::filesystem::directory_iterator(HERONVANE_EXPERIMENTS)) {
    const auto x = load_experiment(f.path().string());
    EXPECT_FALSE(make_plan(x, 1).strikes.empty()) << f.path();
    count++;
  }
  EXPECT_GE(count, 8);
}

TEST(Experiments, DefaultsAndUnits) {
  const auto x = read_experiment(
      kHead + "warm = \"1.5s\"\n[fleet]\ntick = \"250us\"\n[platform]\nlate = \"0.01min\"\n", "x");
  EXPECT_EQ(x.warm, 1'500'000);
  EXPECT_EQ(x.fleet.tick, 250);
  EXPECT_EQ(x.platform.late, 600'000);
  EXPECT_EQ(x.traffic.classes.size(), 2u);
}

TEST(Experiments, ErrorsTellFileLineAndWhatToDo) {
  const struct {
    std::string text, error;
  } cases[] = {
      {"length = 5",
       "x.toml:1: length must be a time with its unit, such as \"300ms\" or \"2.5s\" (us, ms, s, min)"},
      {"length = \"5s\"", "x.toml:1: needs a title: title = \"...\""},
      {kHead + "[fleet]\nrelays = 0\n", "x.toml:4: fleet.relays must be a whole number from 1 to 1000"},
      {kHead + "[fleet]\nrelay = 5\n",
       "x.toml:4: 'relay' is not known in fleet; it takes acks, copies, disk_mb, memory_mb, notes, open_cap, "
       "relays, "
       "replace_after, settings, sockets, "
       "start_at_most, takeover_after, tick, workers, zones"},
      {kHead + "[[fault]]\nat = \"1s\"\nkil = \"relays\"\n",
       "x.toml:3: a fault needs its kind, one of: kill, restart, overlap, stop, slow, wipe, rollback, "
       "configure, "
       "fill, outage, "
       "limit, drain, "
       "replace, burst, platform_down, cut, cut_one_way, delay, loss, repeat, rate, reset, half_close, tear"},
      {kHead + "[[fault]]\nat = \"1s\"\nkill = \"relays\"\nstop = \"n1\"\n",
       "x.toml:3: a fault has one kind, this one has kill and stop"},
      {kHead + "[[fault]]\nat = \"1s\"\nstop = \"n1\"\n", "x.toml:3: stop needs `for`"},
      {kHead + "[[fault]]\nkill = \"n1\"\n", "x.toml:3: a fault needs `at`, such as at = \"5s\""},
      {kHead + "[[fault]]\nat = \"30s\"\nkill = \"n1\"\n",
       "x.toml:3: comes when clients have ended: `at` must be below `length`"},
      {kHead + "[[fault]]\nat = \"1s\"\nkill = \"n1\"\ntimes = 3\n",
       "x.toml:3: a fault that comes several times needs `every`"},
      {kHead + "[[fault]]\nat = \"1s\"\ncut = \"relays\"\nfor = \"1s\"\n",
       "x.toml:5: cut is between two: cut = [\"zone:a\", \"platform\"]; each may be several, as \"n1 n2 "
       "e3\""},
      {kHead + "[[fault]]\nat = \"1s\"\noutage = \"d0\"\nhow = \"dead\"\nfor = \"1s\"\n",
       "x.toml:6: outage.how must be one of: down, failing, shut, silent"},
  };
  for (const auto& c : cases) EXPECT_EQ(error_of(c.text), c.error);
  EXPECT_NE(error_of("title = ").find("x.toml:1: is no TOML: "), std::string::npos);
  EXPECT_NE(
      error_of(kHead + "[[fault]]\nat = \"1s\"\nkill = \"n10\"\n").find("x.toml:3: 'n10' names no party"),
      std::string::npos);
  EXPECT_NE(error_of(kHead + "[[fault]]\nat = \"1s\"\nkill = \"zone:b\"\n").find("'zone:b' names no party"),
            std::string::npos);
}

}  // namespace
}  // namespace heronvane::lab

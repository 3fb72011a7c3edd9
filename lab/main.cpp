// heronvane-lab: runs experiments on many real relays, with faults between any two parties, and judges from
// outside.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "report.hpp"
#include "shrink.hpp"

namespace heronvane::lab {

namespace fs = std::filesystem;

namespace {

// A holder has to miss its owner, ask the others, wait its turn, and read.
JudgeOptions judge_options(const Experiment& x) {
  JudgeOptions o;
  if (x.fleet.copies > 0) o.taken_over_in = 2 * x.fleet.takeover_after + 1'500'000;
  return o;
}

#ifndef HERONVANE_EXPERIMENTS
#define HERONVANE_EXPERIMENTS "lab/experiments"
#endif

struct Options {
  std::string out = "lab-reports";
  std::vector<std::string> builds, environment;
  std::uint64_t seed = 1;
  unsigned seeds = 1;
  int relays = 0;  // in place of the experiment's; 0: as it says
  bool events = false, quiet = false, keep = false;
};

// The relay's program of a build: the program itself, a folder that holds it, or, unnamed, the one beside
// this program.
std::string program_of(const std::string& build) {
  std::error_code ignored;
  const fs::path own = fs::read_symlink("/proc/self/exe", ignored).parent_path();
  // Installed they stand in one folder, built in two.
  const fs::path beside = fs::exists(own / "heronvane") ? own / "heronvane" : own.parent_path() / "heronvane";
  const fs::path path = build.empty()             ? beside
                        : fs::is_directory(build) ? fs::path(build) / "heronvane"
                                                  : fs::path(build);
  if (::access(path.c_str(), X_OK) != 0)
    throw std::runtime_error("no relay to run at " + path.string() +
                             "; name its program, or the folder that it was built in, by --build");
  return fs::absolute(path).string();
}

// A line that is written over by the next while standard error is a terminal.
class Progress {
 public:
  explicit Progress(bool quiet) : quiet_(quiet), terminal_(::isatty(STDERR_FILENO) == 1) {}
  ~Progress() { clear(); }
  void at(Microseconds now, Microseconds whole, const std::string& text) {
    if (quiet_ || !terminal_) return;
    constexpr int kCells = 24;
    const int full =
        static_cast<int>(std::min<Microseconds>(kCells, kCells * now / std::max<Microseconds>(1, whole)));
    std::fprintf(stderr, "\r\033[K[%s%s] %3.0f s  %s",
                 std::string(static_cast<std::size_t>(full), '=').c_str(),
                 std::string(static_cast<std::size_t>(kCells - full), ' ').c_str(),
                 static_cast<double>(now) / 1e6, text.c_str());
    shown_ = true;
  }
  void line(const std::string& text) {
    if (quiet_) return;
    clear();
    std::fprintf(stderr, "%s\n", text.c_str());
  }

 private:
  void clear() {
    if (std::exchange(shown_, false)) std::fprintf(stderr, "\r\033[K");
  }
  bool quiet_, terminal_, shown_ = false;
};

class Lab {
 public:
  Lab(Launcher& launcher, Options options) : launcher_(launcher), options_(std::move(options)) {}

  // One run; its report stands in `folder`.
  Report run_one(const Experiment& x, std::uint64_t seed, const std::string& program,
                 const std::string& folder, const std::vector<std::size_t>* kept) {
    Plan plan = make_plan(x, seed);
    Report r;
    for (std::size_t i = 0; i < plan.strikes.size(); i++) r.kept_strikes.push_back(i);
    if (kept != nullptr) {
      r.kept_strikes = *kept;
      plan = with_strikes(std::move(plan), *kept);
    }
    boost::asio::io_context io;
    launcher_.attach(io);
    Progress progress(options_.quiet);
    progress.line(x.title + ", seed " + std::to_string(seed) + ", " + program);
    fs::remove_all(folder);
    fs::create_directories(folder);
    std::ofstream log(folder + "/lab.log");
    RunOptions o;
    o.program = program;
    o.folder = folder + "/machines";
    o.environment = options_.environment;
    Microseconds last = 0;
    o.told = [&](const std::string& line) {
      log << "{\"at_us\":" << last << ",\"what\":\"" << line << "\"}" << std::endl;
      progress.line("  " + line);
    };
    o.progress = [&](Microseconds now, const std::string& text) {
      last = now;
      progress.at(now, x.length, text);
    };
    RunResult run;
    {
      World world(io, launcher_, x, plan, std::move(o));
      run = world.run();
    }
    launcher_.detach();
    r.program = program;
    r.experiment_path = x.path, r.experiment_text = x.text;
    r.seed = seed, r.plan = plan;
    r.verdict = judge(run.history, plan, x.traffic.classes, run.end, judge_options(x));
    r.figures = figures(run, plan, x);
    r.fabric = run.fabric;
    r.peak_cold_load = run.peak_cold_load;
    r.relay_cpu_s = run.relay_cpu_s, r.relay_memory = run.relay_memory;
    r.end = run.end;
    r.failed = unmet(x, r.verdict, r.figures);
    if (r.fabric.not_carried > 0)
      r.failed.push_back("the lab had no descriptors for " + std::to_string(r.fabric.not_carried) +
                         " connections: raise its limit, or take fewer relays");
    std::ofstream json(folder + "/report.json");
    write_json(r, json);
    if (options_.events || !r.failed.empty()) {
      std::ofstream events(folder + "/events.jsonl");
      write_events(run.history, plan, events);
    }
    // Relays' logs and folders are of use where something went wrong.
    if (r.failed.empty() && !options_.keep) fs::remove_all(folder + "/machines");
    return r;
  }

  bool run(const std::vector<std::string>& files) {
    bool passed = true;
    auto builds = options_.builds;
    if (builds.empty()) builds.emplace_back();
    for (const auto& file : files) {
      Experiment x = load_experiment(file);
      if (options_.relays > 0) x.fleet.relays = options_.relays;
      const std::string name = fs::path(file).stem().string();
      for (unsigned i = 0; i < options_.seeds; i++) {
        const std::uint64_t seed = options_.seed + i;
        std::vector<Report> reports;
        for (std::size_t b = 0; b < builds.size(); b++) {
          const std::string folder =
              options_.out + "/" + name + "-" + std::to_string(seed) +
              (builds.size() > 1 ? "-" + std::string(1, static_cast<char>('a' + b)) : "");
          reports.push_back(run_one(x, seed, program_of(builds[b]), fs::absolute(folder).string(), nullptr));
          std::cout << x.title << "\n"
                    << summary(reports.back()) << "  report " << folder << "/report.json\n"
                    << std::flush;
          passed = passed && reports.back().failed.empty();
        }
        const std::string page = options_.out + "/" + name + "-" + std::to_string(seed) + ".html";
        std::ofstream html(page);
        write_html(reports, html);
        std::cout << "  page   " << page << "\n\n" << std::flush;
      }
    }
    return passed;
  }

  bool replay(const std::string& path) {
    const Kept k = read_report(path);
    const Experiment x = read_experiment(k.experiment_text, k.experiment_path);
    const auto program = program_of(options_.builds.empty() ? k.program : options_.builds[0]);
    const std::string folder = options_.out + "/replay-" + std::to_string(k.seed);
    const Report r = run_one(x, k.seed, program, fs::absolute(folder).string(), &k.kept_strikes);
    std::cout << summary(r) << "  report " << folder << "/report.json\n";
    std::ofstream html(folder + "/report.html");
    write_html({r}, html);
    return r.failed.empty();
  }

  bool shrink(const std::string& path, unsigned tries) {
    const Kept k = read_report(path);
    if (k.passed) throw std::runtime_error(path + ": passed; there is nothing to shrink");
    const Experiment x = read_experiment(k.experiment_text, k.experiment_path);
    const auto program = program_of(options_.builds.empty() ? k.program : options_.builds[0]);
    const std::string folder = fs::absolute(options_.out + "/shrink-" + std::to_string(k.seed)).string();
    std::size_t runs = 0;
    const auto fails = [&](const std::vector<std::size_t>& kept) {
      for (unsigned i = 0; i < tries; i++) {
        const Report r = run_one(x, k.seed, program, folder + "/" + std::to_string(runs++), &kept);
        std::cout << kept.size() << " faults: " << (r.failed.empty() ? "passed" : "fails: " + r.failed[0])
                  << "\n"
                  << std::flush;
        if (!r.failed.empty()) return true;
      }
      return false;
    };
    const auto left = lab::shrink(k.kept_strikes, fails);
    const Plan plan = make_plan(x, k.seed);
    std::cout << left.size() << " of " << k.kept_strikes.size() << " faults are left:\n";
    for (const auto i : left)
      std::cout << "  " << static_cast<double>(plan.strikes[i].at) / 1e6 << " s: " << plan.strikes[i].words
                << "\n";
    return true;
  }

 private:
  Launcher& launcher_;
  Options options_;
};

int list(const std::string& folder) {
  std::vector<fs::path> files;
  for (const auto& f : fs::directory_iterator(folder))
    if (f.path().extension() == ".toml") files.push_back(f.path());
  std::sort(files.begin(), files.end());
  for (const auto& f : files) {
    const auto x = load_experiment(f.string());
    std::printf("%-28s %4d relays  %3.0f s  %s\n", f.filename().c_str(), x.fleet.relays,
                static_cast<double>(x.length) / 1e6, x.title.c_str());
  }
  return 0;
}

int check(const std::vector<std::string>& files, std::uint64_t seed) {
  bool fine = true;
  for (const auto& file : files) {
    try {
      const auto x = load_experiment(file);
      const auto plan = make_plan(x, seed);
      std::printf("%s: fine; %zu relays, %zu destinations, %zu endpoints, %zu faults\n", file.c_str(),
                  plan.relays.size(), plan.destinations.size(), plan.endpoints_at_start, plan.strikes.size());
      for (const auto& s : plan.strikes)
        std::printf("  %7.2f s  %s\n", static_cast<double>(s.at) / 1e6, s.words.c_str());
    } catch (const ExperimentError& e) {
      std::fprintf(stderr, "%s\n", e.what());
      fine = false;
    }
  }
  return fine ? 0 : 1;
}

int compare(const std::string& a, const std::string& b) {
  const Kept left = read_report(a), right = read_report(b);
  if (left.experiment_text != right.experiment_text || left.seed != right.seed)
    std::printf("these are of different experiments or seeds\n");
  std::printf("%-26s %12s %12s %9s\n", "", "a", "b", "b / a");
  for (std::size_t i = 0; i < left.figures.size(); i++) {
    const auto& [name, value] = left.figures[i];
    for (const auto& [other, theirs] : right.figures)
      if (other == name) {
        std::printf("%-26s %12.4g %12.4g", name.c_str(), value, theirs);
        value != 0 ? std::printf(" %9.3f\n", theirs / value) : std::printf(" %9s\n", "");
      }
  }
  return 0;
}

}  // namespace

int run(int argc, char** argv) {
  CLI::App app(
      "Experiments on many real relays of heronvane on this machine: faults between any two parties, and a "
      "verdict "
      "from outside. docs/operate/lab.md tells how to write one.",
      "heronvane-lab");
  app.require_subcommand(1);
  Options o;
  std::vector<std::string> files;
  std::string report, other, folder = HERONVANE_EXPERIMENTS;
  unsigned tries = 1;
  const auto common = [&](CLI::App* sub) {
    sub->add_option("--build", o.builds,
                    "The relay: its program, or the folder that it was built in; several run in turn");
    sub->add_option("--env", o.environment, "NAME=VALUE in the relays' environment");
    sub->add_option("--out", o.out, "Folder of the reports")->capture_default_str();
    sub->add_flag("--events", o.events, "Keep every event (events.jsonl) also of runs that pass");
    sub->add_flag("--keep", o.keep, "Keep the machines' folders and logs also of runs that pass");
    sub->add_flag("--quiet", o.quiet, "No progress");
  };
  auto* const run_it = app.add_subcommand("run", "Runs experiments");
  run_it->add_option("file", files, "Experiments (TOML)")->required();
  run_it->add_option("--seed", o.seed, "Of all that is drawn")->capture_default_str();
  run_it->add_option("--seeds", o.seeds, "So many runs, from --seed on")->check(CLI::Range(1, 1000));
  run_it->add_option("--relays", o.relays, "In place of the experiment's number")->check(CLI::Range(1, 1000));
  common(run_it);
  auto* const list_it = app.add_subcommand("list", "Lists the experiments that come with heronvane");
  list_it->add_option("--folder", folder)->capture_default_str();
  auto* const check_it = app.add_subcommand("check", "Reads experiments, and shows their faults with a seed");
  check_it->add_option("file", files)->required();
  check_it->add_option("--seed", o.seed)->capture_default_str();
  auto* const replay_it =
      app.add_subcommand("replay", "Plays a run again: the same experiment, seed and faults");
  replay_it->add_option("report", report, "report.json of a run")->required();
  common(replay_it);
  auto* const shrink_it =
      app.add_subcommand("shrink", "Removes faults from a run that failed while it still fails");
  shrink_it->add_option("report", report, "report.json of a run")->required();
  shrink_it->add_option("--tries", tries, "Runs of each set of faults before it counts as passing")
      ->check(CLI::Range(1, 100));
  common(shrink_it);
  auto* const compare_it = app.add_subcommand("compare", "Sets the figures of two runs side by side");
  compare_it->add_option("a", report)->required();
  compare_it->add_option("b", other)->required();
  CLI11_PARSE(app, argc, argv);

  if (list_it->parsed()) return list(folder);
  if (check_it->parsed()) return check(files, o.seed);
  if (compare_it->parsed()) return compare(report, other);
  ::signal(SIGPIPE, SIG_IGN);
  Launcher launcher;
  Lab lab(launcher, o);
  if (run_it->parsed()) return lab.run(files) ? 0 : 1;
  if (replay_it->parsed()) return lab.replay(report) ? 0 : 1;
  return lab.shrink(report, tries) ? 0 : 1;
}

}  // namespace heronvane::lab

int main(int argc, char** argv) {
  try {
    return heronvane::lab::run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "heronvane-lab: %s\n", e.what());
    return 2;
  }
}

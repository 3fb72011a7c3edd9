#include "demo.hpp"

#include <signal.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <system_error>

#include "demo_agent.hpp"
#include "demo_notices.hpp"
#include "demo_world.hpp"
#include "session.hpp"
#include "terminal.hpp"

namespace heronvane::cli {

namespace net = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kRelays = 3;
constexpr auto kTick = milliseconds(250);
constexpr auto kEndingTick = milliseconds(20);
constexpr auto kStartLimit = std::chrono::seconds(30);
// Limits measured from Ctrl-C: until relays are told to stop although not drained, and until the agent is
// killed.
constexpr auto kDrainLimit = milliseconds(3'600), kShutdownLimit = milliseconds(4'600);
constexpr std::size_t kMaxEvents = 40;
constexpr std::uint64_t kSeed = 20;

// The shortest form that works in this shell: the name if PATH finds it, else the path relative to the
// current folder if the program is below it.
std::string short_name(const std::string& program) {
  namespace fs = std::filesystem;
  std::error_code bad;
  const char* const path = std::getenv("PATH");
  std::istringstream folders(path == nullptr ? "" : path);
  const auto name = fs::path(program).filename();
  for (std::string folder; std::getline(folders, folder, ':');)
    if (const auto file = fs::path(folder) / name; !folder.empty() && fs::exists(file, bad))
      return fs::equivalent(file, program, bad) ? name.string() : program;
  const auto below = fs::path(program).lexically_relative(fs::current_path(bad));
  return below.empty() || *below.begin() == ".." ? program : below.string();
}

class Demonstration {
 public:
  explicit Demonstration(const Demo& options);
  int run();

 private:
  enum class Stage { starting, running, draining, stopping, over };
  void tick();
  void step();
  void on_agent_state(FleetWatch::State s);
  void start_shutdown(const std::string& reason);
  void stop_agent();
  void restart_agent_if_ended();
  void record_event(const std::string& what);
  void print(const std::string& text);
  void record_phase_changes(const std::vector<Instance>& now);
  void show();
  DemoView view();
  bool drained() const;
  int print_summary();
  std::string fleet() const;
  std::int64_t elapsed_s() const {
    return std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - started_).count();
  }

  const Demo& options_;
  const bool uses_screen_;
  TemporaryFolder folder_;
  net::io_context io_{1};
  net::signal_set ends_{io_}, resized_{io_};
  net::steady_timer timer_{io_};
  const Clock::time_point started_ = Clock::now();
  std::vector<std::uint16_t> ports_;
  DemoWorld world_;
  AgentProcess agent_{folder_.path()};
  const std::string tool_ = short_name(own_program());
  std::optional<FleetWatch> watch_;
  std::optional<Screen> screen_;
  FleetWatch::State last_;
  std::map<std::string, Instance> phases_;
  Stage stage_ = Stage::starting;
  Clock::time_point running_since_{}, end_since_{}, last_drawn_{}, agent_restart_at_{};
  std::deque<DemoView::Event> events_;
  std::string failure_, headline_ = "starting";
  bool all_drained_ = false, killed_ = false, hints_shown_ = false, output_failed_ = false;
  std::size_t leftovers_ = 0;
};

Demonstration::Demonstration(const Demo& options)
    : options_(options),
      uses_screen_(!options.plain && is_terminal(1)),
      ports_(free_ports(kRelays + 1)),
      world_(
          io_, folder_.path() + "/partners.json", [this](const std::string& what) { record_event(what); },
          kSeed) {}

std::string Demonstration::fleet() const {
  const auto address = [&](std::size_t i) { return "\"127.0.0.1:" + std::to_string(ports_[i]) + "\""; };
  std::string text =
      "{\"max_unavailable\":1,\"program\":\"heronvane\",\"platform\":{\"listen\":" + address(kRelays) +
      ",\"partners_file\":" + json_string(folder_.path() + "/partners.json") + "},\"instances\":[";
  for (std::size_t i = 0; i < kRelays; i++)
    text += std::string(i > 0 ? "," : "") + "{\"name\":\"n" + std::to_string(i) +
            "\",\"listen\":" + address(i) + "}";
  return text + "]}";
}

int Demonstration::run() {
  struct sigaction ignore {
  }, before{};
  ignore.sa_handler = SIG_IGN;
  ::sigaction(SIGPIPE, &ignore, &before);
  for (const int s : {SIGINT, SIGTERM, SIGHUP}) ends_.add(s);
  resized_.add(SIGWINCH);
  const std::function<void()> wait_end = [&] {
    ends_.async_wait([&](error_code bad, int) {
      if (bad) return;
      // Further signals first end the drain, then kill the agent.
      if (stage_ == Stage::draining) {
        stop_agent();
      } else if (stage_ == Stage::stopping) {
        killed_ = true;
      } else {
        start_shutdown("asked to end");
      }
      wait_end();
    });
  };
  const std::function<void()> wait_resized = [&] {
    resized_.async_wait([&](error_code bad, int) {
      if (bad) return;
      show();
      wait_resized();
    });
  };
  wait_end();
  wait_resized();
  agent_.start();
  watch_.emplace(io_, agent_.socket(), fleet(),
                 [this](FleetWatch::State s) { on_agent_state(std::move(s)); });
  if (uses_screen_) screen_.emplace(1);
  tick();
  io_.run();
  screen_.reset();
  const int exit = print_summary();
  ::sigaction(SIGPIPE, &before, nullptr);
  return exit;
}

void Demonstration::tick() {
  step();
  if (stage_ == Stage::over) return io_.stop();
  timer_.expires_after(stage_ == Stage::running ? kTick : kEndingTick);
  timer_.async_wait([this](error_code bad) {
    if (!bad) tick();
  });
}

void Demonstration::step() {
  const auto now = Clock::now();
  if (output_failed_ && (stage_ == Stage::starting || stage_ == Stage::running)) start_shutdown("");
  switch (stage_) {
    case Stage::starting:
      if (!last_.refused.empty()) {
        failure_ = last_.refused;
        start_shutdown("");
        break;
      }
      if (now - started_ > kStartLimit) {
        failure_ =
            "the relays were not ready within 30 s" + (last_.trouble.empty() ? "" : ": " + last_.trouble);
        start_shutdown("");
        break;
      }
      restart_agent_if_ended();
      if (stage_ != Stage::starting || !last_.applied || last_.instances.size() != kRelays) break;
      if (std::all_of(last_.instances.begin(), last_.instances.end(),
                      [](const auto& i) { return i.ready; })) {
        std::vector<standins::ClientsOptions::Relay> relays;
        for (std::size_t i = 0; i < kRelays; i++)
          relays.push_back({"n" + std::to_string(i), {net::ip::address_v4::loopback(), ports_[i]}});
        world_.start_clients(std::move(relays));
        record_event("all relays are ready: clients begin");
        headline_ = "Ctrl-C ends it";
        stage_ = Stage::running;
        running_since_ = now;
      }
      break;
    case Stage::running:
      restart_agent_if_ended();
      world_.tick(standins::steady_time());
      if (options_.seconds && now - running_since_ >= std::chrono::duration<double>(*options_.seconds))
        start_shutdown("its time is over");
      break;
    case Stage::draining:
      all_drained_ = !world_.clients_out() && drained();
      if (all_drained_ || now - end_since_ > kDrainLimit) stop_agent();
      break;
    case Stage::stopping: {
      std::string how;
      const bool late = killed_ || now - end_since_ > kShutdownLimit;
      if (late) agent_.signal(SIGKILL);
      if (agent_.ended(how)) stage_ = Stage::over;
      break;
    }
    case Stage::over:
      break;
  }
  if (now - last_drawn_ >= (uses_screen_ ? milliseconds(500) : milliseconds(1'000))) show();
}

void Demonstration::restart_agent_if_ended() {
  const auto now = Clock::now();
  if (agent_.pid() > 0) {
    std::string how;
    if (!agent_.ended(how)) return;
    if (stage_ == Stage::starting) {
      failure_ = "heronvane-agent ended (" + how + ")";
      return start_shutdown("");
    }
    record_event("the agent ended (" + how + "): relays run on, it is started again");
    agent_restart_at_ = now + milliseconds(500);
  } else if (now >= agent_restart_at_) {
    agent_.start();
  }
}

void Demonstration::on_agent_state(FleetWatch::State s) {
  if (s.trouble.empty() && s.refused.empty()) {
    record_phase_changes(s.instances);
    last_ = std::move(s);
  } else {
    // Keeps the last known instances on the screen.
    last_.trouble = s.trouble, last_.refused = s.refused, last_.applied = s.applied;
  }
}

void Demonstration::record_phase_changes(const std::vector<Instance>& instances) {
  for (const auto& i : instances) {
    const auto it = phases_.find(i.name);
    if (it != phases_.end() && stage_ == Stage::running) {
      const auto& was = it->second;
      if (was.phase != i.phase)
        record_event(i.name + ": " + was.phase + " -> " + i.phase +
                     (i.phase == "backoff" || i.phase == "looping" ? " (" + i.last_exit + ")" : ""));
      else if (was.pid != i.pid && i.pid > 0)
        record_event(i.name + ": runs anew, pid " + std::to_string(i.pid) +
                     (i.last_exit.empty() ? "" : ", after " + i.last_exit));
    }
    phases_[i.name] = i;
  }
}

bool Demonstration::drained() const {
  return !last_.instances.empty() &&
         std::all_of(last_.instances.begin(), last_.instances.end(),
                     [](const auto& i) { return i.phase == "drained" && i.pid == 0; });
}

void Demonstration::start_shutdown(const std::string& reason) {
  if (!reason.empty()) record_event(reason + ": relays drain");
  headline_ = "ending: relays drain";
  end_since_ = Clock::now();
  const bool begun = stage_ == Stage::running;
  world_.stop_clients();
  if (!begun) return stop_agent();
  stage_ = Stage::draining;
  watch_->drain();
}

void Demonstration::stop_agent() {
  stage_ = Stage::stopping;
  watch_.reset();
  agent_.signal(SIGTERM);
}

void Demonstration::record_event(const std::string& what) {
  events_.push_front({elapsed_s(), what});
  if (events_.size() > kMaxEvents) events_.pop_back();
  if (!uses_screen_) print(clock_time(elapsed_s()) + "  " + safe(what) + "\n");
}

// Writes to standard output; after a failed write the demonstration ends.
void Demonstration::print(const std::string& text) {
  try {
    if (!output_failed_) put(1, text);
  } catch (const std::system_error&) {
    output_failed_ = true;
  }
}

DemoView Demonstration::view() {
  DemoView v;
  v.elapsed_s = elapsed_s();
  v.headline = headline_;
  if (!last_.trouble.empty() && stage_ == Stage::running) v.headline = "the agent does not answer";
  for (std::size_t i = 0; i < kRelays; i++) {
    DemoView::Relay r;
    r.name = "n" + std::to_string(i), r.phase = "-";
    for (const auto& one : last_.instances)
      if (one.name == r.name) {
        r.phase = one.phase, r.pid = one.pid, r.held = one.held, r.restarts = one.restarts;
        v.totals.held += static_cast<std::uint64_t>(std::max<std::int64_t>(0, one.held));
      }
    v.relays.push_back(std::move(r));
  }
  world_.fill(v, last_.instances, standins::steady_time());
  if (last_.agent.platform) v.totals.ended = static_cast<std::uint64_t>(last_.agent.platform->finals);
  v.events.assign(events_.begin(), events_.end());
  v.suggestions = {{"export HERONVANE_AGENT=" + agent_.socket(), "in another terminal"},
                   {tool_ + " status", "or: show n0, drain n1, restart --rolling"}};
  const auto& last = v.relays.back();
  if (last.pid > 0)
    v.suggestions.push_back(
        {"kill -9 " + std::to_string(last.pid), last.name + " comes back, nothing is lost"});
  return v;
}

void Demonstration::show() {
  last_drawn_ = Clock::now();
  const auto v = view();
  if (uses_screen_) {
    try {
      screen_->draw(render_demo(v, style_of(1), terminal_size(1).rows));
    } catch (const std::system_error&) {
      output_failed_ = true;
    }
    return;
  }
  if (stage_ != Stage::starting) print(plain_demo(v));
  if (stage_ == Stage::running && !hints_shown_) {
    hints_shown_ = true;
    for (const auto& t : v.suggestions)
      print("  try: " + t.command + (t.reason.empty() ? "" : "   # " + t.reason) + "\n");
  }
}

int Demonstration::print_summary() {
  leftovers_ = end_leftovers(folder_.path());
  const auto problem = settle_by_notices(agent_.data(), world_.ledger());
  const auto n = world_.counts();
  const auto& l = world_.ledger().totals();
  if (!failure_.empty()) {
    put(2, "heronvanectl: demo: " + safe(failure_) + "\n");
    std::ifstream log(agent_.log());
    std::deque<std::string> lines;
    for (std::string line; std::getline(log, line);) {
      lines.push_back(line);
      if (lines.size() > 10) lines.pop_front();
    }
    for (const auto& line : lines) put(2, "  " + safe(line) + "\n");
    return kRefused;
  }
  if (n.handed == 0) {
    print("demo: ended before clients began\n");
    return kDone;
  }
  const std::uint64_t unanswered = n.silence + n.out, refused = n.refused + n.failed;
  std::string text =
      "demo: " + duration(elapsed_s() * 1000) + ", " + grouped(n.handed) + " messages handed in\n";
  const auto line = [&](std::uint64_t count, const std::string& what) {
    std::string digits = grouped(count);
    text +=
        "  " + std::string(digits.size() < 10 ? 10 - digits.size() : 0, ' ') + digits + "  " + what + "\n";
  };
  line(l.delivered, "delivered");
  line(l.ended, "ended by a notice to the platform");
  if (l.open > 0)
    line(l.open,
         all_drained_ ? "LOST: taken on, and neither" : "still held by relays that were not drained in time");
  line(refused, "refused, after " + grouped(n.refusals) + " refusals of " + grouped(n.tries) + " tries");
  if (unanswered > 0)
    line(unanswered, "without an answer (" + grouped(l.delivered_unanswered) + " of them delivered)");
  line(l.twice, "twice, of those that must not be");
  line(l.repeated, "effects repeated of those that may be");
  const bool adds_up =
      l.delivered + l.ended + l.open == n.taken && n.taken + refused + unanswered == n.handed;
  const bool lost = l.open > 0 && all_drained_;
  if (!problem.empty()) text += "  notices could not be read: " + safe(problem) + "\n";
  if (!adds_up) text += "  the counts DO NOT ADD UP: " + grouped(n.taken) + " were taken on\n";
  if (leftovers_ > 0)
    text +=
        "  ended by force: " + count(static_cast<std::int64_t>(leftovers_), "process", "processes") + "\n";
  print(text);
  return adds_up && !lost && l.twice == 0 && problem.empty() ? kDone : kPartial;
}

}  // namespace

int demo(const Demo& options) {
  try {
    return Demonstration(options).run();
  } catch (const std::exception& e) {
    put(2, std::string("heronvanectl: demo: ") + e.what() + "\n");
    return kRefused;
  }
}

}  // namespace heronvane::cli

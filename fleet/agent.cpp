#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <set>
#include <system_error>
#include <thread>

#include "agent_instance.hpp"
#include "fields.hpp"
#include "json.hpp"
#include "log.hpp"

namespace heronvane::fleet {

namespace wire = heronvane::dispatch::adapter;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxStatusBytes = 256 << 10;  // a longer status answer is not kept for display
constexpr auto kLockTimeout = std::chrono::seconds(2);

// Environment variables that a relay must not inherit: they duplicate its options or are for the agent alone.
const std::vector<std::string>& hidden_variables() {
  static const std::vector<std::string> names{
      "LB_CONFIG",     "LB_STATE",       "HERONVANE_SETTINGS",     "NOTIFY_SOCKET",
      "LISTEN_FDS",    "LISTEN_PID",     "LISTEN_FDNAMES",         "WATCHDOG_USEC",
      "INVOCATION_ID", "JOURNAL_STREAM", "HERONVANE_AGENT_KILL_AT"};
  return names;
}

Microseconds wall_clock() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Whether the folder holds files that are not an agent's. The agent sets mode 0700 on its data folder, which
// must not happen to /var or /tmp named by mistake.
bool has_foreign_entries(const std::string& path, std::error_code& bad) {
  bool any = false;
  for (std::filesystem::directory_iterator at(path, bad), end; !bad && at != end; at.increment(bad)) {
    const auto name = at->path().filename();
    if ((name == "lock" || name == "agent.db") && at->is_regular_file(bad)) return false;
    any = any || (name != "instances" && name != "lost+found");
  }
  return any;
}

std::uint64_t seed() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32) | random();
}

// The part of a status answer's `copies` that a list of many instances shows, as JSON; empty: no copies.
std::string copies_summary(const rapidjson::Value& status) {
  const auto* const copies = wire::find_member(status, "copies");
  if (copies == nullptr || !copies->IsObject()) return {};
  const std::string path = "status.copies";
  std::int64_t lag = 0;
  if (const auto* const holders = wire::find_member(*copies, "holders");
      holders != nullptr && holders->IsArray())
    for (const auto& h : holders->GetArray())
      lag = std::max(lag, wire::optional_field(h, "lag", path, wire::as_int64, 0));
  rapidjson::StringBuffer b;
  JsonWriter w(b);
  w.StartObject();
  key(w, "phase"), put(w, printable(wire::optional_field(*copies, "phase", path, wire::as_string, "")));
  key(w, "have"), w.Int64(wire::optional_field(*copies, "copies", path, wire::as_int64, 0));
  key(w, "wanted"), w.Int64(wire::optional_field(*copies, "wanted", path, wire::as_int64, 0));
  key(w, "lag"), w.Int64(lag);
  key(w, "epoch"), w.Int64(wire::optional_field(*copies, "epoch", path, wire::as_int64, 0));
  w.EndObject();
  return text_of(b);
}

}  // namespace

DataFolder::DataFolder(const std::string& path) {
  const auto require = [](bool ok, const std::string& what) {
    if (!ok) throw std::runtime_error(what + ": " + std::strerror(errno));
  };
  std::error_code bad;
  std::filesystem::create_directories(path, bad);
  if (!bad && has_foreign_entries(path, bad))
    throw std::runtime_error(path + ": holds other things: name a folder of the agent's own");
  if (bad) throw std::runtime_error(path + ": " + bad.message());
  require(::chmod(path.c_str(), 0700) == 0, path);
  const std::string instances = path + "/instances", lock = path + "/lock";
  require(::mkdir(instances.c_str(), 0700) == 0 || errno == EEXIST, instances);
  lock_ = ::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  require(lock_ >= 0, lock);
  const auto until = std::chrono::steady_clock::now() + kLockTimeout;
  while (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    const int why = errno;
    if (why == EINTR) continue;
    if (why == EWOULDBLOCK && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    char pid[24] = {};
    const bool has_pid = ::pread(lock_, pid, sizeof pid - 1, 0) > 1;
    ::close(lock_);
    if (why != EWOULDBLOCK) throw std::runtime_error(path + ": " + std::strerror(why));
    throw std::runtime_error(path + ": another heronvane-agent has it" +
                             (has_pid ? ", pid " + std::to_string(std::atol(pid)) : ""));
  }
  // The pid is for operators. On a full disk it is missing; the lock holds all the same.
  const std::string pid = std::to_string(::getpid()) + "\n";
  [[maybe_unused]] const bool written =
      ::ftruncate(lock_, 0) == 0 && ::pwrite(lock_, pid.data(), pid.size(), 0) > 0;
}

DataFolder::~DataFolder() {
  [[maybe_unused]] const int emptied =
      ::ftruncate(lock_, 0);  // else it would name a pid that the kernel may reuse
  ::close(lock_);
}

Agent::Agent(boost::asio::io_context& io, AgentOptions options)
    : io_(io),
      options_(std::move(options)),
      folder_(options_.data),
      database_(options_.data + "/agent.db", options_.database),
      started_(wall_clock()),
      started_steady_(std::chrono::steady_clock::now()),
      platform_(io, database_, options_.data + "/finals.db"),
      decider_(
          [this] {
            Restored restored =
                database_.restore([](const std::string& text) { return Fleet::read(text).spec(); });
            restored_rows_ = restored.instances;
            return restored;
          }(),
          seed(), options_.tuning),
      timer_(io),
      kill_timer_(io) {}

Agent::~Agent() { *alive_ = false; }

Microseconds Agent::now() const {
  return started_ + std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                                          started_steady_)
                        .count();
}

void Agent::start() {
  events_.push_back(event::TimerExpired{});
  adopt(restored_rows_);
  restored_rows_.clear();
  process_events();
}

Agent::Instance& Agent::instance_for(const std::string& name) {
  auto& at = instances_[name];
  if (!at) at = std::make_unique<Instance>(io_, options_.data, name);
  return *at;
}

// ---- events and actions ----

void Agent::handle_event(Event event) {
  if (stopping_) return;
  events_.push_back(std::move(event));
  process_events();
}

void Agent::process_events() {
  if (processing_events_) return;
  processing_events_ = true;
  std::vector<Action> actions;
  while (!events_.empty() && !stopping_) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decider_.handle(now(), event, actions);
    for (const auto& action : actions) {
      try {
        std::visit([this](const auto& typed_action) { perform(typed_action); }, action);
      } catch (const std::exception& error) {
        heronvane::log(std::string("agent: ") + error.what());
      }
    }
  }
  processing_events_ = false;
  apply_platform();
}

void Agent::apply_platform() {
  if (!std::exchange(fleet_changed_, false)) return;
  const std::string& text = decider_.fleet().text;
  if (text == applied_platform_text_) return;
  applied_platform_text_ = text;
  try {
    platform_.apply(text.empty() ? std::nullopt : Fleet::read(text).platform());
  } catch (const std::exception& error) {
    heronvane::log(std::string("platform: ") + error.what());
  }
}

void Agent::perform(const action::Record& action) {
  notify_step();
  std::map<std::string, ProcessId> processes;
  for (const auto& row : action.instances) {
    const auto it = instances_.find(row.name);
    if (it != instances_.end() && it->second->process && it->second->run == row.run)
      processes.emplace(row.name, it->second->process->id());
  }
  const std::string why = database_.save(now(), action, processes);
  fleet_changed_ = fleet_changed_ || action.fleet;
  notify_step();
  if (why.empty())
    events_.push_back(event::Recorded{action.record});
  else
    events_.push_back(event::RecordFailed{action.record, why});
}

void Agent::perform(const action::WriteConfig& action) {
  Instance& instance = instance_for(action.name);
  try {
    const auto fleet = fleet_of(action.generation);
    if (!fleet)
      throw std::runtime_error("generation " + std::to_string(action.generation) + " is not in the database");
    instance.folder.write_config(*fleet, action.generation);
    instance.config_error.clear();
  } catch (const std::exception& error) {
    instance.config_error = error.what();
    heronvane::log("instance " + action.name + ": configuration not written: " + error.what());
  }
  notify_step();
}

void Agent::perform(const action::Spawn& action) {
  Instance& instance = instance_for(action.name);
  std::string why;
  try {
    why = spawn(instance, action);
  } catch (const std::exception& error) {
    why = error.what();
  }
  notify_step();
  if (why.empty())
    events_.push_back(event::Spawned{action.name, static_cast<int>(instance.process->id().pid), action.run});
  else
    events_.push_back(event::SpawnFailed{action.name, action.run, why});
}

// Starts the instance's process. Returns an empty string, or the reason of the failure.
std::string Agent::spawn(Instance& instance, const action::Spawn& action) {
  if (instance.process) return "an earlier process of the instance is still running";
  if (!instance.config_error.empty()) return instance.config_error;
  instance.folder.make();
  const InstanceRow* row = decider_.instance(action.name) ? decider_.instance(action.name)->row : nullptr;
  const auto fleet = fleet_of(row != nullptr && row->config > 0 ? row->config : decider_.generation());
  if (!fleet) return "the fleet of its generation is not in the database";
  Command command;
  command.program = find_program(fleet->program());
  if (command.program.empty())
    return fleet->program() + ": no such program beside the agent's own or in PATH";
  command.folder = instance.folder.path();
  command.log = instance.folder.log();
  command.hidden = hidden_variables();
  command.descriptors = options_.relay_descriptors;
  // A Unix socket's path has a limited length. If the absolute path is too long, use one relative to its
  // folder.
  const std::string at = instance.folder.state().size() < 90 ? instance.folder.path() + "/" : "";
  command.arguments = {"--config",   at + "config.json",   "--state", at + "state",
                       "--settings", at + "settings.toml", "--run",   action.run};
  if (action.undrain)
    command.arguments.insert(command.arguments.end(), {"--undrain", std::to_string(*action.undrain)});
  pid_t pid = 0;
  if (const auto bad = start_detached(command, pid)) return command.program + ": " + bad.message();
  const ProcessId id = identify(pid).value_or(ProcessId{pid, 0, ""});
  std::error_code bad;
  auto process = Process::open(
      io_, id,
      [this, name = action.name, run = action.run](ExitStatus status) { process_ended(name, run, status); },
      bad);
  if (!process) {
    // Without a pidfd the process can be neither watched nor signalled safely. It is an unreaped child, so
    // its pid can't have been reused yet.
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    return "pidfd: " + bad.message();
  }
  process_started(instance, action.run, std::move(process));
  return {};
}

std::string Agent::find_program(const std::string& program) const {
  if (program.find('/') != std::string::npos) return program;
  std::vector<std::string> folders{std::filesystem::path(options_.own_program).parent_path().string()};
  const char* const path = std::getenv("PATH");
  std::string rest = path == nullptr ? "" : path;
  while (!rest.empty()) {
    const auto end = std::min(rest.find(':'), rest.size());
    folders.push_back(rest.substr(0, end));
    rest.erase(0, std::min(end + 1, rest.size()));
  }
  for (const auto& folder : folders) {
    const std::string file = folder + "/" + program;
    struct stat about {};
    if (!folder.empty() && ::stat(file.c_str(), &about) == 0 && S_ISREG(about.st_mode) &&
        ::access(file.c_str(), X_OK) == 0)
      return file;
  }
  return {};
}

void Agent::perform(const action::Signal& action) {
  const auto it = instances_.find(action.name);
  if (it == instances_.end() || !it->second->process || it->second->run != action.run) return;
  notify_step();
  const auto bad = it->second->process->signal(action.signal == Signum::kill ? SIGKILL : SIGTERM);
  if (bad && bad != std::errc::no_such_process)
    heronvane::log("instance " + action.name + ": signal: " + bad.message());
}

void Agent::perform(const action::AskDrain& action) {
  call_admin(action.name, action.run, AdminCall::drain, action.fence);
}
void Agent::perform(const action::AskUndrain& action) {
  call_admin(action.name, action.run, AdminCall::undrain, action.fence);
}
void Agent::perform(const action::AskFence& action) {
  call_admin(action.name, action.run, AdminCall::fence, action.fence);
}

void Agent::call_admin(const std::string& name, const std::string& run, AdminCall call, OperationId fence) {
  notify_step();
  const char* const target = call == AdminCall::drain     ? "/v1/drain"
                             : call == AdminCall::undrain ? "/v1/undrain"
                                                          : "/v1/fence";
  ask_admin(io_,
            {instance_for(name).folder.state(), true, target, "{\"fence\":" + std::to_string(fence) + "}"},
            [this, alive = std::weak_ptr<bool>(alive_), name, run, call](const AdminAnswer& answer) {
              if (alive.expired()) return;
              event::Answered event{name, run, call, event::Answered::Result::failed, 0, answer.error};
              if (answer.status == 200) {
                event.result = event::Answered::Result::ok;
              } else if (answer.status != 0) {
                event.why = "status " + std::to_string(answer.status);
                try {
                  const auto error_json = parse_json(answer.body);
                  const auto& error = wire::required_member(error_json, "error", "answer");
                  event.why = printable(wire::optional_field(error, "message", "error", wire::as_string, ""));
                  if (answer.status == 409) {
                    event.highest = wire::required_field(error, "fence", "error", wire::as_uint64);
                    event.result = event::Answered::Result::fenced;
                  }
                } catch (const std::exception& bad) {
                  event.why += std::string(", ") + bad.what();
                }
              }
              handle_event(std::move(event));
            });
}

void Agent::perform(const action::Removed& action) {
  const auto it = instances_.find(action.name);
  if (it != instances_.end() && it->second->process) {
    heronvane::log("instance " + action.name + ": folder kept, a process still uses it");
    return;
  }
  instances_.erase(action.name);
  InstanceFolder(options_.data, action.name).remove();
}

void Agent::perform(const action::SetTimer& action) {
  timer_.expires_at(started_steady_ + std::chrono::microseconds(action.at - started_));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](error_code bad) {
    if (!bad && !alive.expired()) handle_event(event::TimerExpired{});
  });
}

void Agent::perform(const action::Reply& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  const auto done = std::move(it->second);
  requests_.erase(it);
  done(action.verdict);
}

void Agent::perform(const action::OperationChanged& action) {
  const auto it = followers_.find(action.operation);
  if (it == followers_.end()) return;
  const Operation* const operation = decider_.operation(action.operation);
  if (operation == nullptr) return void(followers_.erase(it));
  const bool last = operation->state != OperationState::running;
  const std::string line = operation_json(*operation);
  auto all = std::move(it->second);
  followers_.erase(it);
  std::erase_if(all, [](const auto& weak) { return weak.expired(); });
  for (const auto& weak : all)
    if (const auto stream = weak.lock()) stream->push(line, last);
  if (!last && !all.empty()) {
    auto& kept = followers_[action.operation];
    kept.insert(kept.end(), all.begin(), all.end());
  }
}

void Agent::perform(const action::Log& action) { heronvane::log(action.text); }

// ---- processes ----

// Looks for the process of each row with `live`: first by its recorded process id, then by run among all
// processes, since the agent may have been killed between a start and its record.
void Agent::adopt(const std::vector<InstanceRow>& rows) {
  const auto recorded = database_.processes();
  std::optional<std::multimap<std::string, ProcessId>> all;
  for (const auto& row : rows) {
    if (!row.live) continue;
    Instance& instance = instance_for(row.name);
    std::optional<ProcessId> id;
    const auto it = recorded.find(row.name);
    if (it != recorded.end() && identify(it->second.pid) == it->second &&
        argument_of(it->second.pid, "--run") == row.run)
      id = it->second;
    if (!id) {
      if (!all) all = find_by_option("--run");
      const auto [from, to] = all->equal_range(row.run);
      for (auto at = from; at != to; ++at) {
        std::error_code unknown;
        const bool inside = std::filesystem::equivalent("/proc/" + std::to_string(at->second.pid) + "/cwd",
                                                        instance.folder.path(), unknown);
        if (!id || inside) id = at->second;
      }
    }
    std::error_code bad;
    std::unique_ptr<Process> process;
    if (id)
      process = Process::open(
          io_, *id,
          [this, name = row.name, run = row.run](ExitStatus status) { process_ended(name, run, status); },
          bad);
    if (process) {
      process_started(instance, row.run, std::move(process));
      events_.push_back(event::Adopted{row.name, static_cast<int>(id->pid), row.run});
    } else {
      events_.push_back(event::NotFound{row.name, row.run, instance.folder.drained(row.run)});
    }
  }
}

void Agent::process_started(Instance& instance, const std::string& run, std::unique_ptr<Process> process) {
  instance.run = run;
  instance.process = std::move(process);
  instance.process_number++;
  instance.status.clear();
  instance.state_folder_seen = instance.folder.has_state();
  schedule_status_poll(instance, options_.status_interval_busy);
}

void Agent::process_ended(const std::string& name, const std::string& run, ExitStatus ending) {
  Instance& instance = instance_for(name);
  instance.process.reset();
  instance.process_number++;
  instance.status.clear();
  instance.timer.cancel();
  if (stopping_) {
    const bool any = std::any_of(instances_.begin(), instances_.end(),
                                 [](const auto& x) { return x.second->process != nullptr; });
    if (!any && on_relays_ended_) std::exchange(on_relays_ended_, nullptr)();
    return;
  }
  const auto drained = instance.folder.drained(run);
  if (ending.known)
    handle_event(event::Exited{name, run, ending.status, ending.signal, drained});
  else
    handle_event(event::NotFound{name, run, drained});  // not a child: its exit status is unknown
}

void Agent::poll_status(const std::string& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end() || !it->second->process) return;
  Instance& instance = *it->second;
  instance.folder.rotate(options_.log_bytes);
  const bool state = instance.folder.has_state();
  if (instance.state_folder_seen && !state) {
    instance.state_folder_seen = false;
    handle_event(event::StateFolderMissing{name});
    if (!instance.process) return;
  }
  instance.state_folder_seen = instance.state_folder_seen || state;
  ask_admin(io_, {instance.folder.state(), false, "/v1/status", ""},
            [this, alive = std::weak_ptr<bool>(alive_), name,
             process_number = instance.process_number](const AdminAnswer& answer) {
              if (alive.expired()) return;
              const auto at = instances_.find(name);
              if (at == instances_.end() || at->second->process_number != process_number) return;
              status_answered(name, answer);
            });
}

void Agent::status_answered(const std::string& name, const AdminAnswer& answer) {
  Instance& instance = instance_for(name);
  // The request was not sent, for lack of descriptors or memory in the agent: that must not end a healthy
  // relay.
  if (answer.local_failure) return schedule_status_poll(instance, options_.status_interval);
  event::StatusSeen event;
  event.name = name;
  bool seen = false;
  try {
    if (answer.status == 200) {
      const auto status_json = parse_json(answer.body);
      const std::string path = "status";
      event.run = wire::required_field(status_json, "run", path, wire::as_string);
      event.ready = wire::required_field(status_json, "ready", path, wire::as_bool);
      event.draining = wire::optional_field(status_json, "draining", path, wire::as_bool, false);
      event.stopping = wire::optional_field(status_json, "stopping", path, wire::as_bool, false);
      event.fence = wire::optional_field(status_json, "fence", path, wire::as_uint64, 0);
      event.generation = wire::optional_field(status_json, "generation", path, wire::as_uint64, 0);
      if (const auto* held = wire::find_member(status_json, "held")) {
        event.held = wire::optional_field(*held, "total", "status.held", wire::as_uint64, 0);
        event.oldest_ms = wire::optional_field(*held, "oldest_ms", "status.held", wire::as_int64, 0);
      }
      // An answer of another run does not count as one of this process.
      seen = event.run == instance.run;
      if (seen) {
        instance.status = answer.body.size() <= kMaxStatusBytes ? answer.body : "";
        instance.copies_json = copies_summary(status_json);
        instance.status_at = now();
      }
    }
  } catch (const std::exception& bad) {
    heronvane::log("instance " + name + ": status answer not readable: " + bad.what());
  }
  const auto process_number = instance.process_number;
  if (seen)
    handle_event(std::move(event));
  else
    handle_event(event::StatusMissed{name, instance.run});
  const auto it = instances_.find(name);
  if (it == instances_.end() || it->second->process_number != process_number || !it->second->process) return;
  const auto view = decider_.instance(name);
  const bool settled =
      view && (view->phase == Phase::ready || view->phase == Phase::stalled) && view->operation == 0;
  schedule_status_poll(*it->second, settled ? options_.status_interval : options_.status_interval_busy);
}

void Agent::schedule_status_poll(Instance& instance, std::chrono::milliseconds gap) {
  instance.timer.expires_after(gap);
  instance.timer.async_wait([this, alive = std::weak_ptr<bool>(alive_), name = instance.name,
                             process_number = instance.process_number](error_code bad) {
    if (bad || alive.expired()) return;
    const auto it = instances_.find(name);
    if (it != instances_.end() && it->second->process_number == process_number) poll_status(name);
  });
}

void Agent::stop_relays(std::chrono::milliseconds grace, std::function<void()> done) {
  stopping_ = true;
  timer_.cancel();
  bool any = false;
  for (const auto& [name, instance] : instances_) {
    instance->timer.cancel();
    if (!instance->process) continue;
    any = true;
    instance->process->signal(SIGTERM);
  }
  if (!any) return done();
  on_relays_ended_ = std::move(done);
  kill_timer_.expires_after(grace);
  kill_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](error_code bad) {
    if (bad || alive.expired()) return;
    for (const auto& [name, instance] : instances_)
      if (instance->process) instance->process->signal(SIGKILL);
  });
}

}  // namespace heronvane::fleet

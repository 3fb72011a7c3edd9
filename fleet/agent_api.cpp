// The agent's implementation of ApiBackend.
#include <unistd.h>

#include <algorithm>

#include "agent_instance.hpp"
#include "json.hpp"

namespace heronvane::fleet {

namespace {

constexpr std::size_t kCachedFleets = 4;

}  // namespace

AgentView Agent::about() const {
  AgentView view;
  char name[256] = "";
  ::gethostname(name, sizeof name - 1);
  view.name = name;
  view.version = HERONVANE_VERSION;
  view.pid = ::getpid();
  view.started = started_;
  view.platform = platform_.view();
  return view;
}

std::optional<StatusView> Agent::status(const std::string& name) const {
  const auto it = instances_.find(name);
  if (it == instances_.end() || it->second->status.empty()) return {};
  return StatusView{it->second->status, it->second->copies_json, now() - it->second->status_at};
}

std::string Agent::log_file(const std::string& name) const {
  return InstanceFolder(options_.data, name).log();
}

FleetSpec Agent::read_fleet(const std::string& json) const { return Fleet::read(json).spec(); }

std::shared_ptr<const Fleet> Agent::fleet_of(Generation generation) {
  const auto it = fleets_.find(generation);
  if (it != fleets_.end()) return it->second;
  const auto text = database_.fleet_at(generation);
  if (!text) return nullptr;
  while (fleets_.size() >= kCachedFleets) fleets_.erase(fleets_.begin());
  return fleets_[generation] = std::make_shared<const Fleet>(Fleet::read(*text));
}

std::optional<FleetSpec> Agent::fleet_at(Generation generation) {
  if (generation == 0 || generation > decider_.generation()) return {};
  const auto fleet = fleet_of(generation);
  if (!fleet) return {};
  return fleet->spec();
}

void Agent::command(event::Command command, std::function<void(Verdict)> done) {
  command.request = ++last_request_;
  requests_.emplace(command.request, std::move(done));
  handle_event(std::move(command));
}

void Agent::cancel(OperationId operation, std::function<void(Verdict)> done) {
  const RequestId request = ++last_request_;
  requests_.emplace(request, std::move(done));
  handle_event(event::Cancel{request, operation});
}

void Agent::find_message(const std::string& id, std::function<void(MessageView)> done) {
  struct Search {
    MessageView view;
    std::size_t unanswered = 1;
    std::function<void(MessageView)> done;
    void answer_received() {
      if (--unanswered == 0) done(std::move(view));
    }
  };
  const auto search = std::make_shared<Search>();
  search->done = std::move(done);
  for (const auto& instance_view : decider_.instances()) {
    const std::string name = instance_view.row->name;
    const auto it = instances_.find(name);
    if (it == instances_.end() || !it->second->process) {
      search->view.not_asked.push_back(name);
      continue;
    }
    search->unanswered++;
    ask_admin(io_, {it->second->folder.state(), false, "/v1/messages/" + id, ""},
              [search, name, alive = std::weak_ptr<bool>(alive_)](const AdminAnswer& answer) {
                if (alive.expired()) return;
                bool answered = answer.status == 404;
                if (answer.status == 200) {
                  try {
                    answered = parse_json(answer.body).IsObject();
                  } catch (const JsonError&) {
                  }
                  if (answered) search->view.found.emplace_back(name, answer.body);
                }
                if (!answered) search->view.not_asked.push_back(name);
                search->answer_received();
              });
  }
  search->answer_received();
}

// Asks the instances one after the other, until one that holds a copy of the relay's log takes over.
void Agent::take_over(const std::string& relay, std::function<void(TakeOverView)> done) {
  struct Search {
    std::vector<std::pair<std::string, std::string>> remaining;  // instance, state folder
    TakeOverView view;
    std::function<void(TakeOverView)> done;
    std::function<void()> next;
  };
  const auto search = std::make_shared<Search>();
  search->done = std::move(done);
  for (const auto& instance_view : decider_.instances()) {
    const auto it = instances_.find(instance_view.row->name);
    if (instance_view.row->name == relay || it == instances_.end() || !it->second->process) continue;
    search->remaining.emplace_back(instance_view.row->name, it->second->folder.state());
  }
  std::reverse(search->remaining.begin(), search->remaining.end());
  search->next = [this, relay, weak = std::weak_ptr(search)] {
    const auto locked_search = weak.lock();
    if (locked_search->remaining.empty()) return locked_search->done(std::move(locked_search->view));
    const auto [name, folder] = locked_search->remaining.back();
    locked_search->remaining.pop_back();
    ask_admin(
        io_, {folder, true, "/v1/takeover/" + relay, "{}"},
        [locked_search, name = name, alive = std::weak_ptr<bool>(alive_)](const AdminAnswer& answer) {
          if (alive.expired()) return;
          if (answer.status == 200) {
            locked_search->view.by = name;
            return locked_search->done(std::move(locked_search->view));
          }
          std::string why = answer.status == 0 ? answer.error : "status " + std::to_string(answer.status);
          try {
            const auto error_json = parse_json(answer.body);
            if (error_json.IsObject() && error_json.HasMember("error") && error_json["error"].IsObject() &&
                error_json["error"].HasMember("message") && error_json["error"]["message"].IsString())
              why = error_json["error"]["message"].GetString();
          } catch (const JsonError&) {
          }
          locked_search->view.refused.emplace_back(name, why);
          locked_search->next();
        });
  };
  search->next();
}

std::shared_ptr<ApiStream> Agent::follow_operation(OperationId operation) {
  const auto stream = std::make_shared<LineStream>();
  const Operation* const recorded = decider_.operation(operation);
  if (recorded == nullptr) {
    stream->push("{}", true);
    return stream;
  }
  const bool last = recorded->state != OperationState::running;
  stream->push(operation_json(*recorded), last);
  if (!last) {
    auto& all = followers_[operation];
    std::erase_if(all, [](const auto& weak) { return weak.expired(); });
    all.push_back(stream);
  }
  return stream;
}

std::shared_ptr<ApiStream> Agent::read_log(const std::string& name, std::size_t lines, bool follow) {
  return std::make_shared<LogStream>(io_, log_file(name), lines, follow);
}

}  // namespace heronvane::fleet

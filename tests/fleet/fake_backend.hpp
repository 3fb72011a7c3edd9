// An ApiBackend without processes, for tests of the API: a real Decider whose records succeed at once, unless
// storage_full is set.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "api.hpp"
#include "fleet_file.hpp"
#include "json.hpp"
#include "streams.hpp"

namespace heronvane::fleet::testing {

class FakeBackend : public ApiBackend {
 public:
  FakeBackend() : decider_(Restored{}, 1) { feed(event::TimerExpired{}); }

  const Decider& decider() const override { return decider_; }
  AgentView about() const override { return {"host", "0.0.0", 71, 5'000'000, {}}; }
  std::optional<StatusView> status(const std::string& name) const override {
    if (name != "n0") return {};
    return StatusView{R"({"name":"n0"})", "", 7'000};
  }
  std::string log_file(const std::string&) const override { return "/dev/null"; }
  FleetSpec read_fleet(const std::string& json) const override { return Fleet::read(json).spec(); }
  std::optional<FleetSpec> fleet_at(Generation generation) override {
    const auto it = fleets.find(generation);
    if (it == fleets.end()) return {};
    return it->second;
  }
  void command(event::Command c, std::function<void(Verdict)> done) override {
    c.request = ++last_;
    last_by = c.by;
    requests_[last_] = std::move(done);
    feed(std::move(c));
  }
  void cancel(OperationId operation, std::function<void(Verdict)> done) override {
    requests_[++last_] = std::move(done);
    feed(event::Cancel{last_, operation});
  }
  void take_over(const std::string& relay, std::function<void(TakeOverView)> done) override {
    done(relay == "n9" ? TakeOverView{"n1", {}} : TakeOverView{"", {{"n1", "holds no copy"}}});
  }
  void find_message(const std::string& id, std::function<void(MessageView)> done) override {
    done({{{"n0", R"({"id":")" + id + R"(","state":"held"})"}}, {"n1"}});
  }
  std::shared_ptr<ApiStream> follow_operation(OperationId operation) override {
    const auto s = std::make_shared<LineStream>();
    s->push(operation_json(*decider_.operation(operation)), false);
    followed = s;
    return s;
  }
  std::shared_ptr<ApiStream> read_log(const std::string&, std::size_t lines, bool) override {
    const auto s = std::make_shared<LineStream>();
    s->push("the last " + std::to_string(lines), true);
    return s;
  }

  bool storage_full = false;
  std::map<Generation, FleetSpec> fleets;
  std::string last_by;
  std::weak_ptr<LineStream> followed;

 private:
  void feed(Event first) {
    std::deque<Event> events{std::move(first)};
    while (!events.empty()) {
      std::vector<Action> actions;
      decider_.handle(now_ += 1'000, events.front(), actions);
      events.pop_front();
      for (const auto& a : actions) {
        if (const auto* r = std::get_if<action::Record>(&a)) {
          if (storage_full) {
            events.push_back(event::RecordFailed{r->record, "full"});
            continue;
          }
          if (r->fleet) fleets[r->generation] = *r->fleet;
          events.push_back(event::Recorded{r->record});
        } else if (const auto* t = std::get_if<action::Reply>(&a)) {
          const auto done = requests_[t->request];
          requests_.erase(t->request);
          done(t->verdict);
        }
      }
    }
  }
  Decider decider_;
  Microseconds now_ = 1'000'000;
  RequestId last_ = 0;
  std::map<RequestId, std::function<void(Verdict)>> requests_;
};

}  // namespace heronvane::fleet::testing

#include <heronvane/dispatch/dispatcher.hpp>

int main() {
  heronvane::dispatch::Settings settings;
  settings.classes.push_back({});
  settings.kinds.push_back({});
  settings.max_concurrent_calls = 4;
  settings.max_in_flight = 10;
  settings.max_attempts = 3;
  heronvane::dispatch::Dispatcher dispatcher(settings, 1);
  heronvane::dispatch::event::EndpointListSnapshot list;
  list.endpoints.push_back({.id = "a", .destination = 7});
  heronvane::dispatch::event::RequestArrived arrival;
  arrival.id = 1;
  arrival.destination = 7;
  arrival.time_left = 5'000'000;
  std::vector<heronvane::dispatch::Action> actions;
  dispatcher.handle(0, {list, arrival}, actions);
  for (const auto& action : actions)
    if (std::holds_alternative<heronvane::dispatch::action::Send>(action)) return 0;
  return 1;
}

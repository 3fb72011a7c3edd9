#include <cedarplank/dispatcher.hpp>

int main() {
  cedarplank::Settings settings;
  settings.classes.push_back({});
  settings.kinds.push_back({});
  settings.slots = 4;
  settings.open_max = 10;
  settings.attempts_max = 3;
  cedarplank::Dispatcher dispatcher(settings, 1);
  cedarplank::event::ListWhole list;
  list.endpoints.push_back({.id = "a", .destination = 7});
  cedarplank::event::Arrival arrival;
  arrival.id = 1;
  arrival.destination = 7;
  arrival.time_left = 5'000'000;
  std::vector<cedarplank::Action> actions;
  dispatcher.handle(0, {list, arrival}, actions);
  for (const auto& action : actions)
    if (std::holds_alternative<cedarplank::action::Send>(action)) return 0;
  return 1;
}

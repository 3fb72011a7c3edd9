#include "request_table.hpp"

namespace heronvane::dispatch {

Request& RequestTable::add(MessageId id) {
  const auto [position, is_new] = requests_.try_emplace(id);
  if (is_new) {
    position->second.id = id;
    uncompleted_++;
  }
  return position->second;
}

Request* RequestTable::find(MessageId id) {
  const auto position = requests_.find(id);
  return position == requests_.end() ? nullptr : &position->second;
}

const Request* RequestTable::find(MessageId id) const {
  const auto position = requests_.find(id);
  return position == requests_.end() ? nullptr : &position->second;
}

void RequestTable::complete(Request& request) {
  if (request.completed) return;
  request.completed = true;
  uncompleted_--;
}

}  // namespace heronvane::dispatch

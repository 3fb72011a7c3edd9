// The requests that this relay holds, by their ids.
//
// Owns them; each stays at its address until it is erased. Not synchronised, used on the dispatcher's thread
// only.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"

namespace heronvane::dispatch {

// All requests, by id.
class RequestTable {
 public:
  // The request with this id, which is made where there is none.
  Request& add(MessageId id);

  // Null where the id is unknown. An erased request's address must not be used any more.
  Request* find(MessageId id);
  const Request* find(MessageId id) const;

  // Marks it as completed: it is kept while attempts of it are in flight, but not counted.
  void complete(Request& request);

  void erase(MessageId id) { requests_.erase(id); }

  // How many are not completed.
  std::size_t uncompleted() const { return uncompleted_; }
  // How many are kept, completed or not.
  std::size_t size() const { return requests_.size(); }

  // In no particular order.
  const std::unordered_map<MessageId, Request>& all() const { return requests_; }

 private:
  std::unordered_map<MessageId, Request> requests_;
  std::size_t uncompleted_ = 0;
};

}  // namespace heronvane::dispatch

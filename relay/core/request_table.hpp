// The requests that clients wait for and those in flight: ids by client id, duplicates, replies.
//
// A request moves from queued (received, not yet seen by a decision cycle) to in flight (it has a MessageId
// and a record); the first duplicate of a queued request is answered together with it, and one that is in
// flight or completed lately is known, and not taken on again. No clock, no input or output.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/completed_request_cache.hpp"
#include "core/message.hpp"
#include "core/outbox.hpp"

namespace heronvane {

// Owned by the relay; called on the event loop's thread only. Reply callbacks that it made refer to it: it
// outlives them. It holds no request's record: that is the store's.
class RequestTable {
 public:
  struct Queued {
    Message message;
    ReplyCallback reply;
  };

  // A completed request's client id is cached for `completed_lifetime`.
  explicit RequestTable(Microseconds completed_lifetime) : completed_(completed_lifetime) {}
  ~RequestTable() = default;
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  // Where a request of that client id waits for its reply: keeps `reply`, which gets the same one, and
  // returns true. Else `reply` is untouched.
  bool coalesce(const std::string& client_id, ReplyCallback& reply);
  // A reply that answers `reply` and all that were coalesced with it meanwhile. To be called once.
  ReplyCallback shared(const std::string& client_id, ReplyCallback reply);

  // Requests that wait for the next decision cycle, in the order of their arrival.
  void enqueue(Message message, ReplyCallback reply);
  std::size_t queued() const { return queued_.size(); }
  std::vector<Queued> take_queued();

  // In flight from here on, until completed().
  void add(MessageId id, const std::string& client_id) { ids_[client_id] = id; }
  std::optional<MessageId> find(const std::string& client_id) const;
  bool is_in_flight(const std::string& client_id) const { return ids_.contains(client_id); }
  void remove(const std::string& client_id) { ids_.erase(client_id); }

  // Completed requests whose duplicates need no protection by a record, for a while.
  void cache_completed(const std::string& client_id, Microseconds now) { completed_.add(client_id, now); }
  bool recently_completed(const std::string& client_id) const { return completed_.has(client_id); }

  // Requests of this decision cycle whose clients have had no reply.
  void await_reply(MessageId id, ReplyCallback reply) { unanswered_[id] = std::move(reply); }
  // The reply of one of them, which is not awaited any more; empty: it is none.
  std::optional<ReplyCallback> take_reply(MessageId id);
  std::map<MessageId, ReplyCallback> take_replies();

 private:
  std::vector<Queued> queued_;
  std::unordered_map<std::string, MessageId> ids_;  // of requests in flight, by client id
  std::map<MessageId, ReplyCallback> unanswered_;
  // By the client id of a request that waits for its reply: the duplicates that get the same one.
  std::unordered_map<std::string, std::vector<ReplyCallback>> duplicates_;
  CompletedRequestCache completed_;
};

}  // namespace heronvane

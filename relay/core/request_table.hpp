// The queued requests and those in flight: their ids by client id, their duplicates and replies.
//
// A request is queued (received, not yet seen by a decision cycle), then in flight (it has a MessageId and a
// record). A duplicate of a queued request gets the same reply; a duplicate of one that is in flight or
// recently completed is recognized, and not accepted again. Reads no clock, does no input or output.
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

// Owned by the relay; called on the event loop's thread only. Must outlive the reply callbacks that it makes,
// which refer to it. The records of requests are in the store, not here.
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

  // If a request with this client id waits for its reply, stores `reply`, to be called with the same one, and
  // returns true. Else leaves `reply` untouched.
  bool coalesce(const std::string& client_id, ReplyCallback& reply);
  // Returns a callback that calls `reply` and all callbacks that were coalesced with it meanwhile. Call it
  // once.
  ReplyCallback shared(const std::string& client_id, ReplyCallback reply);

  // Requests that wait for the next decision cycle, in the order of their arrival.
  void enqueue(Message message, ReplyCallback reply);
  std::size_t queued() const { return queued_.size(); }
  std::vector<Queued> take_queued();

  // Registers a request as in flight, until remove().
  void add(MessageId id, const std::string& client_id) { ids_[client_id] = id; }
  std::optional<MessageId> find(const std::string& client_id) const;
  bool is_in_flight(const std::string& client_id) const { return ids_.contains(client_id); }
  void remove(const std::string& client_id) { ids_.erase(client_id); }

  // Remembers a completed request for the lifetime of the cache, without a record: its duplicates are
  // recognized until then, or until a restart.
  void cache_completed(const std::string& client_id, Microseconds now) { completed_.add(client_id, now); }
  bool recently_completed(const std::string& client_id) const { return completed_.has(client_id); }

  // Stores the reply of a request of this decision cycle until it is taken.
  void await_reply(MessageId id, ReplyCallback reply) { unanswered_[id] = std::move(reply); }
  // Removes and returns the reply of a request; empty: none is stored.
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

// The plans of decision cycles that wait until their records are durable. Does no input or output.
//
// Calls of waiting plans can be withdrawn: if an endpoint drains or asks to wait, or the deadline of a
// request passes. A withdrawn call was provably not executed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "calls.hpp"
#include "core/message.hpp"

namespace heronvane {

// The relay's reply to a client's request.
struct ClientReply {
  unsigned status = 202;
  Microseconds retry_after = 0;       // 0: none
  std::string_view turned_down = {};  // why the request is invalid; empty: it is valid; a string literal
};
// Called once, on the event loop's thread.
using ReplyCallback = std::function<void(const ClientReply&)>;

// Attempts that are sent to an endpoint as one call.
struct PlannedCall {
  EndpointId endpoint;
  std::vector<Outgoing> messages;
};

// The replies, calls and notifications that one decision cycle decided on.
struct WriteAheadPlan {
  struct PendingReply {
    MessageId id = 0;  // 0: the reply belongs to no held request
    ReplyCallback callback;
    ClientReply reply;
  };
  std::vector<PendingReply> replies;
  std::vector<PlannedCall> calls;
  std::vector<MessageId> notifications;  // messages whose outcome notifications are due
  bool empty() const { return replies.empty() && calls.empty() && notifications.empty(); }
};

// Owned by the Committer; called on the event loop's thread only.
class Outbox {
 public:
  // Called for each message of a withdrawn call.
  using Withdrawn = std::function<void(const EndpointId&, const Outgoing&)>;

  // Adds a plan whose records are not written yet.
  void put(WriteAheadPlan plan) {
    if (!plan.empty()) waiting_.push_back({kNotWritten, std::move(plan)});
  }
  // The records of all plans so far are written; `ticket` is the number of the last one. Numbers ascend.
  void written(std::uint64_t ticket);
  // Removes and returns the next plan whose records are durable, given that all up to `durable` are; empty if
  // there is none.
  std::optional<WriteAheadPlan> next(std::uint64_t durable);
  bool empty() const { return waiting_.empty(); }

  // Withdraw waiting calls: all to an endpoint, all, or one attempt of a message.
  void withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn);
  void withdraw_all(const Withdrawn& withdrawn);
  void withdraw(MessageId id, int attempt, const Withdrawn& withdrawn);
  // Remove and return waiting replies, which the caller replaces by others: all, or those whose records are
  // not written.
  std::vector<WriteAheadPlan::PendingReply> take_replies() { return take_replies(true); }
  std::vector<WriteAheadPlan::PendingReply> take_unwritten_replies() { return take_replies(false); }

 private:
  static constexpr std::uint64_t kNotWritten = std::numeric_limits<std::uint64_t>::max();
  struct Waiting {
    std::uint64_t ticket = kNotWritten;
    WriteAheadPlan plan;
  };

  std::vector<WriteAheadPlan::PendingReply> take_replies(bool written);
  template <class Pick>
  void withdraw_if(Pick pick, const Withdrawn& withdrawn);

  std::deque<Waiting> waiting_;  // in the order of their records
};

}  // namespace heronvane

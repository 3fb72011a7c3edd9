// What a decision cycle decided and must not do yet: its records are to be durable first. No input or output
// here.
//
// A plan that waits is looked at anew before it is executed: a call to an endpoint that drains meanwhile, or
// that asked to wait, or whose request's time is up, is withdrawn, and has provably not run.
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

// What a client is told of its request.
struct ClientReply {
  unsigned status = 202;
  Microseconds retry_after = 0;       // 0: none
  std::string_view turned_down = {};  // why the message makes no sense, where it makes none; a literal
};
// Called once, on the event loop's thread.
using ReplyCallback = std::function<void(const ClientReply&)>;

// Attempts that travel to an endpoint as one call.
struct PlannedCall {
  EndpointId endpoint;
  std::vector<Outgoing> messages;
};

// What one decision cycle decided.
struct WriteAheadPlan {
  struct PendingReply {
    MessageId id = 0;  // 0: of none that is held
    ReplyCallback callback;
    ClientReply reply;
  };
  std::vector<PendingReply> replies;
  std::vector<PlannedCall> calls;
  std::vector<MessageId> notifications;  // whose outcome notifications are owed from now on
  bool empty() const { return replies.empty() && calls.empty() && notifications.empty(); }
};

// Owned by the Committer; called on the event loop's thread only.
class Outbox {
 public:
  // Hears of each message in a call that is withdrawn.
  using Withdrawn = std::function<void(const EndpointId&, const Outgoing&)>;

  // Takes a plan whose records are not written yet.
  void put(WriteAheadPlan plan) {
    if (!plan.empty()) waiting_.push_back({kNotWritten, std::move(plan)});
  }
  // The records of all plans so far are written, the last of them under this number. Numbers ascend.
  void written(std::uint64_t ticket);
  // The next plan whose records are durable when those up to `durable` are; nothing while there is none.
  std::optional<WriteAheadPlan> next(std::uint64_t durable);
  bool empty() const { return waiting_.empty(); }

  // Takes back calls that wait: all to an endpoint, all, or one attempt of a message.
  void withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn);
  void withdraw_all(const Withdrawn& withdrawn);
  void withdraw(MessageId id, int attempt, const Withdrawn& withdrawn);
  // Replies that wait, to be given otherwise: all, or those whose records are not written.
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

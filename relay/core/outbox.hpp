// What a round decided and must not do yet: its records are to stand first. No input or output here.
//
// A plan that waits is looked at anew before it goes: a call to an endpoint that drains meanwhile, or that
// told a wait, or whose message's time is up, is withdrawn, and has provably not run.
#pragma once

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

struct ClientReply {
  unsigned status = 202;
  Microseconds retry_after = 0;       // 0: none
  std::string_view turned_down = {};  // why the message makes no sense, where it makes none; a literal
};
using ReplyCallback = std::function<void(const ClientReply&)>;

struct WriteAheadPlan {
  struct PendingReply {
    MessageId id = 0;  // 0: of none that is held
    ReplyCallback callback;
    ClientReply reply;
  };
  std::vector<PendingReply> replies;
  std::vector<std::pair<EndpointId, std::vector<Outgoing>>> calls;
  std::vector<MessageId> notifications;  // whose notices are owed from now on
  bool empty() const { return replies.empty() && calls.empty() && notifications.empty(); }
};

class Outbox {
 public:
  // A call that is withdrawn, for each message in it.
  using Withdrawn = std::function<void(const EndpointId&, const Outgoing&)>;

  // A plan whose records are not written yet; once they are, `ticket` tells the last one that must stand.
  // Tickets ascend.
  void put(WriteAheadPlan plan) {
    if (!plan.empty()) waiting_.emplace_back(kNotWritten, std::move(plan));
  }
  void written(std::uint64_t ticket);
  // The next plan whose records stand when those up to `durable` do; nothing while there is none.
  std::optional<WriteAheadPlan> next(std::uint64_t durable);
  bool empty() const { return waiting_.empty(); }

  // Takes back calls that wait: all to an endpoint, all, or one attempt of a message.
  void withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn);
  void withdraw_all(const Withdrawn& withdrawn);
  void withdraw(MessageId id, int attempt, const Withdrawn& withdrawn);
  // Answers that wait, to be given otherwise: all, or those whose records are not written.
  std::vector<WriteAheadPlan::PendingReply> take_replies() { return take_replies(true); }
  std::vector<WriteAheadPlan::PendingReply> take_unwritten_replies() { return take_replies(false); }

 private:
  static constexpr std::uint64_t kNotWritten = std::numeric_limits<std::uint64_t>::max();
  std::vector<WriteAheadPlan::PendingReply> take_replies(bool written);
  template <class Pick>
  void withdraw_if(Pick pick, const Withdrawn& withdrawn);
  std::deque<std::pair<std::uint64_t, WriteAheadPlan>> waiting_;
};

}  // namespace heronvane

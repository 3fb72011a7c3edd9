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

struct Answer {
  unsigned status = 202;
  Microseconds retry_after = 0;       // 0: none
  std::string_view turned_down = {};  // why the message makes no sense, where it makes none; a literal
};
using Reply = std::function<void(const Answer&)>;

struct Plan {
  struct Answered {
    MessageId id = 0;  // 0: of none that is held
    Reply reply;
    Answer answer;
  };
  std::vector<Answered> answers;
  std::vector<std::pair<EndpointId, std::vector<Outgoing>>> calls;
  std::vector<MessageId> endings;  // whose notices are owed from now on
  bool empty() const { return answers.empty() && calls.empty() && endings.empty(); }
};

class Outbox {
 public:
  // A call that is withdrawn, for each message in it.
  using Withdrawn = std::function<void(const EndpointId&, const Outgoing&)>;

  // A plan whose records are not written yet; once they are, `ticket` tells the last one that must stand.
  // Tickets ascend.
  void put(Plan plan) {
    if (!plan.empty()) waiting_.emplace_back(kNotWritten, std::move(plan));
  }
  void written(std::uint64_t ticket);
  // The next plan whose records stand when those up to `durable` do; nothing while there is none.
  std::optional<Plan> next(std::uint64_t durable);
  bool empty() const { return waiting_.empty(); }

  // Takes back calls that wait: all to an endpoint, all, or one attempt of a message.
  void withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn);
  void withdraw_all(const Withdrawn& withdrawn);
  void withdraw(MessageId id, int attempt, const Withdrawn& withdrawn);
  // Answers that wait, to be given otherwise: all, or those whose records are not written.
  std::vector<Plan::Answered> take_answers() { return take_answers(true); }
  std::vector<Plan::Answered> take_unwritten_answers() { return take_answers(false); }

 private:
  static constexpr std::uint64_t kNotWritten = std::numeric_limits<std::uint64_t>::max();
  std::vector<Plan::Answered> take_answers(bool written);
  template <class Pick>
  void withdraw_if(Pick pick, const Withdrawn& withdrawn);
  std::deque<std::pair<std::uint64_t, Plan>> waiting_;
};

}  // namespace heronvane

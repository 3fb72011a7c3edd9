// What the copies of the relay's log (relay/copies) ask of the relay: to wait, to give up what went to
// another one, to go on with what another one left.
#include "copies/copies.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace heronvane {

std::unique_ptr<LogCopies> Relay::open_copies() {
  if (!config_.own.copies.on) return nullptr;
  copies::Options o;
  o.settings = config_.own.copies;
  o.name = config_.name;
  o.folder = config_.state_folder + "/copies";
  o.disk_bytes = config_.disk_bytes;
  o.memory_bytes = config_.memory_bytes;
  o.force_own = start_.force_own;
  o.durability = config_.own.store.durability;
  o.log = log;
  copies::Copies::Hooks h;
  h.settle = [this] { committer_.commit(); };
  h.stands = [this] { committer_.durable_moved_on(); };
  h.ready = [this] { recover(); };
  h.disown = [this] { disown(); };
  h.taken_over = [this](MessageId from, MessageId to) { taken_over(from, to); };
  // Their records may stand after all, so nothing is promised.
  h.wait_is_over = [this] { committer_.reject_waiting_replies(); };
  return std::make_unique<copies::Copies>(io_, store_, std::move(o), std::move(h));
}

// All that is held is another relay's: it is ended there. Calls that are out may still be answered, and
// nobody asks.
void Relay::disown() {
  committer_.reject_waiting_replies();
  committer_.withdraw_all();
  std::vector<MessageId> all;
  for (const auto& [id, held] : store_.held()) all.push_back(id);
  for (const MessageId id : all) {
    const Held* const held = store_.find(id);
    if (held == nullptr) continue;
    for (std::size_t i = 0; i < held->attempts.size(); i++)
      if (!held->attempts[i].outcome) executor_.cancel(id, static_cast<int>(i));
    if (!held->ending) cycle_.notify(heronvane::dispatch::event::RequestWithdrawn{id});
    completed(id, false);
  }
}

// What another relay had taken on, and is gone: from here on it is as if it had been taken on here.
void Relay::taken_over(MessageId from, MessageId to) {
  std::vector<MessageId> drop, unknown, in_doubt;
  std::size_t count = 0;
  for (auto it = store_.held().lower_bound(from); it != store_.held().end() && it->first < to; ++it) {
    const auto& [id, held] = *it;
    const std::string& name = held.message.id;
    const auto known = requests_.find(name);
    // The client handed it in here, too: one message, of which one end is owed.
    if (is_known(name)) {
      drop.push_back(id);
      const Held* const own = known ? store_.find(*known) : nullptr;
      const auto cls = config_.names.classes.find(held.message.message_class);
      const bool unsafe = cls == config_.names.classes.end() ||
                          config_.settings.classes[static_cast<std::size_t>(cls->second)].idempotency !=
                              heronvane::dispatch::Idempotency::idempotent;
      if (own != nullptr && unsafe && held.may_have_run() && !own->ending) in_doubt.push_back(*known);
      continue;
    }
    count++;
    if (!adopt(id, held)) unknown.push_back(id);
  }
  WriteAheadPlan plan;
  for (const MessageId id : unknown) finish(plan, id, {});
  // It may have run over there: it must not run here.
  for (const MessageId id : in_doubt) {
    cycle_.notify(heronvane::dispatch::event::RequestWithdrawn{id});
    finish(plan, id, {});
  }
  for (const MessageId id : drop) store_.over(id, false);
  log("copies: " + std::to_string(count) + " messages taken over, " + std::to_string(drop.size()) +
      " of them known here");
  committer_.commit(std::move(plan));
  cycle_.schedule(DecisionCycle::Urgency::urgent);
}

}  // namespace heronvane

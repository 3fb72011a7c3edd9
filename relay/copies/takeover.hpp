// Taking over logs that this relay holds: when an owner counts as gone, one claim at a time, what it brings
// into the relay's own log, and when that may be acted on. The claim itself is claim.hpp's.
//
// One thread. Time is the caller's.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "claim.hpp"
#include "packet.hpp"
#include "shelf.hpp"
#include "store/store.hpp"

namespace heronvane::copies {

class Takeover {
 public:
  struct Host {
    store::Store& store;
    Shelves& shelves;
    std::function<Member()> self;
    std::function<LogId()> own_log;
    std::function<Acks()> acks;
    std::function<Microseconds()> steady;
    std::function<std::uint64_t(std::uint64_t above)> next_epoch;  // kept before it is used
    // To a member, this relay's own shelves among them. False: not now.
    std::function<bool(const Member& to, const Packet& packet)> say;
    std::function<void()> settle;
    std::function<void(MessageId from, MessageId to)> taken_over;
    std::function<void(const std::string&)> log;
    Microseconds after = 0;  // an owner not heard for so long is gone; 0: only by hand
  };
  explicit Takeover(Host host) : host_(std::move(host)) {}

  // What an earlier life had begun to take over: parked from here on.
  void load();
  bool parked(MessageId number) const;
  std::string begin_by_hand(const std::string& name);
  void tick();  // some times a second, once the relay's own log stands
  // An answer about a log that is not this relay's own.
  void hear(const Member& from, const Packet& packet);
  // What had been begun is given up: its log is taken over anew later. The own log is gone.
  void forget();

  // Members that it wants to speak to.
  std::vector<Member> wanted() const;
  std::size_t done() const { return done_; }  // since the start
  std::string doing() const;                  // for people; empty: nothing

 private:
  struct Doubt {  // an owner not heard: what other holders say
    std::map<Member, Microseconds> ago;
    Microseconds asked_at = -1;
  };
  struct Chained {
    Import import;  // numbers as that log had them, then as they are here
    MessageId first = 0, end = 0;
  };
  void begin(const LogId& log, const Config& config, std::uint64_t above);
  void look_for_gone();
  void say_words();
  void moved_on();
  void take_part(const Packet& packet);
  void take(store::Record&& record);
  void won();
  void drop_parked(const std::string& why);
  void end();
  void keep_import(const LogId& log);
  void drop_import(const LogId& log);
  const Import* import_of(const LogId& log) const;

  Host host_;
  std::vector<Import> imports_;  // parked, those of `claim_` among them
  std::map<LogId, Doubt> doubts_;
  std::optional<Claim> claim_;
  LogId log_;  // that is claimed
  bool by_hand_ = false;
  Microseconds said_at_ = 0, read_at_ = 0, again_at_ = 0, began_at_ = 0;
  std::uint64_t part_ = 0;
  MessageId next_ = 0;           // number of the next message that is read
  Microseconds shift_ = 0;       // of its times
  bool whole_ = false;           // all parts are here
  store::Sequence written_ = 0;  // with them
  std::vector<Chained> chained_;
  std::size_t done_ = 0;
};

}  // namespace heronvane::copies

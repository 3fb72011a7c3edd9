// A relay's own log among its holders, and the logs that it holds for others: the decisions (owner.hpp,
// claim.hpp, holder.hpp) carried out over connections, the relay's store and the shelves.
//
// One thread: all calls from the one that runs `io`. docs/design/copies.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "claim.hpp"
#include "core/log_replication.hpp"
#include "group.hpp"
#include "owner.hpp"
#include "rows.hpp"
#include "settings.hpp"
#include "shelf.hpp"
#include "store/store.hpp"
#include "streams.hpp"
#include "takeover.hpp"

namespace heronvane::copies {

struct Options {
  Settings settings;
  std::string name;                // this relay's
  std::string folder;              // for the logs of others
  std::uint64_t disk_bytes = 0;    // of the relay's own folder
  std::uint64_t memory_bytes = 0;  // that the process may take
  bool force_own = false;          // what the folder holds is this relay's: its holders are not asked
  store::Durability durability = store::Durability::process;
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class Copies : public LogReplication, public store::LogSink {
 public:
  struct Hooks {
    // What was added to the store is to be written, and what waited for its records done.
    std::function<void()> settle;
    std::function<void()> stands;  // store.durable() has moved on
    // The log is this relay's, and stands: what it holds may be acted on. Once after a start, and once more
    // after each disown().
    std::function<void()> ready;
    // The log went to another relay: nothing that is held is this one's any more.
    std::function<void()> disown;
    // The messages of these numbers are this relay's now.
    std::function<void(MessageId from, MessageId to)> taken_over;
    // What waits for copies has waited too long: whoever waits is told.
    std::function<void()> wait_is_over;
  };

  // Listens at once; speaks to nobody before start(). `store` must outlive it. Throws std::exception where
  // the address, the folder or the settings can't be used.
  Copies(boost::asio::io_context& io, store::Store& store, Options options, Hooks hooks);
  ~Copies() override;

  void start() override;
  bool ready() const override { return ready_; }
  bool is_short() const override { return short_; }
  void hurry() override { pump(); }
  bool parked(MessageId number) const override { return takeover_.parked(number); }
  std::string take_over(const std::string& name) override { return takeover_.begin_by_hand(name); }
  std::string status_json() const override;
  void members(std::vector<Settings::Member> members) override;

  // store::LogSink
  void closing() override;
  void written(store::Sequence last, std::string_view frames) override;

 private:
  enum class Phase {
    choosing,  // holders of a log that begins
    claiming,  // the log that an earlier life, or this one until it was fenced, wrote
    owning
  };
  struct Transfer {  // of a snapshot to one holder
    std::unique_ptr<RowWriter> rows;
    std::uint64_t part = 0;
    std::string since;  // frames written since the last part
    bool out = false;
  };
  struct HolderView {
    Microseconds away_since = 0;  // 0: connected
    std::string trouble;          // why it takes nothing; empty: it does
    Microseconds troubled_since = 0;
    Microseconds retry_at = 0;  // after it was full
  };
  Microseconds steady() const;
  void tick();
  void adopt_facts();
  void connect();
  void choose();
  void begin_log(std::vector<Member> holders);
  void claim(std::uint64_t above);
  void say_claim();
  void claim_moved_on();
  void read_part(const Packet& packet);
  void own();
  void lost_log();
  void listen();
  void met(const Hello& hello);
  void told_mark(const Member& m, store::Sequence mark);
  void disk_went_back();
  void pump();
  void pump(const Member& holder);
  void send_part(const Member& holder);
  void look();  // after the owner heard something, or wrote
  void look_short();
  void say_who_is_awaited();
  void replace_lost();
  Packet packet(Saying saying) const;
  void answered(const Member& from, Packet packet);
  void asked(const Member& from, Packet packet, Streams::Reply reply);
  void went_up(const Member& peer);
  void went_down(const std::string& name);
  std::uint64_t next_epoch(std::uint64_t above);
  void put(const std::string& key, const std::string& value) { store_.put(store::record::Fact{key, value}); }
  std::vector<Place> places() const;
  const Settings::Member* member(const std::string& name) const;
  Acks acks() const { return options_.settings.all ? Acks::all : Acks::majority; }
  bool connected(const Member& m) const;

  boost::asio::io_context& io_;
  store::Store& store_;
  Options options_;
  const Hooks hooks_;
  Place own_place_;
  Member self_;
  LogId log_;
  Shelves shelves_;
  std::unique_ptr<Streams> streams_;
  Takeover takeover_;
  boost::asio::steady_timer timer_, lazy_;
  bool lazy_due_ = false;
  Microseconds connect_at_ = 0, awaited_at_ = 0;

  Phase phase_ = Phase::choosing;
  Microseconds phase_since_ = 0;
  std::uint64_t used_epoch_ = 0;
  store::Sequence told_ = 0;  // how far it said that it is; at first, how far an earlier life got
  bool went_back_ = false;
  Config config_;      // as it is kept
  Position last_ = 0;  // of the log on this disk,
  Epoch last_epoch_;   // of the entry there
  std::optional<Owner> owner_;
  Position start_ = 0;  // where the owner's epoch began
  std::optional<Claim> claim_;
  Microseconds said_at_ = 0, claim_again_at_ = 0;
  std::uint64_t read_part_ = 0;
  Microseconds read_at_ = 0;
  std::set<MessageId> read_;  // numbers in the state that is read
  bool early_lost_ = false;
  std::string early_;  // frames written while there is no owner
  struct Waiting {
    Position position;
    store::Sequence last;
    Microseconds since;
  };
  std::deque<Waiting> waiting_;  // entries that do not stand yet
  std::map<Member, Transfer> transfers_;
  std::map<std::string, std::pair<std::uint64_t, store::Sequence>>
      marks_;  // told by others: incarnation, how far
  std::map<std::string, HolderView> views_;
  bool ready_ = false, short_ = false, started_ = false, settling_ = false;
  std::uint64_t shorts_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted
};

}  // namespace heronvane::copies

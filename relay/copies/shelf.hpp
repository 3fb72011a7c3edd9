// The logs that this relay holds for others: each a folder of its own with a store in it, whose records are
// the owner's, with what was promised beside them in the same batch. Read anew at the start; a copy that is
// whole takes the place of an earlier one at once.
//
// Called from one thread. Files under `folder` alone are touched, NAME.NUMBER.COUNT for a log.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "holder.hpp"
#include "packet.hpp"
#include "rows.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"
#include "store/sync_thread.hpp"

namespace heronvane::copies {

struct ShelfOptions {
  std::string folder;             // made where it is missing
  std::uint64_t limit_bytes = 0;  // of all logs together, by what their owners may fill
  store::Durability durability = store::Durability::process;
  std::function<Microseconds()> now;     // this relay's lasting time
  std::function<Microseconds()> steady;  // that a step of no clock moves, from any zero
  store::SyncThread::Post post;          // Durability::machine only
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class Shelves {
 public:
  using Reply = std::function<void(Packet)>;

  // Throws std::exception where the folder can't be had.
  explicit Shelves(ShelfOptions options);
  ~Shelves();

  // Something of it can't be read any more: what was promised may be forgotten. All of it is gone then, and
  // this relay must come back as another member.
  bool forgot() const { return forgot_; }

  // A word, a part, a release: answered exactly once (a release never), when what it says stands on the disk.
  void hear(const Packet& packet, Reply reply);
  // Others hold that log in this one's place: what it says goes, what was promised stays.
  void empty(const LogId& log);
  // All of it goes, with what was promised: this relay is another member from now on.
  void forget_all();
  // The owner of that log was heard just now.
  void heard(const LogId& log);
  // Bounded work that is left over: compaction. True: there is more.
  bool tidy();

  struct View {
    LogId log;
    HolderState state;
    Microseconds heard = 0;  // steady time
    std::size_t messages = 0;
    std::uint64_t bytes = 0;
    std::string trouble;
  };
  std::vector<View> all() const;
  std::optional<View> find(const LogId& log) const;

 private:
  struct Copy {  // one folder
    std::string path;
    std::unique_ptr<store::Disk> disk;
    std::unique_ptr<store::SyncThread> sync;
    std::unique_ptr<store::Store> store;
    ~Copy();
  };
  struct Shelf {
    LogId log;
    std::uint64_t count = 0;  // of its folders, ever
    std::unique_ptr<Copy> copy, staging;
    std::uint64_t next_part = 0;
    bool left = false;  // others hold that log: only promises are here
    Holder holder;
    Microseconds heard = 0, ahead = 0;
    std::uint64_t disk = 0;
    std::unique_ptr<RowWriter> reader;
    std::uint64_t reader_part = 0;
    std::deque<std::pair<store::Sequence, std::function<void()>>> waiting;
  };
  void load();
  std::unique_ptr<Copy> open(Shelf& shelf, const std::string& path);
  std::unique_ptr<Copy> fresh(Shelf& shelf);
  void remove(std::unique_ptr<Copy> copy);
  Shelf* shelf_for(const Packet& packet, std::string& why_not);
  void word(Shelf& shelf, const Packet& packet, const Reply& reply);
  void part(Shelf& shelf, const Packet& packet, const Reply& reply);
  void read(Shelf& shelf, const Packet& packet, const Reply& reply);
  void release(Shelf& shelf, const Packet& packet);
  void put_alone(Shelf& shelf, const HolderState& state);
  bool keep_state(Shelf& shelf, Copy& copy, const HolderState& state);
  void swap_in(Shelf& shelf);
  void when_durable(Shelf& shelf, std::function<void()> then);
  void flush(Shelf& shelf);
  View view(const Shelf& shelf) const;

  ShelfOptions options_;
  std::map<LogId, std::unique_ptr<Shelf>> shelves_;
  bool forgot_ = false;
};

}  // namespace heronvane::copies

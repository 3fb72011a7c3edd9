// One log among its members, with every step that members, network and disks can take: for the checker, which
// takes them in every order, and for random walks. What may be acted on is checked at each step.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "copies/claim.hpp"
#include "copies/holder.hpp"
#include "copies/owner.hpp"

namespace heronvane::copies::test {

struct Bounds {
  std::size_t replicas = 2, spares = 1;  // spares may take the place of holders
  Acks acks = Acks::majority;
  std::size_t entries = 2;        // that the owner writes, beside one for each epoch that it wins
  std::size_t max_in_flight = 3;  // letters at a time
  std::uint64_t epochs = 3;       // the highest number of an epoch
  int crashes = 2, disk_losses = 1, changes = 1, duplicates = 1;
  int take_overs = 2;  // claims by holders that begin
  int trims = 1;       // of what the owner keeps of its log
};

// Defects of whoever uses the decisions; those of the decisions themselves stand in their sources.
struct HostDefects {
  bool answers_before_writing = false;  // a crash takes back what a holder answered last
  bool forgets_promises = false;        // over a restart
  bool comes_back_as_the_same = false;  // a holder whose disk was lost, under its old name
  bool forgets_import = false;          // the move is said before what was read stands
};

struct Transmission {
  Member from, to;
  ProtocolMessage message;
  std::vector<Entry> state;  // that travels beside it: all entries that made it
};

class Model {
 public:
  Model(const Bounds& bounds, const HostDefects& defects);

  // All steps that can be taken now. A step is taken on a copy.
  using Step = std::function<void(Model&)>;
  std::vector<std::pair<std::string, Step>> steps() const;

  const std::string& violation() const { return violation_; }  // empty: nothing is
  std::string describe() const;
  std::uint64_t fingerprint() const;

  // No more faults: letters arrive, and the owner, or a holder, brings its claim to its end. False: it came
  // to none.
  bool converges();

 private:
  struct Node {
    Member self;
    bool is_owner = false;
    bool disk_lost = false;  // its disk, and with it all of its part in the log
    // On its disk.
    std::vector<Entry> disk;  // of the owner
    ReplicaState replica, before;
    std::vector<Entry> replica_entries,
        replica_entries_before;  // the holder's state, as the entries that made it
    bool holds_log = false;      // of a holder
    std::vector<Entry>
        imported_entries;  // into its own log, by a claim that was about to move the other one there
    std::uint64_t highest_used_epoch = 0;  // the highest number of an epoch that it claimed
    // Gone with the process.
    std::optional<Leader> leader;
    std::optional<Claim> claim;
    std::vector<Entry> read;  // by the claim
  };
  struct Winner {
    Member by;
    std::vector<Entry> entries;
  };
  Node* find(const Member& m);
  void deliver(const Transmission& wire);
  void enqueue(const Member& from, const Envelope& envelope);
  void claim(Node& node, Claim::Purpose purpose, std::uint64_t above);
  void check_progress(Node& node);  // at what it may act on now
  void send(Node& node, const Member& replica);
  void write(Node& node, const std::string& bytes);
  void crash(Node& node);
  void lose_disk(Node& node);
  bool has_room() const { return network_.size() < bounds_.max_in_flight; }

  Bounds bounds_;
  HostDefects defects_;
  std::vector<Node> nodes_;  // the owner first
  std::vector<Transmission> network_;
  std::vector<Entry> acted_on_;  // what the owner acted on, in order
  std::vector<Winner> winners_;
  std::size_t written_count_ = 0;
  std::string violation_;
};

}  // namespace heronvane::copies::test

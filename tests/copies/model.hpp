// Model of one replicated log with every step that its members, the network and the disks can take. Used by
// an exhaustive search over the orders of steps and by random walks. Every step checks the entries that a
// leader or a takeover may apply.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "copies/claim.hpp"
#include "copies/leader.hpp"
#include "copies/replica.hpp"

namespace heronvane::copies::test {

struct Bounds {
  std::size_t replicas = 2, spares = 1;  // spares can replace replicas
  Acks acks = Acks::majority;
  std::size_t entries = 2;        // written by the leader, besides one for each epoch that it wins
  std::size_t max_in_flight = 3;  // transmissions on the network at a time
  std::uint64_t epochs = 3;       // highest epoch number
  int crashes = 2, disk_losses = 1, changes = 1, duplicates = 1;
  int takeovers = 2;  // claims that replicas may begin
  int trims = 1;      // times that the leader may trim its log in memory
};

// Defects of the code that uses the decisions. Defects of the decisions are injected in their own sources.
struct HostDefects {
  bool answers_before_writing = false;       // a crash undoes the change that a replica last acknowledged
  bool loses_promises = false;               // in a restart
  bool keeps_identity_without_disk = false;  // a replica that lost its disk keeps its incarnation
  bool skips_import = false;                 // the move is sent before the imported entries are durable
};

struct Transmission {
  Member from, to;
  ProtocolMessage message;
  std::vector<Entry> state;  // sent with the message: all entries that the state consists of
};

class Model {
 public:
  Model(const Bounds& bounds, const HostDefects& defects);

  // All steps that are possible now. The caller applies a step to a copy of the model.
  using Step = std::function<void(Model&)>;
  std::vector<std::pair<std::string, Step>> steps() const;

  const std::string& violation() const { return violation_; }  // empty: no violation
  std::string describe() const;
  std::uint64_t fingerprint() const;

  // Runs without further faults until the leader has committed all entries, or a claim of the leader or of a
  // replica has ended. False: that did not happen within the round limit.
  bool converges();

 private:
  struct Node {
    Member self;
    bool leads_log_at_start = false;
    bool disk_lost = false;  // it lost its disk and takes no further part in the log
    // On disk.
    std::vector<Entry> disk;  // the leader's entries
    ReplicaState replica, before;
    std::vector<Entry> replica_entries,
        replica_entries_before;  // the replica's state as the entries that it consists of
    bool holds_log = false;      // of a replica
    std::vector<Entry>
        imported_entries;  // imported into its own log by a takeover that has not moved the other log yet
    std::uint64_t highest_used_epoch = 0;  // highest epoch number that it claimed
    // In memory; lost in a crash.
    std::optional<Leader> leader;
    std::optional<Claim> claim;
    std::vector<Entry> entries_read;  // entries that the claim has read
  };
  struct Winner {
    Member by;
    std::vector<Entry> entries;
  };
  Node* find(const Member& member);
  void deliver(const Transmission& transmission);
  void enqueue(const Member& from, const Envelope& envelope);
  void begin_claim(Node& node, Claim::Purpose purpose, std::uint64_t above);
  void check_progress(Node& node);  // checks the entries that the node may apply now
  void send(Node& node, const Member& replica);
  void write(Node& node, const std::string& bytes);
  void crash(Node& node);
  void lose_disk(Node& node);
  bool has_room() const { return network_.size() < bounds_.max_in_flight; }

  Bounds bounds_;
  HostDefects defects_;
  std::vector<Node> nodes_;  // the leader first
  std::vector<Transmission> network_;
  std::vector<Entry> applied_;  // entries that the leader applied, in order
  std::vector<Winner> winners_;
  std::size_t written_count_ = 0;
  std::string violation_;
};

}  // namespace heronvane::copies::test

#include "model.hpp"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace heronvane::copies::test {

Model::Model(const Bounds& bounds, const HostDefects& defects) : bounds_(bounds), defects_(defects) {
  Config config;
  for (std::size_t i = 0; i <= bounds.replicas + bounds.spares; i++) {
    Node node;
    node.self = {std::string(1, static_cast<char>('O' + i)), 1};
    node.leads_log_at_start = i == 0;
    nodes_.push_back(std::move(node));
    if (i > 0 && i <= bounds.replicas) config.replicas.push_back(nodes_.back().self);
  }
  auto& leader = nodes_[0];
  leader.highest_used_epoch = 1;
  const Epoch first{1, leader.self};
  config.version = {first, 1};
  leader.replica.config = config;
  leader.leader.emplace(leader.self, first, config, 0, Epoch{}, LeaderOptions{bounds.acks, 2});
  // Entries can be committed only once the replicas know of the log, so the model starts from there.
  for (std::size_t i = 1; i <= bounds.replicas; i++) {
    nodes_[i].replica.promised = first;
    nodes_[i].replica.config = config;
    nodes_[i].holds_log = true;
    nodes_[i].before = nodes_[i].replica;
  }
}

Model::Node* Model::find(const Member& member) {
  for (auto& node : nodes_)
    if (node.self == member) return &node;
  return nullptr;
}

void Model::enqueue(const Member& from, const Envelope& envelope) {
  const bool carries_state = std::holds_alternative<protocol::Snapshot>(envelope.message);
  network_.push_back(
      {from, envelope.to, envelope.message, carries_state ? find(from)->disk : std::vector<Entry>{}});
}

void Model::deliver(const Transmission& transmission) {
  Node* const receiver = find(transmission.to);
  if (receiver == nullptr || receiver->disk_lost) return;
  const auto& message = transmission.message;
  const bool is_for_replica = std::holds_alternative<protocol::Append>(message) ||
                              std::holds_alternative<protocol::Snapshot>(message) ||
                              std::holds_alternative<protocol::Claim>(message) ||
                              std::holds_alternative<protocol::Read>(message) ||
                              std::holds_alternative<protocol::Move>(message);
  if (is_for_replica) {
    if (receiver->leads_log_at_start) return;
    Replica replica(receiver->replica);
    auto result = replica.handle(message);
    receiver->before = receiver->replica, receiver->replica_entries_before = receiver->replica_entries;
    receiver->replica = replica.state();
    if (result.snapshot_installed) receiver->replica_entries = transmission.state;
    receiver->replica_entries.insert(receiver->replica_entries.end(), result.entries.begin(),
                                     result.entries.end());
    receiver->holds_log = true;
    if (receiver->replica_entries.size() != receiver->replica.last ||
        (!receiver->replica_entries.empty() &&
         receiver->replica_entries.back().epoch != receiver->replica.last_epoch))
      violation_ = receiver->self.name + " has entries that differ from its replica state";
    if (!result.answer) return;
    const bool carries_state = std::holds_alternative<protocol::State>(*result.answer);
    network_.push_back({receiver->self, transmission.from, std::move(*result.answer),
                        carries_state ? receiver->replica_entries : std::vector<Entry>{}});
    return;
  }
  if (receiver->leader) receiver->leader->handle(transmission.from, message);
  if (receiver->claim) {
    const bool reading = receiver->claim->state() == Claim::State::reading;
    receiver->claim->handle(transmission.from, message);
    if (reading && receiver->claim->state() == Claim::State::importing)
      receiver->entries_read = transmission.state;
  }
  check_progress(*receiver);
}

void Model::send(Node& node, const Member& replica) {
  auto envelope = node.leader->next_append(replica);
  if (!envelope) envelope = node.leader->snapshot(replica);
  if (envelope) enqueue(node.self, *envelope);
}

void Model::begin_claim(Node& node, Claim::Purpose purpose, std::uint64_t above) {
  node.highest_used_epoch = std::max(node.highest_used_epoch, above) + 1;
  const Config config = node.leader                         ? node.leader->config()
                        : purpose == Claim::Purpose::resume ? nodes_[0].replica.config
                                                            : node.replica.config;
  const bool own = purpose == Claim::Purpose::resume;
  node.entries_read.clear();
  node.claim.emplace(node.self, purpose, Epoch{node.highest_used_epoch, node.self}, config,
                     LogId{node.self.name, node.self.incarnation}, own ? node.disk.size() : 0,
                     own && !node.disk.empty() ? node.disk.back().epoch : Epoch{},
                     ClaimOptions{bounds_.acks});
  node.leader.reset();
}

void Model::check_progress(Node& node) {
  const auto prefix = [&](const std::vector<Entry>& entries) {
    return applied_.size() <= entries.size() && std::equal(applied_.begin(), applied_.end(), entries.begin());
  };
  if (node.leader) {
    // The leader applies committed entries.
    const auto& entries = node.disk;
    while (applied_.size() < node.leader->durable()) {
      applied_.push_back(entries[applied_.size()]);
      for (const auto& winner : winners_)
        if (!prefix(winner.entries))
          violation_ =
              "the leader applied an entry that is unknown to " + winner.by.name + ", which has taken over";
    }
    const std::size_t committed_count = std::min<std::size_t>(applied_.size(), node.leader->durable());
    if (!std::equal(applied_.begin(), applied_.begin() + static_cast<std::ptrdiff_t>(committed_count),
                    entries.begin()))
      violation_ = "a committed entry differs from the applied one";
    node.replica.config = node.leader->config();
  }
  if (!node.claim) return;
  if (node.claim->state() == Claim::State::importing) {
    if (node.leads_log_at_start)
      node.disk = node.entries_read;
    else if (!defects_.skips_import)
      node.imported_entries = node.entries_read;
    node.claim->state_imported();
  }
  if (node.claim->state() != Claim::State::won) return;
  const Claim won_claim = *std::exchange(node.claim, std::nullopt);
  const auto& taken_over = node.leads_log_at_start ? node.disk : node.imported_entries;
  if (!prefix(taken_over)) {
    violation_ = won_claim.epoch().claimant.name + " won a claim without all applied entries";
    return;
  }
  if (node.leads_log_at_start) {
    // The claim may have been won before another member's claim but learned of after it. Then no entry that
    // this leader writes is committed.
    node.leader.emplace(node.self, won_claim.epoch(), won_claim.config(), won_claim.last(),
                        won_claim.last_epoch(), LeaderOptions{bounds_.acks, 2});
    // The first entry of the new epoch.
    write(node, "e" + std::to_string(won_claim.epoch().number));
    return check_progress(node);
  }
  for (const auto& winner : winners_)
    if (winner.by != node.self)
      violation_ = winner.by.name + " and " + node.self.name + " have both taken over";
  if (winners_.empty()) winners_.push_back({node.self, taken_over});
}

void Model::write(Node& node, const std::string& bytes) {
  node.disk.push_back({node.leader->epoch(), bytes});
  node.leader->append(bytes);
}

void Model::crash(Node& node) {
  node.leader.reset();
  node.claim.reset();
  if (!node.leads_log_at_start) {
    if (defects_.answers_before_writing)
      node.replica = node.before, node.replica_entries = node.replica_entries_before;
    if (defects_.loses_promises) node.replica.promised = {};
    return;
  }
  begin_claim(node, Claim::Purpose::resume, node.highest_used_epoch);
}

void Model::lose_disk(Node& node) {
  node.leader.reset();
  node.claim.reset();
  node.replica = node.before = {};
  node.replica_entries.clear(), node.replica_entries_before.clear(), node.imported_entries.clear();
  if (defects_.keeps_identity_without_disk && !node.leads_log_at_start) {
    node.replica.config = nodes_[0].replica.config;
    return;
  }
  node.disk_lost = true;
}

std::vector<std::pair<std::string, Model::Step>> Model::steps() const {
  std::vector<std::pair<std::string, Step>> steps;
  if (!violation_.empty()) return steps;
  for (std::size_t i = 0; i < network_.size(); i++) {
    // Equal transmissions lead to states with equal fingerprints.
    steps.emplace_back("deliver " + std::to_string(i), [i](Model& model) {
      const Transmission transmission = model.network_[i];
      model.network_.erase(model.network_.begin() + static_cast<std::ptrdiff_t>(i));
      model.deliver(transmission);
    });
    steps.emplace_back("lose " + std::to_string(i), [i](Model& model) {
      model.network_.erase(model.network_.begin() + static_cast<std::ptrdiff_t>(i));
    });
    if (bounds_.duplicates > 0 && has_room())
      steps.emplace_back("repeat " + std::to_string(i), [i](Model& model) {
        model.bounds_.duplicates--;
        model.deliver(Transmission(model.network_[i]));
      });
  }
  for (std::size_t node_index = 0; node_index < nodes_.size(); node_index++) {
    const Node& node = nodes_[node_index];
    if (node.disk_lost) continue;
    const std::string name = node.self.name;
    if (node.leader) {
      const Leader& leader = *node.leader;
      if (written_count_ < bounds_.entries && !leader.fenced())
        steps.emplace_back(name + " writes", [node_index](Model& model) {
          auto& acting_node = model.nodes_[node_index];
          model.write(acting_node, std::string(1, static_cast<char>('a' + model.written_count_++)));
          model.check_progress(acting_node);
        });
      for (const auto& replica : leader.replicas()) {
        Leader probe = leader;
        if (has_room() && (probe.next_append(replica) || probe.snapshot(replica)))
          steps.emplace_back(name + " sends to " + replica.name, [node_index, replica](Model& model) {
            model.send(model.nodes_[node_index], replica);
          });
        const bool in_flight =
            std::any_of(network_.begin(), network_.end(), [&](const Transmission& transmission) {
              return (transmission.from == node.self && transmission.to == replica) ||
                     (transmission.from == replica && transmission.to == node.self);
            });
        probe = leader;
        probe.mark_lost(replica);
        if (!in_flight && (probe.next_append(replica) || probe.snapshot(replica)) &&
            !Leader(leader).next_append(replica) && !Leader(leader).snapshot(replica))
          steps.emplace_back(name + " sends again to " + replica.name, [node_index, replica](Model& model) {
            model.nodes_[node_index].leader->mark_lost(replica);
          });
      }
      if (leader.fenced() && std::max(node.highest_used_epoch, leader.fenced()->number) < bounds_.epochs)
        steps.emplace_back(name + " claims", [node_index](Model& model) {
          auto& acting_node = model.nodes_[node_index];
          model.begin_claim(acting_node, Claim::Purpose::resume, acting_node.leader->fenced()->number);
        });
      // The leader drops all entries from memory, so a replica that lacks some needs a snapshot.
      if (bounds_.trims > 0 && leader.base() < leader.last())
        steps.emplace_back(name + " trims", [node_index](Model& model) {
          model.bounds_.trims--;
          model.nodes_[node_index].leader->trim(0);
        });
      if (bounds_.changes > 0 && !leader.changing() && !leader.fenced())
        for (const auto& replaced : leader.config().replicas)
          for (const auto& candidate : nodes_)
            if (!candidate.leads_log_at_start && !candidate.disk_lost && !candidate.holds_log)
              steps.emplace_back(name + " puts " + candidate.self.name + " for " + replaced.name,
                                 [node_index, replaced, member = candidate.self](Model& model) {
                                   model.bounds_.changes--;
                                   model.nodes_[node_index].leader->replace(replaced, member);
                                   model.check_progress(model.nodes_[node_index]);
                                 });
    }
    if (node.claim) {
      if (node.claim->state() == Claim::State::preempted) {
        if (std::max(node.highest_used_epoch, node.claim->preempted_by().number) < bounds_.epochs)
          steps.emplace_back(name + " claims again", [node_index](Model& model) {
            auto& acting_node = model.nodes_[node_index];
            const auto above = acting_node.claim->preempted_by().number;
            model.begin_claim(
                acting_node,
                acting_node.leads_log_at_start ? Claim::Purpose::resume : Claim::Purpose::take_over, above);
          });
      } else if (has_room()) {
        const auto requests = node.claim->requests();
        for (std::size_t i = 0; i < requests.size(); i++) {
          const bool in_flight =
              std::any_of(network_.begin(), network_.end(), [&](const Transmission& transmission) {
                return (transmission.from == node.self && transmission.to == requests[i].to) ||
                       (transmission.from == requests[i].to && transmission.to == node.self);
              });
          if (!in_flight)
            steps.emplace_back(name + " sends a request to " + requests[i].to.name,
                               [node_index, i](Model& model) {
                                 const auto now = model.nodes_[node_index].claim->requests();
                                 model.enqueue(model.nodes_[node_index].self, now[i]);
                               });
        }
      }
    } else if (!node.leads_log_at_start && node.holds_log && bounds_.takeovers > 0 &&
               std::max(node.highest_used_epoch, node.replica.promised.number) < bounds_.epochs) {
      steps.emplace_back(name + " takes over", [node_index](Model& model) {
        model.bounds_.takeovers--;
        auto& acting_node = model.nodes_[node_index];
        model.begin_claim(acting_node, Claim::Purpose::take_over, acting_node.replica.promised.number);
      });
    }
    if (bounds_.crashes > 0 && (!node.leads_log_at_start || node.highest_used_epoch < bounds_.epochs) &&
        (node.leader || node.claim || defects_.answers_before_writing || defects_.loses_promises))
      steps.emplace_back(name + " crashes", [node_index](Model& model) {
        model.bounds_.crashes--;
        model.crash(model.nodes_[node_index]);
      });
    if (bounds_.disk_losses > 0 && (node.leads_log_at_start || node.holds_log))
      steps.emplace_back(name + " loses its disk", [node_index](Model& model) {
        model.bounds_.disk_losses--;
        model.lose_disk(model.nodes_[node_index]);
      });
  }
  return steps;
}

std::string Model::describe() const {
  std::ostringstream out;
  for (const auto& node : nodes_) {
    out << node.self << (node.disk_lost ? " lost" : "") << " used " << node.highest_used_epoch;
    if (!node.leads_log_at_start && node.holds_log) {
      out << " promised " << node.replica.promised << " " << node.replica.config << " log";
      for (const auto& entry : node.replica_entries) out << " " << entry.epoch << "=" << entry.bytes;
      for (const auto& entry : node.imported_entries)
        out << " imported " << entry.epoch << "=" << entry.bytes;
      if (node.replica.moved)
        out << " moved into " << node.replica.moved->into << " under " << node.replica.moved->epoch;
      if (defects_.answers_before_writing)
        out << " before " << node.before.last << " " << node.before.promised;
    }
    if (node.leads_log_at_start) {
      out << " disk";
      for (const auto& entry : node.disk) out << " " << entry.epoch << "=" << entry.bytes;
      out << " " << node.replica.config;
    }
    if (node.leader) out << " owner " << node.leader->describe();
    if (node.claim) {
      out << " claim " << node.claim->describe();
      for (const auto& entry : node.entries_read) out << " " << entry.epoch << "=" << entry.bytes;
    }
    out << "\n";
  }
  std::vector<std::string> transmissions;
  for (const auto& transmission : network_) {
    std::ostringstream text;
    text << transmission.from << " to " << transmission.to << ": " << transmission.message;
    for (const auto& entry : transmission.state) text << " " << entry.epoch << "=" << entry.bytes;
    transmissions.push_back(text.str());
  }
  std::sort(transmissions.begin(), transmissions.end());
  for (const auto& transmission : transmissions) out << transmission << "\n";
  out << "acted";
  for (const auto& entry : applied_) out << " " << entry.epoch << "=" << entry.bytes;
  for (const auto& winner : winners_) out << ", won by " << winner.by;
  out << ", left " << bounds_.crashes << bounds_.disk_losses << bounds_.changes << bounds_.duplicates
      << bounds_.takeovers << bounds_.trims << "\n";
  return out.str();
}

std::uint64_t Model::fingerprint() const {
  const auto text = describe();
  return XXH3_64bits(text.data(), text.size());
}

bool Model::converges() {
  bounds_.max_in_flight = 1'000, bounds_.epochs = 1'000;
  for (int round = 0; round < 400; round++) {
    for (const auto& transmission : std::exchange(network_, {})) deliver(transmission);
    if (!violation_.empty()) return true;  // the caller reports it
    auto& leader_node = nodes_[0];
    if (!leader_node.disk_lost) {
      if (leader_node.leader && !leader_node.leader->fenced() &&
          leader_node.leader->durable() == leader_node.leader->last() && !leader_node.leader->changing())
        return true;
      if (leader_node.claim && leader_node.claim->state() == Claim::State::moved) return true;
      if (leader_node.leader && leader_node.leader->fenced())
        begin_claim(leader_node, Claim::Purpose::resume, leader_node.leader->fenced()->number);
      if (leader_node.claim && leader_node.claim->state() == Claim::State::preempted)
        begin_claim(leader_node, Claim::Purpose::resume, leader_node.claim->preempted_by().number);
      if (!leader_node.leader && !leader_node.claim)
        begin_claim(leader_node, Claim::Purpose::resume, leader_node.highest_used_epoch);
    } else {
      if (!winners_.empty()) return true;
      for (auto& node : nodes_) {
        if (node.leads_log_at_start || node.disk_lost || !node.holds_log) continue;
        if (node.claim && node.claim->state() == Claim::State::moved) return true;
      }
      // The first remaining replica takes the log over; the other replicas drop their claims.
      for (auto& node : nodes_) {
        if (node.leads_log_at_start || node.disk_lost || !node.holds_log) continue;
        if (!node.claim || node.claim->state() == Claim::State::preempted)
          begin_claim(
              node, Claim::Purpose::take_over,
              std::max(node.replica.promised.number, node.claim ? node.claim->preempted_by().number : 0));
        for (auto& other : nodes_)
          if (&other != &node && !other.leads_log_at_start) other.claim.reset();
        break;
      }
    }
    for (auto& node : nodes_) {
      if (node.disk_lost) continue;
      if (node.leader)
        for (const auto& replica : node.leader->replicas()) {
          node.leader->mark_lost(replica);
          send(node, replica);
        }
      if (node.claim && node.claim->state() != Claim::State::preempted)
        for (const auto& envelope : node.claim->requests()) enqueue(node.self, envelope);
    }
  }
  return false;
}

}  // namespace heronvane::copies::test

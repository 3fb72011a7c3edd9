#include "model.hpp"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace heronvane::copies::test {

Model::Model(const Bounds& bounds, const HostDefects& defects) : bounds_(bounds), defects_(defects) {
  Config config;
  for (std::size_t i = 0; i <= bounds.replicas + bounds.spares; i++) {
    Node n;
    n.self = {std::string(1, static_cast<char>('O' + i)), 1};
    n.is_owner = i == 0;
    nodes_.push_back(std::move(n));
    if (i > 0 && i <= bounds.replicas) config.replicas.push_back(nodes_.back().self);
  }
  auto& leader = nodes_[0];
  leader.highest_used_epoch = 1;
  const Epoch first{1, leader.self};
  config.version = {first, 1};
  leader.replica.config = config;
  leader.leader.emplace(leader.self, first, config, 0, Epoch{}, LeaderOptions{bounds.acks, 2});
  // The log stands once its holders know of it; until then nothing in it can.
  for (std::size_t i = 1; i <= bounds.replicas; i++) {
    nodes_[i].replica.promised = first;
    nodes_[i].replica.config = config;
    nodes_[i].holds_log = true;
    nodes_[i].before = nodes_[i].replica;
  }
}

Model::Node* Model::find(const Member& m) {
  for (auto& n : nodes_)
    if (n.self == m) return &n;
  return nullptr;
}

void Model::enqueue(const Member& from, const Envelope& envelope) {
  const bool whole = std::holds_alternative<protocol::Snapshot>(envelope.message);
  network_.push_back({from, envelope.to, envelope.message, whole ? find(from)->disk : std::vector<Entry>{}});
}

void Model::deliver(const Transmission& wire) {
  Node* const to = find(wire.to);
  if (to == nullptr || to->disk_lost) return;
  const auto& said = wire.message;
  const bool to_a_holder =
      std::holds_alternative<protocol::Append>(said) || std::holds_alternative<protocol::Snapshot>(said) ||
      std::holds_alternative<protocol::Claim>(said) || std::holds_alternative<protocol::Read>(said) ||
      std::holds_alternative<protocol::Move>(said);
  if (to_a_holder) {
    if (to->is_owner) return;
    Replica replica(to->replica);
    auto result = replica.handle(said);
    to->before = to->replica, to->replica_entries_before = to->replica_entries;
    to->replica = replica.state();
    if (result.snapshot_installed) to->replica_entries = wire.state;
    to->replica_entries.insert(to->replica_entries.end(), result.entries.begin(), result.entries.end());
    to->holds_log = true;
    if (to->replica_entries.size() != to->replica.last ||
        (!to->replica_entries.empty() && to->replica_entries.back().epoch != to->replica.last_epoch))
      violation_ = to->self.name + " has another state than it says";
    if (!result.answer) return;
    const bool whole = std::holds_alternative<protocol::State>(*result.answer);
    network_.push_back(
        {to->self, wire.from, std::move(*result.answer), whole ? to->replica_entries : std::vector<Entry>{}});
    return;
  }
  if (to->leader) to->leader->handle(wire.from, said);
  if (to->claim) {
    const bool reading = to->claim->state() == Claim::State::reading;
    to->claim->handle(wire.from, said);
    if (reading && to->claim->state() == Claim::State::importing) to->read = wire.state;
  }
  check_progress(*to);
}

void Model::send(Node& node, const Member& replica) {
  auto envelope = node.leader->next_append(replica);
  if (!envelope) envelope = node.leader->snapshot(replica);
  if (envelope) enqueue(node.self, *envelope);
}

void Model::claim(Node& node, Claim::Purpose purpose, std::uint64_t above) {
  node.highest_used_epoch = std::max(node.highest_used_epoch, above) + 1;
  const Config config = node.leader                         ? node.leader->config()
                        : purpose == Claim::Purpose::resume ? nodes_[0].replica.config
                                                            : node.replica.config;
  const bool own = purpose == Claim::Purpose::resume;
  node.read.clear();
  node.claim.emplace(node.self, purpose, Epoch{node.highest_used_epoch, node.self}, config,
                     LogId{node.self.name, node.self.incarnation}, own ? node.disk.size() : 0,
                     own && !node.disk.empty() ? node.disk.back().epoch : Epoch{},
                     ClaimOptions{bounds_.acks});
  node.leader.reset();
}

void Model::check_progress(Node& node) {
  const auto prefix = [&](const std::vector<Entry>& of) {
    return acted_on_.size() <= of.size() && std::equal(acted_on_.begin(), acted_on_.end(), of.begin());
  };
  if (node.leader) {
    // It acts on what stands.
    const auto& entries = node.disk;
    while (acted_on_.size() < node.leader->durable()) {
      acted_on_.push_back(entries[acted_on_.size()]);
      for (const auto& w : winners_)
        if (!prefix(w.entries))
          violation_ = "the owner acted on what " + w.by.name + " does not know, which has taken over";
    }
    const std::size_t stands = std::min<std::size_t>(acted_on_.size(), node.leader->durable());
    if (!std::equal(acted_on_.begin(), acted_on_.begin() + static_cast<std::ptrdiff_t>(stands),
                    entries.begin()))
      violation_ = "what stands differs from what was acted on";
    node.replica.config = node.leader->config();
  }
  if (!node.claim) return;
  if (node.claim->state() == Claim::State::importing) {
    if (node.is_owner)
      node.disk = node.read;
    else if (!defects_.forgets_import)
      node.imported_entries = node.read;
    node.claim->state_imported();
  }
  if (node.claim->state() != Claim::State::won) return;
  const Claim won_claim = *std::exchange(node.claim, std::nullopt);
  const auto& taken_over = node.is_owner ? node.disk : node.imported_entries;
  if (!prefix(taken_over)) {
    violation_ = won_claim.epoch().claimant.name + " won without all that was acted on";
    return;
  }
  if (node.is_owner) {
    // Its claim may have been won before another one's and be heard of after it: then nothing that it writes
    // stands.
    node.leader.emplace(node.self, won_claim.epoch(), won_claim.config(), won_claim.last(),
                        won_claim.last_epoch(), LeaderOptions{bounds_.acks, 2});
    // The first entry under the new epoch.
    write(node, "e" + std::to_string(won_claim.epoch().number));
    return check_progress(node);
  }
  for (const auto& w : winners_)
    if (w.by != node.self) violation_ = w.by.name + " and " + node.self.name + " have both taken over";
  if (winners_.empty()) winners_.push_back({node.self, taken_over});
}

void Model::write(Node& node, const std::string& bytes) {
  node.disk.push_back({node.leader->epoch(), bytes});
  node.leader->append(bytes);
}

void Model::crash(Node& node) {
  node.leader.reset();
  node.claim.reset();
  if (!node.is_owner) {
    if (defects_.answers_before_writing)
      node.replica = node.before, node.replica_entries = node.replica_entries_before;
    if (defects_.forgets_promises) node.replica.promised = {};
    return;
  }
  claim(node, Claim::Purpose::resume, node.highest_used_epoch);
}

void Model::lose_disk(Node& node) {
  node.leader.reset();
  node.claim.reset();
  node.replica = node.before = {};
  node.replica_entries.clear(), node.replica_entries_before.clear(), node.imported_entries.clear();
  if (defects_.comes_back_as_the_same && !node.is_owner) {
    node.replica.config = nodes_[0].replica.config;
    return;
  }
  node.disk_lost = true;
}

std::vector<std::pair<std::string, Model::Step>> Model::steps() const {
  std::vector<std::pair<std::string, Step>> all;
  if (!violation_.empty()) return all;
  for (std::size_t i = 0; i < network_.size(); i++) {
    // Letters that say the same are one.
    all.emplace_back("deliver " + std::to_string(i), [i](Model& m) {
      const Transmission w = m.network_[i];
      m.network_.erase(m.network_.begin() + static_cast<std::ptrdiff_t>(i));
      m.deliver(w);
    });
    all.emplace_back("lose " + std::to_string(i), [i](Model& m) {
      m.network_.erase(m.network_.begin() + static_cast<std::ptrdiff_t>(i));
    });
    if (bounds_.duplicates > 0 && has_room())
      all.emplace_back("repeat " + std::to_string(i), [i](Model& m) {
        m.bounds_.duplicates--;
        m.deliver(Transmission(m.network_[i]));
      });
  }
  for (std::size_t n = 0; n < nodes_.size(); n++) {
    const Node& node = nodes_[n];
    if (node.disk_lost) continue;
    const std::string name = node.self.name;
    if (node.leader) {
      const Leader& o = *node.leader;
      if (written_count_ < bounds_.entries && !o.fenced())
        all.emplace_back(name + " writes", [n](Model& m) {
          auto& w = m.nodes_[n];
          m.write(w, std::string(1, static_cast<char>('a' + m.written_count_++)));
          m.check_progress(w);
        });
      for (const auto& h : o.replicas()) {
        Leader probe = o;
        if (has_room() && (probe.next_append(h) || probe.snapshot(h)))
          all.emplace_back(name + " sends to " + h.name, [n, h](Model& m) { m.send(m.nodes_[n], h); });
        const bool on_its_way = std::any_of(network_.begin(), network_.end(), [&](const Transmission& w) {
          return (w.from == node.self && w.to == h) || (w.from == h && w.to == node.self);
        });
        probe = o;
        probe.mark_lost(h);
        if (!on_its_way && (probe.next_append(h) || probe.snapshot(h)) && !Leader(o).next_append(h) &&
            !Leader(o).snapshot(h))
          all.emplace_back(name + " sends again to " + h.name,
                           [n, h](Model& m) { m.nodes_[n].leader->mark_lost(h); });
      }
      if (o.fenced() && std::max(node.highest_used_epoch, o.fenced()->number) < bounds_.epochs)
        all.emplace_back(name + " claims", [n](Model& m) {
          auto& w = m.nodes_[n];
          m.claim(w, Claim::Purpose::resume, w.leader->fenced()->number);
        });
      // All that it kept goes; what a holder lacks then takes a snapshot.
      if (bounds_.trims > 0 && o.base() < o.last())
        all.emplace_back(name + " trims", [n](Model& m) {
          m.bounds_.trims--;
          m.nodes_[n].leader->trim(0);
        });
      if (bounds_.changes > 0 && !o.changing() && !o.fenced())
        for (const auto& old : o.config().replicas)
          for (const auto& fresh : nodes_)
            if (!fresh.is_owner && !fresh.disk_lost && !fresh.holds_log)
              all.emplace_back(name + " puts " + fresh.self.name + " for " + old.name,
                               [n, old, member = fresh.self](Model& m) {
                                 m.bounds_.changes--;
                                 m.nodes_[n].leader->replace(old, member);
                                 m.check_progress(m.nodes_[n]);
                               });
    }
    if (node.claim) {
      if (node.claim->state() == Claim::State::preempted) {
        if (std::max(node.highest_used_epoch, node.claim->preempted_by().number) < bounds_.epochs)
          all.emplace_back(name + " claims again", [n](Model& m) {
            auto& w = m.nodes_[n];
            const auto above = w.claim->preempted_by().number;
            m.claim(w, w.is_owner ? Claim::Purpose::resume : Claim::Purpose::take_over, above);
          });
      } else if (has_room()) {
        const auto requests = node.claim->requests();
        for (std::size_t i = 0; i < requests.size(); i++) {
          const bool said = std::any_of(network_.begin(), network_.end(), [&](const Transmission& w) {
            return (w.from == node.self && w.to == requests[i].to) ||
                   (w.from == requests[i].to && w.to == node.self);
          });
          if (!said)
            all.emplace_back(name + " says to " + requests[i].to.name, [n, i](Model& m) {
              const auto now = m.nodes_[n].claim->requests();
              m.enqueue(m.nodes_[n].self, now[i]);
            });
        }
      }
    } else if (!node.is_owner && node.holds_log && bounds_.take_overs > 0 &&
               std::max(node.highest_used_epoch, node.replica.promised.number) < bounds_.epochs) {
      all.emplace_back(name + " takes over", [n](Model& m) {
        m.bounds_.take_overs--;
        auto& w = m.nodes_[n];
        m.claim(w, Claim::Purpose::take_over, w.replica.promised.number);
      });
    }
    if (bounds_.crashes > 0 && (!node.is_owner || node.highest_used_epoch < bounds_.epochs) &&
        (node.leader || node.claim || defects_.answers_before_writing || defects_.forgets_promises))
      all.emplace_back(name + " crashes", [n](Model& m) {
        m.bounds_.crashes--;
        m.crash(m.nodes_[n]);
      });
    if (bounds_.disk_losses > 0 && (node.is_owner || node.holds_log))
      all.emplace_back(name + " loses its disk", [n](Model& m) {
        m.bounds_.disk_losses--;
        m.lose_disk(m.nodes_[n]);
      });
  }
  return all;
}

std::string Model::describe() const {
  std::ostringstream out;
  for (const auto& n : nodes_) {
    out << n.self << (n.disk_lost ? " lost" : "") << " used " << n.highest_used_epoch;
    if (!n.is_owner && n.holds_log) {
      out << " promised " << n.replica.promised << " " << n.replica.config << " log";
      for (const auto& e : n.replica_entries) out << " " << e.epoch << "=" << e.bytes;
      for (const auto& e : n.imported_entries) out << " imported " << e.epoch << "=" << e.bytes;
      if (n.replica.moved)
        out << " moved into " << n.replica.moved->into << " under " << n.replica.moved->epoch;
      if (defects_.answers_before_writing) out << " before " << n.before.last << " " << n.before.promised;
    }
    if (n.is_owner) {
      out << " disk";
      for (const auto& e : n.disk) out << " " << e.epoch << "=" << e.bytes;
      out << " " << n.replica.config;
    }
    if (n.leader) out << " owner " << n.leader->describe();
    if (n.claim) {
      out << " claim " << n.claim->describe();
      for (const auto& e : n.read) out << " " << e.epoch << "=" << e.bytes;
    }
    out << "\n";
  }
  std::vector<std::string> wires;
  for (const auto& w : network_) {
    std::ostringstream text;
    text << w.from << " to " << w.to << ": " << w.message;
    for (const auto& e : w.state) text << " " << e.epoch << "=" << e.bytes;
    wires.push_back(text.str());
  }
  std::sort(wires.begin(), wires.end());
  for (const auto& w : wires) out << w << "\n";
  out << "acted";
  for (const auto& e : acted_on_) out << " " << e.epoch << "=" << e.bytes;
  for (const auto& w : winners_) out << ", won by " << w.by;
  out << ", left " << bounds_.crashes << bounds_.disk_losses << bounds_.changes << bounds_.duplicates
      << bounds_.take_overs << bounds_.trims << "\n";
  return out.str();
}

std::uint64_t Model::fingerprint() const {
  const auto text = describe();
  return XXH3_64bits(text.data(), text.size());
}

bool Model::converges() {
  bounds_.max_in_flight = 1'000, bounds_.epochs = 1'000;
  for (int round = 0; round < 400; round++) {
    for (const auto& w : std::exchange(network_, {})) deliver(w);
    if (!violation_.empty()) return true;  // told elsewhere
    auto& o = nodes_[0];
    if (!o.disk_lost) {
      if (o.leader && !o.leader->fenced() && o.leader->durable() == o.leader->last() && !o.leader->changing())
        return true;
      if (o.claim && o.claim->state() == Claim::State::moved) return true;
      if (o.leader && o.leader->fenced()) claim(o, Claim::Purpose::resume, o.leader->fenced()->number);
      if (o.claim && o.claim->state() == Claim::State::preempted)
        claim(o, Claim::Purpose::resume, o.claim->preempted_by().number);
      if (!o.leader && !o.claim) claim(o, Claim::Purpose::resume, o.highest_used_epoch);
    } else {
      if (!winners_.empty()) return true;
      for (auto& n : nodes_) {
        if (n.is_owner || n.disk_lost || !n.holds_log) continue;
        if (n.claim && n.claim->state() == Claim::State::moved) return true;
      }
      // One of the holders takes it over; others have given up.
      for (auto& n : nodes_) {
        if (n.is_owner || n.disk_lost || !n.holds_log) continue;
        if (!n.claim || n.claim->state() == Claim::State::preempted)
          claim(n, Claim::Purpose::take_over,
                std::max(n.replica.promised.number, n.claim ? n.claim->preempted_by().number : 0));
        for (auto& other : nodes_)
          if (&other != &n && !other.is_owner) other.claim.reset();
        break;
      }
    }
    for (auto& n : nodes_) {
      if (n.disk_lost) continue;
      if (n.leader)
        for (const auto& h : n.leader->replicas()) {
          n.leader->mark_lost(h);
          send(n, h);
        }
      if (n.claim && n.claim->state() != Claim::State::preempted)
        for (const auto& envelope : n.claim->requests()) enqueue(n.self, envelope);
    }
  }
  return false;
}

}  // namespace heronvane::copies::test

// Which relays keep replicas of a log, and how many of them make a quorum. No I/O.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "log.hpp"

namespace heronvane::copies {

enum class Acks {
  majority,  // of the leader and its replicas
  all,
};

// Quorum sizes for a number of replicas. An entry is committed when it is on the leader's disk and at `acks`
// replicas; a claim needs promises from `claims` replicas. acks + claims > replicas, so a claimant reads
// every committed entry. 2 * claims > replicas, so any two claims share a replica.
struct Quorum {
  std::size_t acks = 0, claims = 0;
};
Quorum quorum(std::size_t replicas, Acks acks);

// Whether the given members include a quorum (`acks` or `claims`) of each replica set of the config.
bool enough_acks(const Config& config, const std::set<Member>& acknowledged, Acks acks);
bool enough_claims(const Config& config, const std::set<Member>& promised, Acks acks);

// Whether every claim quorum of each replica set contains a member of `informed`: the members outside
// `informed` are too few for one.
bool every_claim_reaches(const Config& config, const std::set<Member>& informed, Acks acks);

struct Placement {
  Member member;
  std::string machine, zone;  // empty: unknown
};

// Chooses up to `count` of `placements` as replicas of `leader`'s log by rendezvous hashing (Thaler and
// Ravishankar, 1998) of the relay names, so that one change in the list changes few groups. All are on
// machines other than the leader's and each other's, and in distinct zones as far as possible. Returns fewer
// if there are too few machines. The order of the list does not matter.
std::vector<Member> choose_replicas(const Placement& leader, const std::vector<Placement>& placements,
                                    std::size_t count);

}  // namespace heronvane::copies

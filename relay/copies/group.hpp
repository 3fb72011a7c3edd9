// Which relays hold a log, and how many of them make a quorum. No I/O.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "log.hpp"

namespace heronvane::copies {

enum class Acks {
  majority,  // of the group: the owner and its holders
  all,
};

// Of so many holders: an entry stands when it is on the owner's disk and at `acks` of them; a claim needs
// `claims`. Any acks + claims > holders, so that a claimant reads all that ever stood; 2 * claims > holders,
// so that two claims meet.
struct Quorum {
  std::size_t acks = 0, claims = 0;
};
Quorum quorum(std::size_t replicas, Acks acks);

// `have` holds a quorum of each set of the config: `acks` or `claims` of them.
bool enough_acks(const Config& config, const std::set<Member>& acknowledged, Acks acks);
bool enough_claims(const Config& config, const std::set<Member>& promised, Acks acks);

// Whoever has a quorum for claims of a set of the config has asked one of `know`, of each set: those who
// don't make none alone.
bool every_claim_reaches(const Config& config, const std::set<Member>& informed, Acks acks);

struct Placement {
  Member member;
  std::string machine, zone;  // empty: not told
};

// The holders of `owner`'s log: `count` of `places`, by rendezvous hashing (Thaler and Ravishankar, 1998) of
// the owner's name with theirs, so that a list that changes by one changes few groups; on machines other than
// the owner's and each other's; in zones that differ as long as there are such. Fewer where there are not
// enough machines. Equal lists in any order give equal groups.
std::vector<Member> choose_replicas(const Placement& leader, const std::vector<Placement>& placements,
                                    std::size_t count);

}  // namespace heronvane::copies

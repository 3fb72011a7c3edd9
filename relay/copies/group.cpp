#include "group.hpp"

#include <xxhash.h>

#include <algorithm>

namespace heronvane::copies {

Quorum quorum(std::size_t replicas, Acks acks) {
  if (replicas == 0) return {0, 0};
  // The leader counts towards the majority.
  const std::size_t majority = (replicas + 1) / 2 + 1;
  Quorum quorum_sizes;
  quorum_sizes.acks = acks == Acks::all ? replicas : std::max<std::size_t>(1, majority - 1);
  quorum_sizes.claims = std::max(replicas - quorum_sizes.acks + 1, replicas / 2 + 1);
  return quorum_sizes;
}

namespace {

std::size_t count_members(const std::vector<Member>& replicas, const std::set<Member>& subset) {
  return static_cast<std::size_t>(std::count_if(
      replicas.begin(), replicas.end(), [&](const Member& member) { return subset.count(member) > 0; }));
}

}  // namespace

bool enough_acks(const Config& config, const std::set<Member>& acknowledged, Acks acks) {
  if (count_members(config.replicas, acknowledged) < quorum(config.replicas.size(), acks).acks) return false;
  return config.next.empty() ||
         count_members(config.next, acknowledged) >= quorum(config.next.size(), acks).acks;
}

bool enough_claims(const Config& config, const std::set<Member>& promised, Acks acks) {
  if (count_members(config.replicas, promised) < quorum(config.replicas.size(), acks).claims) return false;
  return config.next.empty() ||
         count_members(config.next, promised) >= quorum(config.next.size(), acks).claims;
}

bool every_claim_reaches(const Config& config, const std::set<Member>& informed, Acks acks) {
  const auto reaches = [&](const std::vector<Member>& replicas) {
    return replicas.size() - count_members(replicas, informed) < quorum(replicas.size(), acks).claims;
  };
  return reaches(config.replicas) && (config.next.empty() || reaches(config.next));
}

std::vector<Member> choose_replicas(const Placement& leader, const std::vector<Placement>& placements,
                                    std::size_t count) {
  struct Candidate {
    std::uint64_t score;
    const Placement* placement;
  };
  std::vector<Candidate> candidates;
  const std::uint64_t seed = XXH3_64bits(leader.member.name.data(), leader.member.name.size());
  for (const auto& placement : placements) {
    if (placement.member.name == leader.member.name) continue;
    if (!placement.machine.empty() && placement.machine == leader.machine) continue;
    candidates.push_back(
        {XXH3_64bits_withSeed(placement.member.name.data(), placement.member.name.size(), seed), &placement});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.score != b.score ? a.score > b.score : a.placement->member < b.placement->member;
  });
  std::vector<const Placement*> chosen;
  const auto is_eligible = [&](const Placement& placement, bool distinct_zone) {
    for (const Placement* const other : chosen) {
      if (other == &placement || other->member.name == placement.member.name) return false;
      if (!placement.machine.empty() && placement.machine == other->machine) return false;
      if (distinct_zone && !placement.zone.empty() && placement.zone == other->zone) return false;
    }
    return !(distinct_zone && !placement.zone.empty() && placement.zone == leader.zone);
  };
  for (const bool distinct_zone : {true, false})
    for (const auto& candidate : candidates)
      if (chosen.size() < count && is_eligible(*candidate.placement, distinct_zone))
        chosen.push_back(candidate.placement);
  std::vector<Member> members;
  for (const Placement* const placement : chosen) members.push_back(placement->member);
  return members;
}

}  // namespace heronvane::copies

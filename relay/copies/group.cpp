#include "group.hpp"

#include <xxhash.h>

#include <algorithm>

namespace heronvane::copies {

Quorum quorum(std::size_t holders, Acks acks) {
  if (holders == 0) return {0, 0};
  // The owner is one of the group's majority.
  const std::size_t majority = (holders + 1) / 2 + 1;
  Quorum q;
  q.acks = acks == Acks::all ? holders : std::max<std::size_t>(1, majority - 1);
  q.claims = std::max(holders - q.acks + 1, holders / 2 + 1);
  return q;
}

namespace {

std::size_t count_of(const std::vector<Member>& holders, const std::set<Member>& have) {
  return static_cast<std::size_t>(
      std::count_if(holders.begin(), holders.end(), [&](const Member& m) { return have.count(m) > 0; }));
}

}  // namespace

bool enough_acks(const Config& config, const std::set<Member>& have, Acks acks) {
  if (count_of(config.holders, have) < quorum(config.holders.size(), acks).acks) return false;
  return config.next.empty() || count_of(config.next, have) >= quorum(config.next.size(), acks).acks;
}

bool enough_claims(const Config& config, const std::set<Member>& have, Acks acks) {
  if (count_of(config.holders, have) < quorum(config.holders.size(), acks).claims) return false;
  return config.next.empty() || count_of(config.next, have) >= quorum(config.next.size(), acks).claims;
}

bool claims_meet(const Config& config, const std::set<Member>& know, Acks acks) {
  const auto meet = [&](const std::vector<Member>& holders) {
    return holders.size() - count_of(holders, know) < quorum(holders.size(), acks).claims;
  };
  return meet(config.holders) && (config.next.empty() || meet(config.next));
}

std::vector<Member> choose_holders(const Place& owner, const std::vector<Place>& places, std::size_t count) {
  struct Scored {
    std::uint64_t score;
    const Place* place;
  };
  std::vector<Scored> all;
  const std::uint64_t seed = XXH3_64bits(owner.member.name.data(), owner.member.name.size());
  for (const auto& p : places) {
    if (p.member.name == owner.member.name) continue;
    if (!p.machine.empty() && p.machine == owner.machine) continue;
    all.push_back({XXH3_64bits_withSeed(p.member.name.data(), p.member.name.size(), seed), &p});
  }
  std::sort(all.begin(), all.end(), [](const Scored& a, const Scored& b) {
    return a.score != b.score ? a.score > b.score : a.place->member < b.place->member;
  });
  std::vector<const Place*> chosen;
  const auto fits = [&](const Place& p, bool other_zone) {
    for (const Place* const c : chosen) {
      if (c == &p || c->member.name == p.member.name) return false;
      if (!p.machine.empty() && p.machine == c->machine) return false;
      if (other_zone && !p.zone.empty() && p.zone == c->zone) return false;
    }
    return !(other_zone && !p.zone.empty() && p.zone == owner.zone);
  };
  for (const bool other_zone : {true, false})
    for (const auto& s : all)
      if (chosen.size() < count && fits(*s.place, other_zone)) chosen.push_back(s.place);
  std::vector<Member> members;
  for (const Place* const p : chosen) members.push_back(p->member);
  return members;
}

}  // namespace heronvane::copies

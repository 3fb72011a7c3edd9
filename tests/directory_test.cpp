// Endpoint lists applied to the directory: only changes are reported.
#include "core/directory.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace heronvane {
namespace {

using heronvane::dispatch::Endpoint;
using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Listing;

ListedEndpoint member(const std::string& id, std::int64_t destination, Listing listing = Listing::active) {
  ListedEndpoint m;
  m.endpoint.id = id, m.endpoint.destination = destination, m.endpoint.listing = listing;
  return m;
}

struct ApplyResult {
  Directory::Changes changes;
  std::set<EndpointId> removed;
  std::size_t entries = 0;
};

ApplyResult apply(Directory& d, std::vector<ListedEndpoint> members, bool snapshot) {
  static std::uint64_t serial = 0;
  ApplyResult t;
  t.changes = d.apply(
      {1, snapshot, std::move(members), ++serial}, [&](const EndpointId& id) { t.removed.insert(id); },
      [&](const ListedEndpoint&) { t.entries++; });
  return t;
}

// An endpoint's start time is on the clock of the list's author. It is only compared with earlier values,
// never with a clock of this machine, which may be stepped.
TEST(Directory, ANewStartTimeIsAChange) {
  Directory d;
  auto first = member("a", 1);
  first.endpoint.since = 1'796'203'325'000'000;
  EXPECT_EQ(apply(d, {first}, true).changes.endpoints.size(), 1u);
  EXPECT_TRUE(apply(d, {first}, true).changes.endpoints.empty());
  auto again = first;
  again.endpoint.since += 1'000;
  EXPECT_EQ(apply(d, {again}, true).changes.endpoints.size(), 1u);
}

TEST(Directory, AnEqualListChangesNothing) {
  Directory d;
  EXPECT_EQ(apply(d, {member("a", 1), member("b", 2)}, true).changes.endpoints.size(), 2u);
  const auto again = apply(d, {member("b", 2), member("a", 1)}, true);
  EXPECT_TRUE(again.changes.endpoints.empty());
  EXPECT_EQ(again.entries, 2u);
}

TEST(Directory, EndpointsThatASnapshotLeavesOutAreGone) {
  Directory d;
  apply(d, {member("a", 1), member("b", 1)}, true);
  const auto t = apply(d, {member("a", 1)}, true);
  ASSERT_EQ(t.changes.endpoints.size(), 1u);
  EXPECT_EQ(t.changes.endpoints[0].id, "b");
  EXPECT_EQ(t.changes.endpoints[0].listing, Listing::gone);
  EXPECT_EQ(t.removed, std::set<EndpointId>{"b"});
  EXPECT_EQ(d.find("b"), nullptr);
  EXPECT_TRUE(d.knows_destination(1));
  EXPECT_EQ(d.endpoints_of(1), std::vector<EndpointId>{"a"});
}

TEST(Directory, AnEndpointThatMovesLeavesItsDestination) {
  Directory d;
  apply(d, {member("a", 1)}, true);
  const auto t = apply(d, {member("a", 2)}, false);
  EXPECT_EQ(t.changes.endpoints.size(), 1u);
  EXPECT_TRUE(d.endpoints_of(1).empty());
  EXPECT_EQ(d.endpoints_of(2), std::vector<EndpointId>{"a"});
}

TEST(Directory, ASnapshotInPartsRemovesEndpointsWithItsLastPart) {
  Directory d;
  apply(d, {member("a", 1), member("b", 1), member("c", 1)}, true);
  const auto part = [&](std::uint64_t serial, std::vector<ListedEndpoint> members, bool begins, bool ends) {
    return d.apply(
        {2, true, std::move(members), serial, begins, ends}, [](const EndpointId&) {},
        [](const ListedEndpoint&) {});
  };
  EXPECT_TRUE(part(1'000, {member("a", 1)}, true, false).endpoints.empty());
  // An update between the parts of a snapshot is newer than the snapshot.
  apply(d, {member("d", 1)}, false);
  const auto last = part(1'000, {member("b", 1)}, false, true);
  ASSERT_EQ(last.endpoints.size(), 1u);
  EXPECT_EQ(last.endpoints[0].id, "c");
  EXPECT_NE(d.find("d"), nullptr);
  // A snapshot removes nothing once a newer snapshot has begun.
  EXPECT_TRUE(part(2'000, {member("a", 1)}, true, false).endpoints.empty());
  EXPECT_TRUE(part(2'001, {member("b", 1)}, true, false).endpoints.empty());
  EXPECT_TRUE(part(2'000, {}, false, true).endpoints.empty());
  EXPECT_EQ(part(2'001, {member("d", 1)}, false, true).endpoints.size(), 1u);
  EXPECT_EQ(d.find("a"), nullptr);
}

TEST(Directory, RandomListsAgreeWithAMap) {
  std::mt19937_64 random(1);
  Directory d;
  std::map<EndpointId, Endpoint> plain;
  for (int round = 0; round < 3'000; round++) {
    const bool snapshot = random() % 5 == 0;
    std::map<EndpointId, ListedEndpoint> named;
    for (auto n = random() % 12; n > 0; n--) {
      auto m = member("e" + std::to_string(random() % 20), static_cast<std::int64_t>(random() % 4));
      const auto choice = random() % 6;
      m.endpoint.listing = choice == 0 ? Listing::gone : choice == 1 ? Listing::draining : Listing::active;
      named[m.endpoint.id] = m;
    }
    std::vector<ListedEndpoint> members;
    for (const auto& [id, m] : named) members.push_back(m);
    const auto t = apply(d, members, snapshot);
    const auto before = plain;
    if (snapshot) plain.clear();
    for (const auto& [id, m] : named)
      m.endpoint.listing == Listing::gone ? void(plain.erase(id)) : void(plain[id] = m.endpoint);
    // The reported changes, applied to the state before, give the state after.
    auto reported = before;
    std::set<EndpointId> once;
    for (const auto& e : t.changes.endpoints) {
      EXPECT_TRUE(once.insert(e.id).second) << e.id;
      e.listing == Listing::gone ? void(reported.erase(e.id)) : void(reported[e.id] = e);
    }
    ASSERT_EQ(reported.size(), plain.size());
    ASSERT_EQ(d.size(), plain.size());
    bool active = false;
    for (const auto& [id, e] : plain) {
      const auto* const found = d.find(id);
      ASSERT_NE(found, nullptr);
      EXPECT_EQ(found->listing, e.listing);
      EXPECT_EQ(found->destination, e.destination);
      EXPECT_EQ(reported.at(id).listing, e.listing);
      const auto& of = d.endpoints_of(e.destination);
      EXPECT_EQ(std::count(of.begin(), of.end(), id), 1);
      active = active || e.listing == Listing::active;
    }
    EXPECT_EQ(d.any_active(), active);
  }
}

}  // namespace
}  // namespace heronvane

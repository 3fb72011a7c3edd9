// The list, its index and its history: whatever a follower received last, it ends with the current list.
#include "fleet/catalog.hpp"

#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <random>

#include "fleet/partners.hpp"

namespace heronvane::fleet {
namespace {

Endpoint endpoint(const std::string& name, Status status = Status::ready) {
  return {name, "127.0.0.1:8081", "a", "small", 7, status, 1.0, 0};
}

// Applies lines as a relay does.
struct Follower {
  void apply_line(const std::string& line) {
    ASSERT_EQ(line.back(), '\n');
    ASSERT_EQ(line.find('\n'), line.size() - 1);
    rapidjson::Document v;
    v.Parse(line.data(), line.size());
    ASSERT_FALSE(v.HasParseError());
    if (v["snapshot"].GetBool()) list.clear();
    entries = v["endpoints"].Size();
    for (const auto& e : v["endpoints"].GetArray()) {
      Endpoint x = endpoint(e["name"].GetString());
      const std::string status = e["status"].GetString();
      x.address = e["address"].GetString(), x.zone = e["zone"].GetString(), x.type = e["type"].GetString();
      x.group = e["group"].GetInt64(), x.weight = e["weight"].GetDouble();
      x.since_ms = e["since_ms"].GetInt64();
      x.status = status == "draining" ? Status::draining : Status::ready;
      ASSERT_FALSE(v["snapshot"].GetBool() && status == "gone");
      if (status == "gone")
        list.erase(x.name);
      else
        list[x.name] = x;
    }
    EXPECT_GE(v["index"].GetInt64(), index);
    index = v["index"].GetInt64();
  }
  bool operator==(const Follower& o) const { return list == o.list && index == o.index; }
  std::map<std::string, Endpoint> list;
  std::int64_t index = -1;
  std::size_t entries = 0;
};

void publish(Catalog& c, std::vector<Endpoint> list) { c.apply(c.compare(std::move(list))); }

TEST(Catalog, CountsAndSendsChanges) {
  Catalog c;
  EXPECT_FALSE(c.published());
  publish(c, {endpoint("a"), endpoint("b"), endpoint("c")});
  EXPECT_TRUE(c.published());
  const auto first = c.index();
  auto changed = endpoint("b");
  changed.weight = 0.5;
  const auto u = c.compare({endpoint("a", Status::draining), changed, endpoint("d")});
  EXPECT_EQ(u.added, 1u);
  EXPECT_EQ(u.changed, 2u);
  EXPECT_EQ(u.draining, 1u);
  EXPECT_EQ(u.removed, 1u);
  EXPECT_EQ(u.index, first + 1);
  c.apply(u);
  Follower f;
  f.apply_line(c.changes_since(first));
  EXPECT_EQ(f.entries, 4u);
  EXPECT_NE(c.changes_since(first).find(
                R"("name":"c","address":"127.0.0.1:8081","zone":"a","type":"small","group":7,)"
                R"("status":"gone")"),
            std::string::npos);
}

TEST(Catalog, TheSameListChangesNothing) {
  Catalog c(41);
  publish(c, {});
  EXPECT_EQ(c.index(), 42);
  publish(c, {});
  EXPECT_EQ(c.index(), 42);
  EXPECT_EQ(c.changes_since(42), "{\"index\":42,\"snapshot\":false,\"endpoints\":[]}\n");
}

// The list may have changed while the agent was down, so the stored index does not identify this list.
TEST(Catalog, AfterARestartFollowersGetTheWholeList) {
  Catalog before;
  publish(before, {endpoint("a"), endpoint("b")});
  Follower f;
  f.apply_line(before.snapshot());
  Catalog after(before.index());
  publish(after, {endpoint("a")});
  EXPECT_GT(after.index(), f.index);
  f.apply_line(after.changes_since(f.index));
  EXPECT_EQ(f.list.size(), 1u);
}

// An index that was never published, for example after the stored index was lost, gets the whole list.
TEST(Catalog, AnUnknownIndexGetsTheWholeList) {
  Catalog c;
  publish(c, {endpoint("a")});
  EXPECT_EQ(c.changes_since(c.index() + 1), c.snapshot());
  EXPECT_EQ(c.changes_since(-1), c.snapshot());
}

TEST(Catalog, HistoryIsBounded) {
  Catalog c(0, 10);
  publish(c, {});
  const auto first = c.index();
  for (int i = 0; i < 11; i++) publish(c, {endpoint("a" + std::to_string(i))});
  EXPECT_FALSE(c.has_history_since(first));
  EXPECT_EQ(c.changes_since(first), c.snapshot());
  EXPECT_TRUE(c.has_history_since(c.index() - 1));
  std::vector<Endpoint> large;
  for (int i = 0; i < 20; i++) large.push_back(endpoint("b" + std::to_string(i)));
  publish(c, large);
  EXPECT_FALSE(c.has_history_since(c.index() - 1));  // the change has more entries than the history keeps
  EXPECT_TRUE(c.has_history_since(c.index()));
}

// Random lists: followers that stop at any index and resume later end with the current list.
TEST(Catalog, FollowersFromAnyIndexEndWithTheCurrentList) {
  for (unsigned seed = 1; seed <= 200; seed++) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const auto random_up_to = [&](unsigned n) { return static_cast<unsigned>(random() % (n + 1)); };
    const std::size_t history = random_up_to(60);
    Catalog c(random_up_to(5), history);
    std::vector<Follower> followers(1);  // the first has received nothing
    std::vector<Endpoint> list;
    std::int64_t last = -1;
    for (unsigned step = 0; step < 40; step++) {
      if (random_up_to(19) == 0) c = Catalog(c.index(), history);  // a restart
      for (unsigned n = random_up_to(4); n > 0; n--) {
        const std::string name = "e" + std::to_string(random_up_to(12));
        std::erase_if(list, [&](const Endpoint& e) { return e.name == name; });
        if (random_up_to(2) == 0) continue;
        auto e = endpoint(name, random_up_to(3) == 0 ? Status::draining : Status::ready);
        e.weight = random_up_to(2) * 0.1, e.group = random_up_to(1), e.since_ms = random_up_to(1);
        list.push_back(e);
      }
      std::shuffle(list.begin(), list.end(), random);
      const bool is_first = !c.published();
      const auto u = c.compare(list);
      EXPECT_EQ(u.index > c.index(), is_first || !u.changes.empty());
      c.apply(u);
      EXPECT_GE(c.index(), last);
      last = c.index();
      Follower current;
      current.apply_line(c.snapshot());
      EXPECT_EQ(current.list.size(), list.size());
      for (const auto& e : list) EXPECT_EQ(current.list[e.name], e);
      const Follower paused_follower = followers[random_up_to(static_cast<unsigned>(followers.size()) - 1)];
      for (auto& f : followers) {
        if (random_up_to(2) == 0) continue;
        f.apply_line(c.changes_since(f.index));
        EXPECT_EQ(f, current);
      }
      followers.push_back(paused_follower);
    }
    Follower current;
    current.apply_line(c.snapshot());
    for (auto& f : followers) {
      f.apply_line(c.changes_since(f.index));
      EXPECT_EQ(f, current);
    }
  }
}

// The snapshot that relays get can be used as a partner list.
TEST(Catalog, TheSnapshotIsAValidPartnerList) {
  Catalog c;
  auto escaped = endpoint("quote\" \xc3\xa9");
  escaped.weight = 0.1;
  publish(c, {escaped, endpoint("b", Status::draining)});
  const auto list = read_partners(c.snapshot());
  EXPECT_EQ(list.error(), "");
  EXPECT_TRUE(c.compare(list.endpoints).changes.empty());
}

}  // namespace
}  // namespace heronvane::fleet

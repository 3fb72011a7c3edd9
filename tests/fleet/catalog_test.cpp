// The list, its index and its history: whatever a follower saw last, it ends with the list that holds.
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

// What a relay makes of the lines it is told.
struct Follower {
  void take(const std::string& line) {
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

TEST(Catalog, CountsAndTellsWhatChanged) {
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
  f.take(c.changes_since(first));
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

// The list may have changed while nobody watched its file: the index that was kept says nothing of this list.
TEST(Catalog, AfterARestartEveryoneIsToldTheWholeList) {
  Catalog before;
  publish(before, {endpoint("a"), endpoint("b")});
  Follower f;
  f.take(before.snapshot());
  Catalog after(before.index());
  publish(after, {endpoint("a")});
  EXPECT_GT(after.index(), f.index);
  f.take(after.changes_since(f.index));
  EXPECT_EQ(f.list.size(), 1u);
}

// An index from elsewhere, such as one lost and counted anew, gets the whole list.
TEST(Catalog, AnIndexThatWasNeverToldGetsTheWholeList) {
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
  EXPECT_FALSE(c.has_history_since(c.index() - 1));  // it would hold more than is kept
  EXPECT_TRUE(c.has_history_since(c.index()));
}

// Random lists: followers that stop at any index, and go on later, end with the list that holds.
TEST(Catalog, AFollowerFromAnyIndexEndsWithTheList) {
  for (unsigned seed = 1; seed <= 200; seed++) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const auto upto = [&](unsigned n) { return static_cast<unsigned>(random() % (n + 1)); };
    const std::size_t history = upto(60);
    Catalog c(upto(5), history);
    std::vector<Follower> followers(1);  // the first never saw anything
    std::vector<Endpoint> list;
    std::int64_t last = -1;
    for (unsigned step = 0; step < 40; step++) {
      if (upto(19) == 0) c = Catalog(c.index(), history);  // a restart
      for (unsigned n = upto(4); n > 0; n--) {
        const std::string name = "e" + std::to_string(upto(12));
        std::erase_if(list, [&](const Endpoint& e) { return e.name == name; });
        if (upto(2) == 0) continue;
        auto e = endpoint(name, upto(3) == 0 ? Status::draining : Status::ready);
        e.weight = upto(2) * 0.1, e.group = upto(1), e.since_ms = upto(1);
        list.push_back(e);
      }
      std::shuffle(list.begin(), list.end(), random);
      const bool fresh = !c.published();
      const auto u = c.compare(list);
      EXPECT_EQ(u.index > c.index(), fresh || !u.changes.empty());
      c.apply(u);
      EXPECT_GE(c.index(), last);
      last = c.index();
      Follower now;
      now.take(c.snapshot());
      EXPECT_EQ(now.list.size(), list.size());
      for (const auto& e : list) EXPECT_EQ(now.list[e.name], e);
      const Follower stays = followers[upto(static_cast<unsigned>(followers.size()) - 1)];
      for (auto& f : followers) {
        if (upto(2) == 0) continue;
        f.take(c.changes_since(f.index));
        EXPECT_EQ(f, now);
      }
      followers.push_back(stays);
    }
    Follower now;
    now.take(c.snapshot());
    for (auto& f : followers) {
      f.take(c.changes_since(f.index));
      EXPECT_EQ(f, now);
    }
  }
}

// What it tells can be taken as a partner list.
TEST(Catalog, ItsWholeListIsAPartnerList) {
  Catalog c;
  auto odd = endpoint("quote\" \xc3\xa9");
  odd.weight = 0.1;
  publish(c, {odd, endpoint("b", Status::draining)});
  const auto list = read_partners(c.snapshot());
  EXPECT_EQ(list.error(), "");
  EXPECT_TRUE(c.compare(list.endpoints).changes.empty());
}

}  // namespace
}  // namespace heronvane::fleet

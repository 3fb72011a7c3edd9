// Endpoint state that is stored over a restart, and the operator's settings; without sockets.
#include <gtest/gtest.h>

#include "core/learned_state_store.hpp"
#include "core/unavailable_endpoints.hpp"
#include "operator_settings.hpp"

namespace heronvane {
namespace {

using heronvane::dispatch::Health;
using heronvane::dispatch::Listing;

constexpr Microseconds kNow = 1'700'000'000'000'000, kHour = 3'600'000'000;

struct Facts {
  std::map<std::string, std::string> all;
  std::size_t max_entries = SIZE_MAX;
  UnavailableEndpoints::Keep keep() {
    return [this](const std::string& key, const std::string& value) {
      if (value.empty()) return all.erase(key), true;
      if (all.count(key) == 0 && all.size() >= max_entries) return false;
      all[key] = value;
      return true;
    };
  }
};

EndpointList list(std::int64_t index, bool snapshot, std::vector<std::pair<std::string, Listing>> entries) {
  EndpointList l;
  l.index = index, l.snapshot = snapshot;
  for (const auto& [id, listing] : entries) {
    ListedEndpoint m;
    m.endpoint.id = id, m.endpoint.listing = listing;
    l.endpoints.push_back(m);
  }
  return l;
}
std::map<std::string, Listing> listings_of(const EndpointList& l) {
  std::map<std::string, Listing> all;
  for (const auto& m : l.endpoints) all[m.endpoint.id] = m.endpoint.listing;
  return all;
}
using Listings = std::map<std::string, Listing>;
const Listing kReady = Listing::active, kDraining = Listing::draining, kGone = Listing::gone;
const std::string kDiscovery = "127.0.0.1:8500", kOtherDiscovery = "127.0.0.1:8600";

TEST(UnavailableEndpoints, OverrulesTheConfiguredAndOlderLists) {
  Facts facts;
  const auto known = list(90, true, {{"a", kReady}, {"b", kReady}, {"c", kReady}});
  {
    UnavailableEndpoints m(facts.all, known, kNow, facts.keep());
    m.reconcile(list(41, false, {{"a", kDraining}, {"b", kGone}}), kDiscovery, kNow);
  }
  UnavailableEndpoints m(facts.all, known, kNow + 60'000'000, facts.keep());
  // The configured list overrules nothing, whatever its index.
  EXPECT_EQ(listings_of(m.restrict_configured(known)), (Listings{{"a", kDraining}, {"c", kReady}}));
  // Nor does an older list of the same discovery.
  EXPECT_EQ(listings_of(
                m.reconcile(list(40, true, {{"a", kReady}, {"b", kReady}, {"c", kReady}}), kDiscovery, kNow)),
            (Listings{{"a", kDraining}, {"c", kReady}}));
  EXPECT_EQ(listings_of(m.reconcile(list(40, false, {{"b", kReady}}), kDiscovery, kNow)),
            (Listings{{"b", kGone}}));
  // A list that is not older does.
  EXPECT_EQ(listings_of(m.reconcile(list(41, false, {{"a", kReady}}), kDiscovery, kNow)),
            (Listings{{"a", kReady}}));
  EXPECT_EQ(facts.all.count("endpoint/a"), 0u);
  EXPECT_EQ(facts.all.count("endpoint/b"), 1u);
  // Another discovery has its own index: its list overrules the stored entries.
  EXPECT_EQ(listings_of(m.reconcile(list(1, true, {{"b", kReady}}), kOtherDiscovery, kNow)),
            (Listings{{"b", kReady}}));
  EXPECT_TRUE(facts.all.empty());
}

TEST(UnavailableEndpoints, MarkGoneRemovesAConfiguredEndpoint) {
  Facts facts;
  const auto known = list(1, true, {{"a", kReady}});
  UnavailableEndpoints(facts.all, known, kNow, facts.keep()).mark_gone("a", 5, kDiscovery, kNow);
  EXPECT_EQ(
      listings_of(UnavailableEndpoints(facts.all, known, kNow, facts.keep()).restrict_configured(known)),
      Listings{});
}

// The number of entries is bounded: old ones that the configuration does not name are removed at a start, and
// the oldest one is removed if there is no capacity.
TEST(UnavailableEndpoints, RemovesOldEntriesThatAreNotConfigured) {
  Facts facts;
  {
    UnavailableEndpoints m(facts.all, {}, kNow, facts.keep());
    m.mark_gone("a", 5, kDiscovery, kNow), m.mark_gone("b", 6, kDiscovery, kNow);
  }
  UnavailableEndpoints m(facts.all, list(1, true, {{"a", kReady}}), kNow + 2 * kHour, facts.keep());
  EXPECT_EQ(m.size(), 1u);
  EXPECT_EQ(facts.all.count("endpoint/a"), 1u);
  EXPECT_EQ(facts.all.count("endpoint/b"), 0u);
}
TEST(UnavailableEndpoints, EvictsTheOldestEntry) {
  Facts facts;
  facts.max_entries = 3;
  const auto known = list(1, true, {{"e0", kReady}});
  UnavailableEndpoints m(facts.all, known, kNow, facts.keep());
  for (int i = 0; i < 10; i++) m.mark_gone("e" + std::to_string(i), i, kDiscovery, kNow + i);
  EXPECT_EQ(facts.all.size(), 3u);
  EXPECT_EQ(facts.all.count("endpoint/e0"), 1u) << "known names it";
  EXPECT_EQ(facts.all.count("endpoint/e9"), 1u);
}
// Stored and in-memory entries agree even if the newest entry is the one that is evicted.
TEST(UnavailableEndpoints, AnEntryThatIsEvictedAtOnceIsNotStored) {
  Facts facts;
  facts.max_entries = 2;
  UnavailableEndpoints m(facts.all, list(1, true, {{"a", kReady}, {"b", kReady}}), kNow, facts.keep());
  m.mark_gone("a", 1, kDiscovery, kNow), m.mark_gone("b", 2, kDiscovery, kNow),
      m.mark_gone("c", 3, kDiscovery, kNow);
  EXPECT_EQ(m.size(), 2u);
  EXPECT_EQ(facts.all.count("endpoint/a"), 1u);
  EXPECT_EQ(facts.all.count("endpoint/b"), 1u);
}
// A discovery that has restarted its index must not keep an endpoint out of use for ever.
TEST(UnavailableEndpoints, OlderListsAreOverruledForAnHourAtMost) {
  Facts facts;
  UnavailableEndpoints m(facts.all, {}, kNow, facts.keep());
  m.reconcile(list(500, false, {{"a", kDraining}}), kDiscovery, kNow);
  EXPECT_EQ(listings_of(m.reconcile(list(3, false, {{"a", kReady}}), kDiscovery, kNow + kHour)),
            (Listings{{"a", kDraining}}));
  EXPECT_EQ(listings_of(m.reconcile(list(3, false, {{"a", kReady}}), kDiscovery, kNow + kHour + 1)),
            (Listings{{"a", kReady}}));
  EXPECT_TRUE(facts.all.empty());
}
TEST(UnavailableEndpoints, MalformedFactsAreRemoved) {
  Facts facts;
  facts.all = {{"endpoint/a", "what"}, {"endpoint/b", ""}, {"other", "x"}};
  UnavailableEndpoints m(facts.all, {}, kNow, facts.keep());
  EXPECT_EQ(m.size(), 0u);
  EXPECT_EQ(facts.all, (std::map<std::string, std::string>{{"other", "x"}}));
}

TEST(LearnedState, IsReadAsItWasWritten) {
  heronvane::dispatch::LearnedState m;
  m.endpoint = "s 1", m.destination = -7, m.health = Health::slow_start, m.time_in_health = 5,
  m.baseline_rate = 0.125;
  m.slow_start_budget = 0.5, m.consecutive_failures = 3, m.failure_rate = 0.25,
  m.last_failure_possibly_executed = true, m.batch_size = 4, m.retry_after_left = 1'000'000;
  m.backoff_delay = 0.75, m.send_rate = 12.5, m.consecutive_rejections = 2, m.first_rejection_age = 9,
  m.admission_probability = 0.5;
  const auto text = encode(LearnedStateRecord{m, kNow});
  const auto read = decode_learned_state("s 1", text);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->learned_at, kNow);
  EXPECT_EQ(encode(*read), text);
  EXPECT_FALSE(decode_learned_state("s 1", text.substr(0, text.size() / 2)).has_value());
  EXPECT_FALSE(decode_learned_state("s 1", "2" + text.substr(1)).has_value()) << "of another format version";
}

TEST(LearnedState, WaitsAreNotShortenedByAReboot) {
  heronvane::dispatch::LearnedState m;
  m.endpoint = "a", m.retry_after_left = 10'000'000;
  const std::map<std::string, std::string> facts = {
      {learned_state_key("a"), encode(LearnedStateRecord{m, kNow})}};
  const Microseconds later = kNow + 8'000'000;
  const auto wait = [&](Microseconds gap, RestoredStates::Filter which) -> Microseconds {
    const auto r = RestoredStates(facts, which, later).take("a", later, gap);
    return r ? r->state.retry_after_left - r->age : -1;
  };
  EXPECT_EQ(wait(0, {true, true}), 2'000'000);
  EXPECT_EQ(wait(8'000'000, {true, true}), 10'000'000) << "only the wall clock shows that time";
  EXPECT_EQ(wait(0, {true, false}), -1) << "nothing else is known";
  EXPECT_EQ(wait(0, {false, true}), 2'000'000);
}

// The state of endpoints that disappeared while no relay ran would otherwise never be removed.
TEST(LearnedState, RecordsOlderThanAWeekAreOutdated) {
  heronvane::dispatch::LearnedState m;
  m.health = Health::ejected;
  const auto text = encode(LearnedStateRecord{m, kNow});
  const std::map<std::string, std::string> facts = {{learned_state_key("a"), text},
                                                    {learned_state_key("b"), "what"}};
  const RestoredStates soon(facts, {true, true}, kNow + 7 * 24 * kHour);
  EXPECT_EQ(soon.size(), 1u);
  EXPECT_EQ(soon.outdated_keys(), std::vector<std::string>{learned_state_key("b")});
  const RestoredStates late(facts, {true, true}, kNow + 7 * 24 * kHour + 1);
  EXPECT_EQ(late.size(), 0u);
  EXPECT_EQ(late.outdated_keys(), (std::vector<std::string>{learned_state_key("a"), learned_state_key("b")}));
  EXPECT_EQ(RestoredStates(facts, {false, false}, kNow).size(), 0u);
}

#ifdef HERONVANE_SETTINGS_FILE
TEST(OperatorSettings, AreReadAndErrorsNameTheLine) {
  const auto s = read_operator_settings(
      "[store]\ndurability = \"machine\"\nkeep_health = false\nkeep_waits = true\nremember_window_s = 1.5\n",
      "f");
  EXPECT_EQ(s.store.durability, store::Durability::machine);
  EXPECT_FALSE(s.store.keep_health);
  EXPECT_TRUE(s.store.keep_waits);
  EXPECT_EQ(s.store.remember_window, 1'500'000);
  const auto error = [](const std::string& text) -> std::string {
    try {
      read_operator_settings(text, "f");
    } catch (const std::runtime_error& e) {
      return e.what();
    }
    return "none";
  };
  EXPECT_EQ(error("[store]\n\ndurability = \"disk\"\n"),
            "f:3: store.durability: must be \"process\" or \"machine\"");
  EXPECT_EQ(error("[store]\nkeep_waits = 1\n"), "f:2: store.keep_waits: must be true or false");
  EXPECT_EQ(error("[store]\nremember_window_s = -1\n").substr(0, 30), "f:2: store.remember_window_s: ");
  EXPECT_EQ(error("[stores]\n").substr(0, 12), "f:1: stores:");
  EXPECT_EQ(error("[store\n").substr(0, 4), "f:1:");
  EXPECT_EQ(error(""), "none");
}

TEST(OperatorSettings, ReadTheCopiesSection) {
  const std::string head = "[copies]\ncluster = \"north\"\n", one = "[[copies.member]]\nname = \"n0\"\n";
  const auto c = read_operator_settings(head + "holders = 3\nacks = \"all\"\ntakeover_after_s = 0\n" + one +
                                            "address = \"10.0.0.1:9400\"\nzone = \"a\"\n",
                                        "f")
                     .copies;
  EXPECT_TRUE(c.on && c.require_all_acks);
  EXPECT_EQ(c.holders, 3);
  EXPECT_EQ(c.takeover_after, 0);
  ASSERT_EQ(c.members.size(), 1u);
  EXPECT_EQ(c.members[0].address, "10.0.0.1:9400");
  EXPECT_FALSE(read_operator_settings("", "f").copies.on);
  const auto error = [](const std::string& text) -> std::string {
    try {
      read_operator_settings(text, "f");
    } catch (const std::runtime_error& e) {
      return e.what();
    }
    return "none";
  };
  EXPECT_EQ(error("[copies]\n"), "f:1: copies: cluster is missing: a name that all members have alike");
  EXPECT_EQ(error(head), "f:1: copies: no [[copies.member]] is there");
  EXPECT_EQ(error(head + "holders = 5\n"), "f:3: copies.holders: must be a whole number from 0 to 4");
  EXPECT_EQ(error(head + one).substr(0, 36), "f:3: copies.member: address is missi");
  EXPECT_EQ(error(head + "[[copies.member]]\nname = \"../n\"\naddress = \"1.2.3.4:5\"\n").substr(0, 31),
            "f:3: copies.member: name must b");
}
#endif

}  // namespace
}  // namespace heronvane

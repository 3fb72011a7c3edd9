#include "endpoint_registry.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

constexpr int kShared = 0;
constexpr int kSeparate = 1;

class EndpointRegistryTest : public ::testing::Test, protected ForgottenListener {
 protected:
  EndpointRegistryTest() {
    harness_.settings.kinds = {{false, 4}, {true, 2}};
    harness_.settings.relays = 1;
  }
  EndpointRegistry::Applied list(const EndpointId& id, DestinationId destination, int kind = kShared,
                                 Listing listing = Listing::active) {
    Endpoint listed;
    listed.id = id;
    listed.destination = destination;
    listed.kind = kind;
    listed.listing = listing;
    return registry_.apply(listed, 0);
  }
  void eject(EndpointState& endpoint) {
    harness_.at(0, [&](DecisionPass& pass) {
      endpoint.health.apply(pass, HealthChange::ejected_errors, endpoint.info.id);
    });
  }
  void forget(Microseconds now) { registry_.forget_gone(now, 10 * kSecond, *this); }
  void endpoint_forgotten(const EndpointState& endpoint) override {
    forgotten_endpoints_.push_back(endpoint.info.id);
  }
  void destination_forgotten(DestinationId id, const DestinationState&) override {
    forgotten_destinations_.push_back(id);
  }

  PassHarness harness_;
  EndpointRegistry registry_{harness_.settings, BackoffScale(1)};
  std::vector<EndpointId> forgotten_endpoints_;
  std::vector<DestinationId> forgotten_destinations_;
};

TEST_F(EndpointRegistryTest, SharesTheLimitsOfADestinationUnlessItsKindSeparatesThem) {
  EndpointState& a = *list("a", 1).endpoint;
  EndpointState& b = *list("b", 1).endpoint;
  EndpointState& c = *list("c", 2, kSeparate).endpoint;
  EndpointState& d = *list("d", 2, kSeparate).endpoint;
  EXPECT_EQ(&a.scope(), &b.scope());
  EXPECT_EQ(&a.scope(), &registry_.find(DestinationId{1})->scope);
  EXPECT_EQ(&c.scope(), &c.own_scope);
  EXPECT_NE(&c.scope(), &d.scope());
  EXPECT_EQ(a.batching.trusted(), 4);
  EXPECT_EQ(c.batching.trusted(), 2);
}

TEST_F(EndpointRegistryTest, TakesEndpointsOfUnknownKindsWithTheDefaults) {
  EXPECT_EQ(list("a", 1, 7).endpoint->batching.trusted(), 1);
  EXPECT_FALSE(list("b", 1, -1).endpoint->has_own_limits);
}

TEST_F(EndpointRegistryTest, MovesAnEndpointToTheDestinationThatTheListNames) {
  EndpointState* const endpoint = list("a", 1).endpoint;
  EXPECT_EQ(list("a", 2).endpoint, endpoint);
  EXPECT_TRUE(registry_.find(DestinationId{1})->endpoints.empty());
  EXPECT_EQ(registry_.find(DestinationId{2})->endpoints, std::vector<EndpointState*>{endpoint});
  forget(0);
  EXPECT_EQ(forgotten_destinations_, std::vector<DestinationId>{1});
  EXPECT_EQ(registry_.find(DestinationId{1}), nullptr);
}

TEST_F(EndpointRegistryTest, NamesAModelForANewEndpointOnlyWhereNoSiblingIsHealthy) {
  EndpointState& a = *list("a", 1).endpoint;
  EXPECT_EQ(list("b", 1).model, nullptr);
  eject(a);
  EXPECT_EQ(list("c", 1).model, nullptr);
  eject(registry_.at("b"));
  eject(registry_.at("c"));
  EXPECT_EQ(list("d", 1).model, &a);
  EXPECT_EQ(list("a", 1).model, nullptr);  // not new
}

TEST_F(EndpointRegistryTest, NamesNoModelWhereEndpointsHaveTheirOwnLimits) {
  eject(*list("a", 1, kSeparate).endpoint);
  EXPECT_EQ(list("b", 1, kSeparate).model, nullptr);
}

TEST_F(EndpointRegistryTest, DropsWhatACompleteListDoesNotName) {
  list("a", 1);
  list("b", 1);
  registry_.begin_snapshot();
  list("b", 1);
  registry_.end_snapshot();
  EXPECT_EQ(registry_.find("a")->info.listing, Listing::gone);
  forget(0);
  EXPECT_EQ(forgotten_endpoints_, std::vector<EndpointId>{"a"});
  EXPECT_EQ(registry_.find("a"), nullptr);
  EXPECT_NE(registry_.find("b"), nullptr);
}

TEST_F(EndpointRegistryTest, KeepsAnEndpointThatLeftUntilItsCallsAreOver) {
  EndpointState& endpoint = *list("a", 1).endpoint;
  endpoint.calls.begin(1, 0);
  list("a", 1, kShared, Listing::gone);
  forget(0);
  EXPECT_NE(registry_.find("a"), nullptr);
  endpoint.calls.end(1);
  list("b", 2);  // it looks again after a change of the list
  forget(0);
  EXPECT_EQ(registry_.find("a"), nullptr);
}

TEST_F(EndpointRegistryTest, KeepsAnEndpointThatLeftWhileItsOutageIsRemembered) {
  EndpointState& endpoint = *list("a", 1).endpoint;
  eject(endpoint);
  list("a", 1, kShared, Listing::gone);
  forget(10 * kSecond - 1);
  EXPECT_NE(registry_.find("a"), nullptr);
  list("b", 2);
  forget(10 * kSecond);
  EXPECT_EQ(registry_.find("a"), nullptr);
}

TEST_F(EndpointRegistryTest, KeepsAnEmptyDestinationUntilItsRetryAfterEnds) {
  EndpointState& endpoint = *list("a", 1).endpoint;
  endpoint.scope().limits.extend_retry_after(5 * kSecond);
  list("a", 1, kShared, Listing::gone);
  forget(0);
  EXPECT_EQ(registry_.find("a"), nullptr);
  EXPECT_NE(registry_.find(DestinationId{1}), nullptr);
  list("b", 2);
  forget(5 * kSecond);
  EXPECT_EQ(registry_.find(DestinationId{1}), nullptr);
  EXPECT_EQ(registry_.size(), 2u);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

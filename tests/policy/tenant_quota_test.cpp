#include "tenant_quota.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

constexpr Microseconds kSecond = 1'000'000;

Settings with_quotas(std::vector<TenantSettings> tenants, int relays) {
  Settings settings;
  settings.tenants = std::move(tenants);
  settings.relays = relays;
  return settings;
}

int admitted(TenantQuota& quota, int tenant, Microseconds now, int requests) {
  int count = 0;
  for (int i = 0; i < requests; i++) count += quota.consume(tenant, now) ? 1 : 0;
  return count;
}

TEST(TenantQuota, AllowsABurstOfTwoRequestsPlusTwoSecondsOfQuota) {
  const Settings settings = with_quotas({{5}}, 1);
  TenantQuota quota(settings);
  EXPECT_EQ(admitted(quota, 0, 0, 100), 12);
}

TEST(TenantQuota, RefillsAtTheQuotasRateUpToTheBurst) {
  const Settings settings = with_quotas({{5}}, 1);
  TenantQuota quota(settings);
  admitted(quota, 0, 0, 100);
  EXPECT_EQ(admitted(quota, 0, kSecond, 100), 5);
  EXPECT_EQ(admitted(quota, 0, kSecond, 100), 0);
  EXPECT_EQ(admitted(quota, 0, 100 * kSecond, 100), 12);
}

TEST(TenantQuota, IsSplitEvenlyOverTheRelays) {
  const Settings settings = with_quotas({{40}}, 8);
  TenantQuota quota(settings);
  EXPECT_EQ(admitted(quota, 0, 0, 100), 12);
  EXPECT_EQ(admitted(quota, 0, kSecond, 100), 5);
}

TEST(TenantQuota, OfOneTenantDoesNotCountForAnother) {
  const Settings settings = with_quotas({{5}, {50}}, 1);
  TenantQuota quota(settings);
  admitted(quota, 0, 0, 100);
  EXPECT_EQ(admitted(quota, 1, 0, 1'000), 102);
}

TEST(TenantQuota, DoesNotBindRequestsWithoutATenantOrTenantsWithoutAQuota) {
  const Settings settings = with_quotas({{0}}, 1);
  TenantQuota quota(settings);
  EXPECT_EQ(admitted(quota, -1, 0, 1'000), 1'000);
  EXPECT_EQ(admitted(quota, 0, 0, 1'000), 1'000);
  EXPECT_EQ(admitted(quota, 1, 0, 1'000), 1'000);  // unknown position
}

}  // namespace
}  // namespace heronvane::dispatch::testing

#include "tenant_quota.hpp"

#include <algorithm>
#include <cstddef>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

constexpr double kLeastBurst = 2;    // requests
constexpr double kBurstSeconds = 2;  // of the quota, on top of the least burst

}  // namespace

TenantQuota::TenantQuota(const Settings& settings) : settings_(settings) {
  for (const auto& tenant : settings.tenants) buckets_.push_back({burst(tenant), 0});
}

bool TenantQuota::consume(int tenant, Microseconds now) {
  if (tenant < 0 || tenant >= static_cast<int>(settings_.tenants.size())) return true;
  const auto index = static_cast<std::size_t>(tenant);
  const TenantSettings& tenant_settings = settings_.tenants[index];
  const double rate = rate_per_s(tenant_settings);
  if (rate <= 0) return true;
  Bucket& bucket = buckets_[index];
  const double tokens = bucket.tokens + rate * seconds(now - bucket.updated_at);
  bucket.tokens = std::min(tokens, burst(tenant_settings));
  bucket.updated_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

// The tenant's quota holds for all relays together; each counts its even part.
double TenantQuota::rate_per_s(const TenantSettings& tenant) const {
  return tenant.quota_per_s / settings_.relays;
}

double TenantQuota::burst(const TenantSettings& tenant) const {
  return kLeastBurst + kBurstSeconds * tenant.quota_per_s / settings_.relays;
}

}  // namespace heronvane::dispatch

// Each tenant's quota of requests a second, counted by this relay.
//
// Owns one token bucket for each tenant. Deterministic in the moments it is handed; not synchronised, used on
// the dispatcher's thread only.
#pragma once

#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The token buckets of all tenants.
class TenantQuota {
 public:
  // `settings` must outlive it. Each bucket begins full.
  explicit TenantQuota(const Settings& settings);

  // Whether a request of the tenant that arrives at `now` is within its quota; if so, it is counted. A
  // request without a tenant (negative or unknown position) or of a tenant without a quota is always within.
  // `now` never goes back.
  bool consume(int tenant, Microseconds now);

 private:
  struct Bucket {
    double tokens = 0;  // requests that may come now
    Microseconds updated_at = 0;
  };
  double rate_per_s(const TenantSettings& tenant) const;
  double burst(const TenantSettings& tenant) const;

  const Settings& settings_;
  std::vector<Bucket> buckets_;  // by tenant
};

}  // namespace heronvane::dispatch

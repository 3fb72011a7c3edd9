#include "scope_outage.hpp"

#include "time_units.hpp"

namespace heronvane::dispatch {

void ScopeOutage::start(Microseconds now) {
  if (is_started_) return;
  is_started_ = true;
  demand_.start(now);
}

void ScopeOutage::record_failed(Outcome outcome, Microseconds sent_at) {
  if (evidence_.consecutive_failures() == 0) failing_since_ = sent_at;
  evidence_.record_failed(outcome);
  last_outcome_ = outcome;
}

void ScopeOutage::record_served(Microseconds now) {
  evidence_.end_run();
  served_at_ = now;
  if (is_ejected()) health_ = Health::healthy;
}

bool ScopeOutage::is_outlier(Microseconds now, int overdue_calls,
                             const BackgroundFailureRate& background) const {
  const FailureEvidence::Circumstances circumstances{health_, last_outcome_, demand_.per_second(now),
                                                     overdue_calls, seconds(unanswered_for(now))};
  return evidence_.is_outlier(circumstances, background);
}

Microseconds ScopeOutage::unanswered_for(Microseconds now) const {
  return evidence_.consecutive_failures() > 0 ? now - failing_since_ : 0;
}

void ScopeOutage::eject(Microseconds now, double baseline_rate) {
  if (health_ == Health::healthy) baseline_rate_ = baseline_rate;
  health_ = Health::ejected;
  since_ = now;
}

void ScopeOutage::begin_slow_start(Microseconds now, double baseline_rate) {
  if (health_ == Health::healthy) baseline_rate_ = baseline_rate;
  health_ = Health::slow_start;
  since_ = now;
}

void ScopeOutage::restore(Health learned, Microseconds since, double baseline_rate) {
  health_ = learned;
  since_ = since;
  baseline_rate_ = baseline_rate;
}

void ScopeOutage::advance(Microseconds now, Microseconds window) {
  if (health_ == Health::healthy || now < since_ + window) return;
  if (is_ejected()) {
    health_ = Health::slow_start;
    since_ = now;
  } else {
    health_ = Health::healthy;
    evidence_.clear();
  }
}

}  // namespace heronvane::dispatch

// Checks that within a phase the order of two messages of one class never changes, and is the phase's order.
#include "priority.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace heronvane::dispatch::testing {
namespace {

double urgency(const ClassSettings& c, WeightDecay decay, Microseconds past, Microseconds ahead) {
  const double v = remaining_weight(c, decay, past);
  return v - remaining_weight(c, decay, past + ahead) + 0.1 * v;
}

ClassSettings class_with(Microseconds objective, Microseconds deadline, double weight_at_deadline) {
  ClassSettings request_class;
  request_class.latency_objective = objective;
  request_class.deadline = deadline;
  request_class.weight_at_deadline = weight_at_deadline;
  return request_class;
}

TEST(RemainingWeight, IsFullUntilTheObjectiveAndNothingFromTheDeadlineOn) {
  const ClassSettings c = class_with(1'000'000, 3'000'000, 0.2);
  for (const auto decay : {WeightDecay::linear, WeightDecay::half_life}) {
    EXPECT_EQ(remaining_weight(c, decay, -500'000), 1);
    EXPECT_EQ(remaining_weight(c, decay, 0), 1);
    EXPECT_EQ(remaining_weight(c, decay, 2'000'000), 0);
  }
}

TEST(RemainingWeight, FallsLinearlyToTheWeightAtTheDeadline) {
  const ClassSettings c = class_with(1'000'000, 3'000'000, 0.2);
  EXPECT_DOUBLE_EQ(remaining_weight(c, WeightDecay::linear, 1'000'000), 0.6);
  EXPECT_NEAR(remaining_weight(c, WeightDecay::linear, 1'999'999), 0.2, 1e-6);
}

TEST(RemainingWeight, HalvesWithEachObjectiveButNotBelowTheWeightAtTheDeadline) {
  const ClassSettings c = class_with(1'000'000, 9'000'000, 0.2);
  EXPECT_DOUBLE_EQ(remaining_weight(c, WeightDecay::half_life, 1'000'000), 0.5);
  EXPECT_DOUBLE_EQ(remaining_weight(c, WeightDecay::half_life, 2'000'000), 0.25);
  EXPECT_DOUBLE_EQ(remaining_weight(c, WeightDecay::half_life, 5'000'000), 0.2);
}

TEST(Priority, UrgencyIsTheLossOfOneMoreShortestObjectiveAndATenthOfTheWeight) {
  Settings settings;
  settings.classes = {class_with(2'000'000, 6'000'000, 0), class_with(1'000'000, 3'000'000, 0)};
  const Priority priority(settings);
  EXPECT_EQ(priority.shortest_objective_s(), 1);
  const WeightCurve curve{settings.classes.data(), 8, 10'000'000};
  EXPECT_DOUBLE_EQ(priority.weight(curve, 11'000'000), 6);
  EXPECT_DOUBLE_EQ(priority.urgency(curve, 11'000'000), 6 - 4 + 0.6);
  EXPECT_DOUBLE_EQ(priority.urgency(curve, 5'000'000), 0.8);
}

TEST(Priority, EachOrderGroupHasThePhasesOfItsClass) {
  Settings settings;
  settings.classes = {class_with(2'000'000, 6'000'000, 0), class_with(1'000'000, 1'000'000, 0)};
  const Priority priority(settings);
  const auto phases = priority.phases_by_group();
  std::set<std::size_t> groups;
  for (const int message_class : {0, 1}) {
    const auto expected =
        order_phases(settings.classes[static_cast<std::size_t>(message_class)], settings.decay, 1'000'000);
    for (const bool over_quota : {false, true})
      for (const bool unattempted : {false, true}) {
        const std::size_t group = Priority::order_group(message_class, over_quota, unattempted);
        groups.insert(group);
        ASSERT_LT(group, phases.size());
        EXPECT_EQ(phases[group].size(), expected.size());
      }
  }
  EXPECT_EQ(groups.size(), phases.size());
}

TEST(OrderPhases, OrderMessagesAsTheirUrgencyDoes) {
  std::mt19937_64 random(1);
  std::size_t compared = 0;
  for (int i = 0; i < 300; i++) {
    ClassSettings c;
    c.weight_at_deadline = static_cast<double>(random() % 12) / 10;
    c.latency_objective = static_cast<Microseconds>(1 + random() % 2'000) * 1'000;
    c.deadline = random() % 8 == 0
                     ? c.latency_objective / 2
                     : c.latency_objective + static_cast<Microseconds>(random() % 6'000) * 1'000;
    const auto decay = random() % 2 == 0 ? WeightDecay::linear : WeightDecay::half_life;
    const auto ahead =
        static_cast<Microseconds>(random() % static_cast<std::uint64_t>(c.latency_objective / 1'000 + 1)) *
        1'000;
    const auto phases = order_phases(c, decay, ahead);
    ASSERT_FALSE(phases.empty());
    for (std::size_t p = 0; p < phases.size(); p++) {
      const Microseconds from = p == 0 ? phases[p].from / 1'000 : phases[p].from;
      const Microseconds until = p + 1 < phases.size() ? phases[p + 1].from : phases[p].from + 10'000'000;
      const Microseconds low = p == 0 ? until - 10'000'000 : from;
      ASSERT_LT(low, until);
      for (int j = 0; j < 50; j++) {
        const auto span = static_cast<std::uint64_t>(until - low);
        Microseconds a = low + static_cast<Microseconds>(random() % span),
                     b = low + static_cast<Microseconds>(random() % span);
        if (j == 0) a = low;  // both ends belong to it
        if (j == 1) b = until - 1;
        if (a == b) continue;
        if (a < b) std::swap(a, b);  // a's aim is the earlier one
        const double of_a = urgency(c, decay, a, ahead), of_b = urgency(c, decay, b, ahead);
        compared++;
        switch (phases[p].order) {
          case OrderPhase::Order::by_id:
            EXPECT_EQ(of_a, of_b) << "class " << i << " phase " << p << ": " << a << ", " << b;
            break;
          case OrderPhase::Order::earlier_objective:
            EXPECT_GT(of_a, of_b) << "class " << i << " phase " << p << ": " << a << ", " << b;
            break;
          case OrderPhase::Order::later_objective:
            EXPECT_LT(of_a, of_b) << "class " << i << " phase " << p << ": " << a << ", " << b;
            break;
        }
      }
    }
  }
  EXPECT_GT(compared, 10'000u);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

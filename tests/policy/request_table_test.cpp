#include "request_table.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

TEST(RequestTable, GivesTheSameRequestForAnIdUntilItIsErased) {
  RequestTable table;
  Request& request = table.add(5);
  EXPECT_EQ(request.id, 5U);
  EXPECT_EQ(&table.add(5), &request);
  EXPECT_EQ(table.find(5), &request);
  EXPECT_EQ(table.size(), 1U);
  table.erase(5);
  EXPECT_EQ(table.find(5), nullptr);
}

TEST(RequestTable, CountsWhatIsNotCompletedOnce) {
  RequestTable table;
  Request& first = table.add(1);
  table.add(2);
  EXPECT_EQ(table.uncompleted(), 2U);
  table.complete(first);
  table.complete(first);
  EXPECT_EQ(table.uncompleted(), 1U);
  EXPECT_EQ(table.size(), 2U);
  EXPECT_TRUE(first.completed);
}

}  // namespace
}  // namespace heronvane::dispatch::testing

// Recovers a folder that an earlier release wrote before it was killed: no request may be lost, and no
// non-idempotent one may run twice.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kStoredFolder = HERONVANE_STORED_FOLDER;

struct StoredRequest {
  std::string id;
  std::string message_class;
  int calls_before_kill = 0;

  bool delivered() const { return id.rfind("delivered", 0) == 0; }
  bool idempotent() const { return message_class == "load-status"; }
};

std::vector<StoredRequest> stored_requests() {
  std::ifstream file(kStoredFolder + "/requests.txt");
  std::vector<StoredRequest> requests;
  for (StoredRequest r; file >> r.id >> r.message_class >> r.calls_before_kill;) requests.push_back(r);
  return requests;
}

// Sets the relay's wall clock back to the time of the kill, so the outcome does not depend on today's date.
std::string clock_step_to_kill() {
  std::int64_t killed_at = 0;
  std::ifstream(kStoredFolder + "/killed_at") >> killed_at;
  const auto now =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
  return "[[step]]\nat_s = 0\nby_s = " + std::to_string(killed_at - now.count()) + ".0\n";
}

class StoredFolderTest : public RelayTest {
 protected:
  StoredFolderTest() {
    std::filesystem::copy(kStoredFolder + "/state", folder + "/state",
                          std::filesystem::copy_options::recursive);
    faults = clock_step_to_kill();
  }
  // Deadlines of 104 days: on the boot in which the folder was written, the persistent clock continues
  // without the clock step.
  std::string settings() override {
    std::string text = RelayTest::settings();
    for (const std::string from : {"\"Deadline\":6000000,", "\"Deadline\":24000000,"})
      text.replace(text.find(from), from.size(), "\"Deadline\":9000000000000,");
    return text;
  }
  bool settled(const StoredRequest& r) const { return calls_of(r.id) > 0 || ended(r.id); }
};

TEST_F(StoredFolderTest, RecoversTheFolderOfAKilledEarlierRelease) {
  const std::vector<StoredRequest> requests = stored_requests();
  ASSERT_EQ(requests.size(), 28u);
  start();
  wait_for(
      [&] {
        return std::all_of(requests.begin(), requests.end(),
                           [&](const StoredRequest& r) { return r.delivered() || settled(r); });
      },
      "each held request is delivered or ended");
  for (const StoredRequest& r : requests) {
    SCOPED_TRACE(r.id);
    const bool possibly_executed = r.calls_before_kill > 0;
    if (r.delivered() || (possibly_executed && !r.idempotent())) {
      EXPECT_EQ(calls_of(r.id), 0);
    } else {
      EXPECT_EQ(calls_of(r.id), 1);
    }
    EXPECT_EQ(ended(r.id), !r.delivered() && possibly_executed && !r.idempotent());
    EXPECT_EQ(hand_in(r.id, r.message_class, "body of " + r.id, "8000000000m"), 202u);
  }
  // None of the repeated requests causes a call: each is recognized.
  ASSERT_EQ(hand_in("new", "pay-and-order"), 202u);
  wait_for([&] { return calls_of("new") == 1; }, "a new request is delivered");
  for (const StoredRequest& r : requests) EXPECT_LE(calls_of(r.id), 1) << r.id;
}

}  // namespace
}  // namespace heronvane::testing

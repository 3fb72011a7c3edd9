// Answers that arrive late on kept connections, over networks of different length.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;

const std::string kUnsafe = "pay-and-order";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kFull = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// How far away a server is, and how much later than its answer a second copy of it arrives.
struct Distance {
  milliseconds round_trip, copy_delay;
};

class ReuseTest : public RelayTest, public ::testing::WithParamInterface<Distance> {
 protected:
  // Writes `text` after `delay`.
  void write_later(const std::shared_ptr<Session>& session, milliseconds delay, const std::string& text) {
    const auto timer = std::make_shared<net::steady_timer>(io, delay);
    timer->async_wait([timer, session, text](error_code) { session->write(text); });
  }
};

// Guards against a second copy of an answer that ends the next message on its connection, which is then
// neither delivered nor ended.
TEST_P(ReuseTest, ALateSecondCopyEndsNoOtherMessage) {
  const auto [round_trip, copy_delay] = GetParam();
  std::size_t calls = 0;
  endpoint.on_request([&, round_trip = round_trip, copy_delay = copy_delay](const Got& received) {
    calls++;
    const bool is_refused = received.request["X-Request-Id"] == "m2" && calls_of("m2") == 1;
    write_later(received.session, round_trip, is_refused ? kFull : kOk);
    if (calls == 1) write_later(received.session, round_trip + copy_delay, kOk);
  });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return calls == 1; }, "the first call");
  const auto answered = std::chrono::steady_clock::now() + round_trip + milliseconds(1);
  wait_for([&] { return std::chrono::steady_clock::now() >= answered; }, "its answer");
  EXPECT_EQ(hand_in("m2", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return calls_of("m2") == 2 || ended("m2"); }, "the refused message is sent again");
}

// Guards against a second copy of the platform's answer that confirms the next notices, which it has not
// taken.
TEST_P(ReuseTest, ALateSecondCopyConfirmsNoOtherNotice) {
  const auto [round_trip, copy_delay] = GetParam();
  const std::string taken = "HTTP/1.1 204 No Content\r\n\r\n";
  std::size_t posts = 0;
  endpoint.on_request([](const Got& received) { received.session->close(); });
  platform.on_request([&, round_trip = round_trip, copy_delay = copy_delay](const Got& received) {
    if (received.request.method() != http::verb::post) return on_platform(received);
    posts++;
    if (posts == 2) return write_later(received.session, round_trip, kFull);
    finals += received.request.body();
    write_later(received.session, round_trip, taken);
    if (posts == 1) write_later(received.session, round_trip + copy_delay, taken);
  });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return posts == 1; }, "the first notice");
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return ended("m2"); }, "the second notice is sent until it is taken");
}

INSTANTIATE_TEST_SUITE_P(Distances, ReuseTest,
                         ::testing::Values(Distance{milliseconds(40), milliseconds(20)},
                                           Distance{milliseconds(150), milliseconds(110)}),
                         [](const auto& distance) {
                           return "RoundTrip" + std::to_string(distance.param.round_trip.count()) + "ms";
                         });

}  // namespace
}  // namespace heronvane::testing

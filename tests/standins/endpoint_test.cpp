#include "standins/endpoint.hpp"

#include <vector>

#include "loopback.hpp"

namespace heronvane::standins {
namespace {

class EndpointTest : public ::testing::Test {
 protected:
  Endpoint& make_endpoint(const Habits& habits) {
    EndpointOptions o;
    o.name = "s-1", o.habits = habits, o.seed = 1, o.idle = idle;
    o.now = [this] { return now; };
    o.ran = [this](const std::string& id) { effects.ran(id); };
    o.answered = [this](const std::string& id) { answered.push_back(id); };
    o.on_stage = followed;
    endpoint = std::make_unique<Endpoint>(io, o);
    return *endpoint;
  }
  std::shared_ptr<Caller> call(const std::string& target, const std::string& fields,
                               const std::string& body = "") {
    auto c = std::make_shared<Caller>(io, endpoint->address());
    c->call(target, fields, body);
    return c;
  }
  unsigned call_and_wait(const std::string& target, const std::string& fields, const std::string& body = "") {
    last = call(target, fields, body);
    run_until(
        io, [&] { return last->finished(); }, "an answer arrives or the connection ends");
    return last->answer ? last->answer->result_int() : 0;
  }
  static Habits habits_without_latency() {
    Habits h;
    h.median = 0;
    return h;
  }

  net::io_context io;
  Microseconds now = 0, idle = 5'000'000;
  Effects effects;
  std::vector<std::string> answered;
  std::function<void(const Call&, Stage, Microseconds until)> followed;
  std::unique_ptr<Endpoint> endpoint;
  std::shared_ptr<Caller> last;
};

TEST_F(EndpointTest, EachCallTakesEffectOnceAndIsAnswered) {
  auto& e = make_endpoint(habits_without_latency());
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: a1\r\n", "hello"), 200u);
  EXPECT_EQ(effects.times("a1"), 1u);
  run_until(
      io, [&] { return answered.size() == 1; }, "the answer is reported");
  EXPECT_EQ(e.counts().served, 1u);
  // A second call on the same connection.
  last->answer = nullptr;
  last->call("/events", "X-Request-Id: a1\r\n");
  run_until(
      io, [&] { return last->finished(); }, "the second answer arrives");
  EXPECT_EQ(effects.times("a1"), 2u);
  EXPECT_EQ(e.counts().connections, 1u);
}

// Guards against an outage between the write of an answer and the report of it: the relay would count a
// delivery that the endpoint never reported.
TEST_F(EndpointTest, ReportsAWrittenAnswerAlthoughAnOutageFollows) {
  std::vector<Stage> stages;
  followed = [&](const Call&, Stage stage, Microseconds) {
    stages.push_back(stage);
    if (stage == Stage::ran) boost::asio::post(io, [this] { endpoint->go_down(); });
  };
  make_endpoint(habits_without_latency());
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: a1\r\n"), 200u);
  EXPECT_EQ(stages, (std::vector<Stage>{Stage::came, Stage::ran, Stage::answered}));
}

TEST_F(EndpointTest, AnswersEachMessageOfABundle) {
  make_endpoint(habits_without_latency());
  EXPECT_EQ(call_and_wait("/events/bundle", "", R"([{"id":"a","body":""},{"id":"b","body":""}])"), 200u);
  EXPECT_EQ(last->answer->body(), R"([{"id":"a","state":"done"},{"id":"b","state":"done"}])");
  EXPECT_EQ(effects.times("a"), 1u);
  EXPECT_EQ(effects.times("b"), 1u);
}

TEST_F(EndpointTest, MalformedCallsTakeNoEffect) {
  auto& e = make_endpoint(habits_without_latency());
  EXPECT_EQ(call_and_wait("/events", ""), 400u);
  EXPECT_EQ(call_and_wait("/elsewhere", "X-Request-Id: a\r\n"), 404u);
  for (const char* body : {"", "[]", "{}", "[1]", R"([{"id":"a"},{"id":"a"}])", R"([{"id":""}])"})
    EXPECT_EQ(call_and_wait("/events/bundle", "", body), 400u) << body;
  std::string many = "[";
  for (int i = 0; i < 21; i++)
    many += std::string(i > 0 ? "," : "") + R"({"id":")" + std::to_string(i) + R"("})";
  EXPECT_EQ(call_and_wait("/events/bundle", "", many + "]"), 413u);
  EXPECT_EQ(effects.messages(), 0u);
  EXPECT_EQ(e.counts().malformed, 9u);
}

TEST_F(EndpointTest, RefusesAboveTheRateLimit) {
  auto h = habits_without_latency();
  h.limit_per_s = 4;
  auto& e = make_endpoint(h);
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: a\r\n"), 200u);
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: b\r\n"), 503u);
  now += 250'000;
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: b\r\n"), 200u);
  EXPECT_EQ(e.counts().refused, 1u);
}

TEST_F(EndpointTest, Answers429WithTheTimeToWait) {
  auto h = habits_without_latency();
  h.wait = {10'000'000, 2'000'000};
  auto& e = make_endpoint(h);
  now = 10'500'000;
  EXPECT_TRUE(e.waits());
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: a\r\n"), 429u);
  EXPECT_EQ((*last->answer)["X-Come-Back-Ms"], "1500");
  EXPECT_EQ(effects.times("a"), 0u);
  now = 12'000'000;
  EXPECT_EQ(call_and_wait("/events", "X-Request-Id: a\r\n"), 200u);
}

TEST_F(EndpointTest, WhileSilentHoldsTheConnectionUntilTheCallerEndsIt) {
  auto h = habits_without_latency();
  h.silent = {10'000'000, 2'000'000};
  auto& e = make_endpoint(h);
  now = 10'000'000;
  const auto c = call("/events", "X-Request-Id: a\r\n");
  run_until(
      io, [&] { return e.counts().silent == 1; }, "the call is taken");
  EXPECT_TRUE(e.silent());
  EXPECT_FALSE(c->finished());
  c->socket.shutdown(tcp::socket::shutdown_send);
  run_until(
      io, [&] { return c->finished(); }, "its connection ends");
  EXPECT_EQ(c->answer, nullptr);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, FailedAndResetCallsMayTakeEffect) {
  auto h = habits_without_latency();
  h.error_share = 1;
  make_endpoint(h);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(call_and_wait("/events", "X-Request-Id: e" + std::to_string(i) + "\r\n"), 500u);
  EXPECT_GT(effects.messages(), 0u);
  EXPECT_LT(effects.messages(), 20u);
  h.error_share = 0, h.reset_share = 1;
  auto& e = make_endpoint(h);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(call_and_wait("/events", "X-Request-Id: r" + std::to_string(i) + "\r\n"), 0u);
  EXPECT_EQ(last->broken, net::error::connection_reset);
  EXPECT_EQ(e.counts().reset, 20u);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, CallTakesEffectAlthoughTheCallerDisconnected) {
  auto h = habits_without_latency();
  h.median = 20'000, h.spread = 0;
  auto& e = make_endpoint(h);
  const auto c = call("/events", "X-Request-Id: a\r\n");
  run_until(
      io, [&] { return e.counts().calls == 1; }, "the call is taken");
  c->socket.close();
  run_until(
      io, [&] { return e.counts().given_up == 1; }, "the call takes effect after its connection ended");
  EXPECT_EQ(effects.times("a"), 1u);
  EXPECT_EQ(e.counts().served, 0u);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, ClosesIdleConnections) {
  idle = 20'000;
  make_endpoint(habits_without_latency());
  const auto c = std::make_shared<Caller>(io, endpoint->address());
  bool ended = false;
  char byte;
  c->socket.async_read_some(net::buffer(&byte, 1),
                            [&](error_code error, std::size_t) { ended = bool(error); });
  run_until(
      io, [&] { return ended; }, "the connection is closed");
}

TEST_F(EndpointTest, DestructionClosesConnections) {
  auto h = habits_without_latency();
  h.median = 60'000'000, h.spread = 0;
  auto& e = make_endpoint(h);
  const auto c = call("/events", "X-Request-Id: a\r\n");
  run_until(
      io, [&] { return e.counts().calls == 1; }, "the call is taken");
  endpoint.reset();
  run_until(
      io, [&] { return c->finished(); }, "the connection ends");
  EXPECT_TRUE(c->broken);
}

}  // namespace
}  // namespace heronvane::standins

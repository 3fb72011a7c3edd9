#include "standins/endpoint.hpp"

#include <vector>

#include "world.hpp"

namespace heronvane::standins {
namespace {

class EndpointTest : public ::testing::Test {
 protected:
  Endpoint& make(const Habits& habits) {
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
  unsigned ask(const std::string& target, const std::string& fields, const std::string& body = "") {
    last = call(target, fields, body);
    turn_until(
        io, [&] { return last->over(); }, "an answer, or the connection's end");
    return last->answer ? last->answer->result_int() : 0;
  }
  static Habits quick() {
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

TEST_F(EndpointTest, OneMessageTakesEffectOnceAndIsAnswered) {
  auto& e = make(quick());
  EXPECT_EQ(ask("/events", "X-Request-Id: a1\r\n", "hello"), 200u);
  EXPECT_EQ(effects.times("a1"), 1u);
  turn_until(
      io, [&] { return answered.size() == 1; }, "the answer is told");
  EXPECT_EQ(e.counts().served, 1u);
  // The same connection takes the next.
  last->answer = nullptr;
  last->call("/events", "X-Request-Id: a1\r\n");
  turn_until(
      io, [&] { return last->over(); }, "the second answer");
  EXPECT_EQ(effects.times("a1"), 2u);
  EXPECT_EQ(e.counts().connections, 1u);
}

// Guards against an outage between the write of an answer and the note of it: the caller has a delivery that
// nobody accounts for.
TEST_F(EndpointTest, AnAnswerThatHasLeftIsToldThoughAnOutageBeginsBehindIt) {
  std::vector<Stage> stages;
  followed = [&](const Call&, Stage stage, Microseconds) {
    stages.push_back(stage);
    if (stage == Stage::ran) boost::asio::post(io, [this] { endpoint->go_down(); });
  };
  make(quick());
  EXPECT_EQ(ask("/events", "X-Request-Id: a1\r\n"), 200u);
  EXPECT_EQ(stages, (std::vector<Stage>{Stage::came, Stage::ran, Stage::answered}));
}

TEST_F(EndpointTest, ABundleIsAnsweredOneByOne) {
  make(quick());
  EXPECT_EQ(ask("/events/bundle", "", R"([{"id":"a","body":""},{"id":"b","body":""}])"), 200u);
  EXPECT_EQ(last->answer->body(), R"([{"id":"a","state":"done"},{"id":"b","state":"done"}])");
  EXPECT_EQ(effects.times("a"), 1u);
  EXPECT_EQ(effects.times("b"), 1u);
}

TEST_F(EndpointTest, WhatCantBeReadRunsNot) {
  auto& e = make(quick());
  EXPECT_EQ(ask("/events", ""), 400u);
  EXPECT_EQ(ask("/elsewhere", "X-Request-Id: a\r\n"), 404u);
  for (const char* body : {"", "[]", "{}", "[1]", R"([{"id":"a"},{"id":"a"}])", R"([{"id":""}])"})
    EXPECT_EQ(ask("/events/bundle", "", body), 400u) << body;
  std::string many = "[";
  for (int i = 0; i < 21; i++)
    many += std::string(i > 0 ? "," : "") + R"({"id":")" + std::to_string(i) + R"("})";
  EXPECT_EQ(ask("/events/bundle", "", many + "]"), 413u);
  EXPECT_EQ(effects.messages(), 0u);
  EXPECT_EQ(e.counts().malformed, 9u);
}

TEST_F(EndpointTest, AboveTheLimitItRefuses) {
  auto h = quick();
  h.limit_per_s = 4;
  auto& e = make(h);
  EXPECT_EQ(ask("/events", "X-Request-Id: a\r\n"), 200u);
  EXPECT_EQ(ask("/events", "X-Request-Id: b\r\n"), 503u);
  now += 250'000;
  EXPECT_EQ(ask("/events", "X-Request-Id: b\r\n"), 200u);
  EXPECT_EQ(e.counts().refused, 1u);
}

TEST_F(EndpointTest, ATimeToComeBackIsTold) {
  auto h = quick();
  h.wait = {10'000'000, 2'000'000};
  auto& e = make(h);
  now = 10'500'000;
  EXPECT_TRUE(e.waits());
  EXPECT_EQ(ask("/events", "X-Request-Id: a\r\n"), 429u);
  EXPECT_EQ((*last->answer)["X-Come-Back-Ms"], "1500");
  EXPECT_EQ(effects.times("a"), 0u);
  now = 12'000'000;
  EXPECT_EQ(ask("/events", "X-Request-Id: a\r\n"), 200u);
}

TEST_F(EndpointTest, SilentItAnswersNothingUntilItIsGivenUp) {
  auto h = quick();
  h.silent = {10'000'000, 2'000'000};
  auto& e = make(h);
  now = 10'000'000;
  const auto c = call("/events", "X-Request-Id: a\r\n");
  turn_until(
      io, [&] { return e.counts().silent == 1; }, "the call is taken");
  EXPECT_TRUE(e.silent());
  EXPECT_FALSE(c->over());
  c->socket.shutdown(tcp::socket::shutdown_send);
  turn_until(
      io, [&] { return c->over(); }, "its connection ends");
  EXPECT_EQ(c->answer, nullptr);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, ErrorsAndResetsMayHaveRun) {
  auto h = quick();
  h.error_share = 1;
  make(h);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(ask("/events", "X-Request-Id: e" + std::to_string(i) + "\r\n"), 500u);
  EXPECT_GT(effects.messages(), 0u);
  EXPECT_LT(effects.messages(), 20u);
  h.error_share = 0, h.reset_share = 1;
  auto& e = make(h);
  for (int i = 0; i < 20; i++) EXPECT_EQ(ask("/events", "X-Request-Id: r" + std::to_string(i) + "\r\n"), 0u);
  EXPECT_EQ(last->broken, net::error::connection_reset);
  EXPECT_EQ(e.counts().reset, 20u);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, WhatBeganTakesEffectThoughItsCallerLeft) {
  auto h = quick();
  h.median = 20'000, h.spread = 0;
  auto& e = make(h);
  const auto c = call("/events", "X-Request-Id: a\r\n");
  turn_until(
      io, [&] { return e.counts().calls == 1; }, "the call is taken");
  c->socket.close();
  turn_until(
      io, [&] { return e.counts().given_up == 1; }, "it is done for nobody");
  EXPECT_EQ(effects.times("a"), 1u);
  EXPECT_EQ(e.counts().served, 0u);
  EXPECT_TRUE(answered.empty());
}

TEST_F(EndpointTest, SilentConnectionsAreClosed) {
  idle = 20'000;
  make(quick());
  const auto c = std::make_shared<Caller>(io, endpoint->address());
  bool ended = false;
  char byte;
  c->socket.async_read_some(net::buffer(&byte, 1), [&](error_code bad, std::size_t) { ended = bool(bad); });
  turn_until(
      io, [&] { return ended; }, "the connection is closed");
}

TEST_F(EndpointTest, ItsEndBreaksItsConnections) {
  auto h = quick();
  h.median = 60'000'000, h.spread = 0;
  auto& e = make(h);
  const auto c = call("/events", "X-Request-Id: a\r\n");
  turn_until(
      io, [&] { return e.counts().calls == 1; }, "the call is taken");
  endpoint.reset();
  turn_until(
      io, [&] { return c->over(); }, "the connection ends");
  EXPECT_TRUE(c->broken);
}

}  // namespace
}  // namespace heronvane::standins

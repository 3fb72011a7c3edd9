#include "standins/clients.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "world.hpp"

namespace heronvane::standins {
namespace {

// A relay as clients see it: answers each request as it is told to.
class FakeRelay {
 public:
  using Request = http::request<http::string_body>;
  // What is written; "" and the connection is closed, "-" and nothing ever comes.
  using Handler = std::function<std::string(const Request&)>;
  FakeRelay(net::io_context& io, Handler handler)
      : acceptor_(io, {net::ip::address_v4::loopback(), 0}), handler_(std::move(handler)) {
    accept();
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void shut() { acceptor_.close(); }
  void close_kept() {
    for (const auto& s : sessions_) s->socket.close();
    sessions_.clear();
  }
  std::vector<Request> got;
  int connections = 0;

 private:
  struct Session {
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
  };
  void accept() {
    acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
      if (bad) return;
      connections++;
      sessions_.push_back(std::make_shared<Session>(std::move(socket)));
      read(sessions_.back());
      accept();
    });
  }
  void read(const std::shared_ptr<Session>& s) {
    s->request = {};
    http::async_read(s->socket, s->buffer, s->request, [this, s](error_code bad, std::size_t) {
      if (bad) return;
      got.push_back(s->request);
      const auto answer = handler_(s->request);
      error_code ignored;
      if (answer.empty()) return void(s->socket.close(ignored));
      if (answer != "-") net::write(s->socket, net::buffer(answer), ignored);
      read(s);
    });
  }
  tcp::acceptor acceptor_;
  Handler handler_;
  std::vector<std::shared_ptr<Session>> sessions_;
};

std::string answer(unsigned status, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

class ClientsTest : public ::testing::Test {
 protected:
  ClientsOptions options(const std::vector<tcp::endpoint>& relays, double per_s = 500) {
    ClientsOptions o;
    for (const auto& r : relays) o.relays.push_back({"n" + std::to_string(o.relays.size()), r});
    o.plan.per_s = per_s;
    o.plan.classes = {{"load-status", 1, 60'000'000}};
    o.plan.tenants = {"north"};
    o.plan.destinations = {{7, 1}};
    o.seed = 3;
    o.patience = 30'000'000;  // unless a test is about it
    o.on_try = [this](const Message& m) { sent.push_back(m.id); };
    o.on_try_result = [this](const Message&, std::size_t, TryResult h) { heard[h]++; };
    return o;
  }
  void until_over(Clients& c, std::uint64_t handed) {
    turn_until(
        io, [&] { return c.counts().handed >= handed; }, "so many are handed in");
    c.stop();
    turn_until(
        io, [&] { return c.counts().out == 0; }, "nothing is out");
    const auto& n = c.counts();
    EXPECT_EQ(n.handed, n.taken + n.refused + n.failed + n.silence);
  }
  net::io_context io;
  std::vector<std::string> sent;
  std::map<TryResult, int> heard;
};

TEST_F(ClientsTest, HandsInOverKeptConnections) {
  FakeRelay a(io, [](const auto&) { return answer(202); }), b(io, [](const auto&) { return answer(202); });
  Clients c(io, options({a.address(), b.address()}));
  c.start();
  until_over(c, 100);
  EXPECT_EQ(c.counts().taken, c.counts().handed);
  EXPECT_NEAR(static_cast<double>(a.got.size()), static_cast<double>(b.got.size()), 1);
  EXPECT_LT(static_cast<std::size_t>(a.connections + b.connections), a.got.size() + b.got.size());
  EXPECT_EQ(c.relay(0).taken, a.got.size());
  EXPECT_GE(c.relay(0).latencies.quantile(0, 0.5), 0);
  const auto& r = a.got.front();
  EXPECT_EQ(r.target(), "/load-status");
  EXPECT_EQ(r["X-Class"], "load-status");
  EXPECT_EQ(r["X-Tenant"], "north");
  EXPECT_EQ(r["X-Consignee"], "dest=7");
  EXPECT_EQ(r["X-Deadline"].back(), 'm');
  EXPECT_EQ(r["X-Retry"], "");
  EXPECT_EQ(r.body().size(), 200u);
  EXPECT_EQ(std::set<std::string>(sent.begin(), sent.end()).size(), sent.size());
}

TEST_F(ClientsTest, ARetryIsMarkedAndWaitsAsTold) {
  int n = 0;
  FakeRelay r(io, [&](const auto&) { return ++n == 1 ? answer(429, "Retry-After: 0.2\r\n") : answer(202); });
  Clients c(io, options({r.address()}, 0.5));
  const auto begun = std::chrono::steady_clock::now();
  c.start();
  turn_until(
      io, [&] { return c.counts().taken == 1; }, "it is taken on");
  EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(200));
  ASSERT_EQ(r.got.size(), 2u);
  EXPECT_EQ(r.got[0]["X-Retry"], "");
  EXPECT_EQ(r.got[1]["X-Retry"], "1");
  EXPECT_NE(r.got[0]["X-Request-Id"], r.got[1]["X-Request-Id"]);
}

TEST_F(ClientsTest, AnotherRelayTakesWhatOneRefuses) {
  FakeRelay full(io, [](const auto&) { return answer(503, "Retry-After: 5\r\n"); }),
      good(io, [](const auto&) { return answer(202); });
  Clients c(io, options({full.address(), good.address()}));
  c.start();
  until_over(c, 100);
  EXPECT_EQ(c.counts().taken + c.counts().refused, c.counts().handed);
  EXPECT_GT(c.counts().taken, 90u);
  // It is passed over meanwhile, not asked for each message.
  EXPECT_LT(full.got.size(), 20u);
}

TEST_F(ClientsTest, TriesEnd) {
  FakeRelay full(io, [](const auto&) { return answer(503, "Retry-After: 0\r\n"); });
  Clients c(io, options({full.address()}, 0.5));
  c.start();
  turn_until(
      io, [&] { return c.counts().refused == 1; }, "the message is given up");
  EXPECT_EQ(full.got.size(), 4u);
  EXPECT_EQ(c.counts().refusals, 4u);
}

TEST_F(ClientsTest, ARelayThatIsNotThereIsPassedOver) {
  FakeRelay good(io, [](const auto&) { return answer(202); });
  tcp::endpoint nobody;
  {
    tcp::acceptor a(io, {net::ip::address_v4::loopback(), 0});
    nobody = a.local_endpoint();
  }
  Clients c(io, options({nobody, good.address()}));
  c.start();
  until_over(c, 50);
  EXPECT_GT(c.counts().taken, 40u);
  EXPECT_EQ(c.counts().silence, 0u);
  EXPECT_GT(c.relay(0).unreached, 0u);
}

TEST_F(ClientsTest, NoAnswerInTimeIsNoRefusal) {
  FakeRelay mute(io, [](const auto&) { return "-"; });
  auto o = options({mute.address()}, 100);
  o.patience = 20'000;
  Clients c(io, o);
  c.start();
  until_over(c, 3);
  // What the relay may have taken on is not handed in again.
  EXPECT_EQ(c.counts().silence, c.counts().handed);
  EXPECT_EQ(c.counts().tries, c.counts().handed);
}

TEST_F(ClientsTest, OneThatEndsInPlaceOfAnAnswerIsNoRefusal) {
  FakeRelay dying(io, [](const auto&) { return ""; });
  Clients c(io, options({dying.address()}, 0.5));
  c.start();
  turn_until(
      io, [&] { return c.counts().silence == 1; }, "the end is seen");
  EXPECT_EQ(dying.got.size(), 1u);
}

TEST_F(ClientsTest, AKeptConnectionThatEndedIsReplaced) {
  FakeRelay r(io, [](const auto&) { return answer(202); });
  Clients c(io, options({r.address()}, 50));
  c.start();
  turn_until(
      io, [&] { return c.counts().taken >= 3; }, "some are taken on");
  turn_until(
      io, [&] { return c.counts().out == 0; }, "nothing is out");
  r.close_kept();
  const auto before = c.counts().taken;
  turn_until(
      io, [&] { return c.counts().taken >= before + 3; }, "more are taken on");
  EXPECT_EQ(c.counts().silence, 0u);
}

// Over a kept connection a relay that is killed may have taken on what it did not answer.
TEST_F(ClientsTest, OneThatEndsOnAKeptConnectionMayHaveTakenIt) {
  FakeRelay* relay = nullptr;
  FakeRelay dying(io, [&](const auto&) {
    if (relay->got.size() == 1) return answer(202);
    relay->shut();
    return std::string();
  });
  relay = &dying;
  Clients c(io, options({dying.address()}, 20));
  c.start();
  turn_until(
      io, [&] { return dying.got.size() == 2; }, "it has ended");
  c.stop();
  turn_until(
      io, [&] { return c.counts().out == 0; }, "nothing is out");
  EXPECT_EQ(heard[TryResult::silence], 1);
}

TEST_F(ClientsTest, ARefusalOfOneSentBeforeSaysNothingOfThat) {
  int n = 0;
  FakeRelay r(io, [&](const auto&) { return ++n == 1 ? answer(202) : n == 2 ? "" : answer(503); });
  Clients c(io, options({r.address()}, 20));
  c.start();
  turn_until(
      io, [&] { return n >= 3 && c.counts().silence + c.counts().refusals > 0; }, "it is answered");
  EXPECT_EQ(c.counts().silence, 1u);
}

TEST_F(ClientsTest, AnotherAnswerIsAFailure) {
  FakeRelay r(io, [](const auto&) { return answer(404); });
  Clients c(io, options({r.address()}));
  c.start();
  until_over(c, 5);
  EXPECT_EQ(c.counts().failed, c.counts().handed);
  EXPECT_EQ(heard[TryResult::failed], static_cast<int>(c.counts().handed));
}

TEST_F(ClientsTest, ItsEndLeavesNothingBehind) {
  FakeRelay mute(io, [](const auto&) { return "-"; });
  {
    Clients c(io, options({mute.address()}));
    c.start();
    turn_until(
        io, [&] { return mute.got.size() >= 3; }, "some are out");
  }
  const auto before = heard.size();
  mute.shut();
  mute.close_kept();
  io.restart();
  io.run_for(std::chrono::milliseconds(20));
  EXPECT_EQ(heard.size(), before);
  EXPECT_THROW(Clients(io, options({})), std::invalid_argument);
}

}  // namespace
}  // namespace heronvane::standins

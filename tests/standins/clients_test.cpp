#include "standins/clients.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "loopback.hpp"

namespace heronvane::standins {
namespace {

// A relay that answers each request with what the handler returns.
class FakeRelay {
 public:
  using Request = http::request<http::string_body>;
  // Returns the answer to write; "" closes the connection, "-" leaves the request unanswered.
  using Handler = std::function<std::string(const Request&)>;
  FakeRelay(net::io_context& io, Handler handler)
      : acceptor_(io, {net::ip::address_v4::loopback(), 0}), handler_(std::move(handler)) {
    accept();
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void stop_listening() { acceptor_.close(); }
  void close_connections() {
    for (const auto& s : sessions_) s->socket.close();
    sessions_.clear();
  }
  std::vector<Request> requests;
  int connections = 0;

 private:
  struct Session {
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
  };
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      connections++;
      sessions_.push_back(std::make_shared<Session>(std::move(socket)));
      read(sessions_.back());
      accept();
    });
  }
  void read(const std::shared_ptr<Session>& s) {
    s->request = {};
    http::async_read(s->socket, s->buffer, s->request, [this, s](error_code error, std::size_t) {
      if (error) return;
      requests.push_back(s->request);
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
    o.answer_timeout = 30'000'000;  // long, except in the tests of the timeout
    o.on_try = [this](const Message& m) { sent.push_back(m.id); };
    o.on_try_result = [this](const Message&, std::size_t, TryResult h) { results[h]++; };
    return o;
  }
  void run_until_finished(Clients& c, std::uint64_t handed) {
    run_until(
        io, [&] { return c.counts().handed >= handed; }, "enough messages are handed in");
    c.stop();
    run_until(
        io, [&] { return c.counts().out == 0; }, "no message is pending");
    const auto& n = c.counts();
    EXPECT_EQ(n.handed, n.taken + n.refused + n.failed + n.silence);
  }
  net::io_context io;
  std::vector<std::string> sent;
  std::map<TryResult, int> results;
};

TEST_F(ClientsTest, ReusesConnections) {
  FakeRelay a(io, [](const auto&) { return answer(202); }), b(io, [](const auto&) { return answer(202); });
  Clients c(io, options({a.address(), b.address()}));
  c.start();
  run_until_finished(c, 100);
  EXPECT_EQ(c.counts().taken, c.counts().handed);
  EXPECT_NEAR(static_cast<double>(a.requests.size()), static_cast<double>(b.requests.size()), 1);
  EXPECT_LT(static_cast<std::size_t>(a.connections + b.connections), a.requests.size() + b.requests.size());
  EXPECT_EQ(c.relay(0).taken, a.requests.size());
  EXPECT_GE(c.relay(0).latencies.quantile(0, 0.5), 0);
  const auto& r = a.requests.front();
  EXPECT_EQ(r.target(), "/load-status");
  EXPECT_EQ(r["X-Class"], "load-status");
  EXPECT_EQ(r["X-Tenant"], "north");
  EXPECT_EQ(r["X-Consignee"], "dest=7");
  EXPECT_EQ(r["X-Deadline"].back(), 'm');
  EXPECT_EQ(r["X-Retry"], "");
  EXPECT_EQ(r.body().size(), 200u);
  EXPECT_EQ(std::set<std::string>(sent.begin(), sent.end()).size(), sent.size());
}

TEST_F(ClientsTest, RetryIsMarkedAndWaitsForRetryAfter) {
  int n = 0;
  FakeRelay r(io, [&](const auto&) { return ++n == 1 ? answer(429, "Retry-After: 0.2\r\n") : answer(202); });
  Clients c(io, options({r.address()}, 0.5));
  const auto start = std::chrono::steady_clock::now();
  c.start();
  run_until(
      io, [&] { return c.counts().taken == 1; }, "the message is taken");
  EXPECT_GE(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(200));
  ASSERT_EQ(r.requests.size(), 2u);
  EXPECT_EQ(r.requests[0]["X-Retry"], "");
  EXPECT_EQ(r.requests[1]["X-Retry"], "1");
  EXPECT_NE(r.requests[0]["X-Request-Id"], r.requests[1]["X-Request-Id"]);
}

TEST_F(ClientsTest, RefusedMessagesGoToAnotherRelay) {
  FakeRelay full(io, [](const auto&) { return answer(503, "Retry-After: 5\r\n"); }),
      good(io, [](const auto&) { return answer(202); });
  Clients c(io, options({full.address(), good.address()}));
  c.start();
  run_until_finished(c, 100);
  EXPECT_EQ(c.counts().taken + c.counts().refused, c.counts().handed);
  EXPECT_GT(c.counts().taken, 90u);
  // The refusing relay is avoided for a while, not tried for each message.
  EXPECT_LT(full.requests.size(), 20u);
}

TEST_F(ClientsTest, StopsAfterTheMaximumNumberOfTries) {
  FakeRelay full(io, [](const auto&) { return answer(503, "Retry-After: 0\r\n"); });
  Clients c(io, options({full.address()}, 0.5));
  c.start();
  run_until(
      io, [&] { return c.counts().refused == 1; }, "the message is given up");
  EXPECT_EQ(full.requests.size(), 4u);
  EXPECT_EQ(c.counts().refusals, 4u);
}

TEST_F(ClientsTest, AvoidsAnUnreachableRelay) {
  FakeRelay good(io, [](const auto&) { return answer(202); });
  tcp::endpoint unused_address;
  {
    tcp::acceptor a(io, {net::ip::address_v4::loopback(), 0});
    unused_address = a.local_endpoint();
  }
  Clients c(io, options({unused_address, good.address()}));
  c.start();
  run_until_finished(c, 50);
  EXPECT_GT(c.counts().taken, 40u);
  EXPECT_EQ(c.counts().silence, 0u);
  EXPECT_GT(c.relay(0).unreached, 0u);
}

TEST_F(ClientsTest, AnswerTimeoutIsCountedAsSilence) {
  FakeRelay silent_relay(io, [](const auto&) { return "-"; });
  auto o = options({silent_relay.address()}, 100);
  o.answer_timeout = 20'000;
  Clients c(io, o);
  c.start();
  run_until_finished(c, 3);
  // A message that the relay may have taken is not handed in again.
  EXPECT_EQ(c.counts().silence, c.counts().handed);
  EXPECT_EQ(c.counts().tries, c.counts().handed);
}

TEST_F(ClientsTest, ConnectionClosedWithoutAnswerIsCountedAsSilence) {
  FakeRelay dying(io, [](const auto&) { return ""; });
  Clients c(io, options({dying.address()}, 0.5));
  c.start();
  run_until(
      io, [&] { return c.counts().silence == 1; }, "the closed connection is noticed");
  EXPECT_EQ(dying.requests.size(), 1u);
}

TEST_F(ClientsTest, ReplacesAnIdleConnectionThatTheRelayClosed) {
  FakeRelay r(io, [](const auto&) { return answer(202); });
  Clients c(io, options({r.address()}, 50));
  c.start();
  run_until(
      io, [&] { return c.counts().taken >= 3; }, "three messages are taken");
  run_until(
      io, [&] { return c.counts().out == 0; }, "no message is pending");
  r.close_connections();
  const auto before = c.counts().taken;
  run_until(
      io, [&] { return c.counts().taken >= before + 3; }, "three more messages are taken");
  EXPECT_EQ(c.counts().silence, 0u);
}

// A relay that is killed may have taken a message that it read over a reused connection and did not answer.
TEST_F(ClientsTest, ReusedConnectionClosedWithoutAnswerIsCountedAsSilence) {
  FakeRelay* relay = nullptr;
  FakeRelay dying(io, [&](const auto&) {
    if (relay->requests.size() == 1) return answer(202);
    relay->stop_listening();
    return std::string();
  });
  relay = &dying;
  Clients c(io, options({dying.address()}, 20));
  c.start();
  run_until(
      io, [&] { return dying.requests.size() == 2; }, "the second request has arrived");
  c.stop();
  run_until(
      io, [&] { return c.counts().out == 0; }, "no message is pending");
  EXPECT_EQ(results[TryResult::silence], 1);
}

TEST_F(ClientsTest, RefusalAfterAResendIsCountedAsSilence) {
  int n = 0;
  FakeRelay r(io, [&](const auto&) { return ++n == 1 ? answer(202) : n == 2 ? "" : answer(503); });
  Clients c(io, options({r.address()}, 20));
  c.start();
  run_until(
      io, [&] { return n >= 3 && c.counts().silence + c.counts().refusals > 0; }, "a result is counted");
  EXPECT_EQ(c.counts().silence, 1u);
}

TEST_F(ClientsTest, OtherStatusIsCountedAsFailure) {
  FakeRelay r(io, [](const auto&) { return answer(404); });
  Clients c(io, options({r.address()}));
  c.start();
  run_until_finished(c, 5);
  EXPECT_EQ(c.counts().failed, c.counts().handed);
  EXPECT_EQ(results[TryResult::failed], static_cast<int>(c.counts().handed));
}

TEST_F(ClientsTest, NoCallbackRunsAfterDestruction) {
  FakeRelay silent_relay(io, [](const auto&) { return "-"; });
  {
    Clients c(io, options({silent_relay.address()}));
    c.start();
    run_until(
        io, [&] { return silent_relay.requests.size() >= 3; }, "three requests have arrived");
  }
  const auto before = results.size();
  silent_relay.stop_listening();
  silent_relay.close_connections();
  io.restart();
  io.run_for(std::chrono::milliseconds(20));
  EXPECT_EQ(results.size(), before);
  EXPECT_THROW(Clients(io, options({})), std::invalid_argument);
}

}  // namespace
}  // namespace heronvane::standins

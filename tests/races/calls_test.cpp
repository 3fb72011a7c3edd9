// Calls to endpoints where two events meet: what a bundle's messages have left, late and stray bytes, resets.
#include <algorithm>
#include <set>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class CallsCrossingTest : public RelayTest {
 protected:
  // The ids of a bundle's body, in their order.
  static std::vector<std::string> ids_of(const std::string& body) {
    std::vector<std::string> ids;
    const std::string name = "\"id\":\"";
    for (auto at = body.find(name); at != std::string::npos; at = body.find(name, at)) {
      at += name.size();
      ids.push_back(body.substr(at, body.find('"', at) - at));
    }
    return ids;
  }
  // The endpoint s-1 as nothing but a listener, whose queue holds no more than one connection.
  tcp::acceptor bare_endpoint() {
    tcp::acceptor there(io);
    there.open(tcp::v4());
    there.bind({net::ip::make_address(own_address()), 0});
    there.listen(0);
    there.non_blocking(true);
    members = member("s-1", own_address() + ":" + std::to_string(there.local_endpoint().port()));
    return there;
  }
  // Connections that fill its queue: no other comes up there until they are closed. Not before the relay is
  // started, which would inherit them.
  std::vector<tcp::socket> crowd_at(const tcp::acceptor& there) {
    std::vector<tcp::socket> crowd;
    for (int i = 0; i < 3; i++) {
      crowd.emplace_back(io);
      crowd.back().async_connect(there.local_endpoint(), [](error_code) {});
    }
    return crowd;
  }
  // Tells a wait on the first call, so that all that is handed in until its end goes in one bundle.
  // Those named as `safe` may be repeated.
  std::shared_ptr<Session> bundle_of(const std::vector<std::pair<std::string, std::string>>& messages,
                                     const std::set<std::string>& safe = {}) {
    std::shared_ptr<Session> session;
    bool told = false;
    endpoint.on_request([&, this](const Got& g) {
      if (g.request.target() == "/events/bundle") {
        bundle = g.request;
        session = g.session;
        return;
      }
      g.session->answer(200, told ? "" : "X-Come-Back-Ms: 800\r\n");
      told = true;
    });
    EXPECT_EQ(hand_in("m0", kSafe), 202u);
    wait_for([&] { return told; }, "the wait is told");
    for (const auto& [id, left] : messages)
      EXPECT_EQ(hand_in(id, safe.contains(id) ? kSafe : kUnsafe, "hello", left), 202u);
    wait_for([&] { return session != nullptr; }, "the bundle");
    return session;
  }
  Request bundle;
};

// An endpoint may take the time of a call's first message for that of the call. Guards against answers that
// such an endpoint gives after that time, to a call that the relay still waits for: they count for nothing
// there, and the messages behind the first one would end as delivered here.
TEST_F(CallsCrossingTest, NoMessageOfABundleOutlivesItsFirst) {
  members = member("s-1", endpoint.address(), "ready", "big");
  start();
  const auto session =
      bundle_of({{"a", "2500m"}, {"b", "6000m"}, {"c", "3000m"}, {"d", "5000m"}, {"e", "2700m"}});
  EXPECT_EQ(ids_of(bundle.body()), (std::vector<std::string>{"b", "d", "c", "e", "a"}));
  // Those with less time end by their notices meanwhile; what comes while the first one has time counts.
  wait_for([&] { return finals.find("\"a\"") != std::string::npos; },
           "the one with the least time is given up");
  session->answer(200, "",
                  R"([{"id":"b","state":"done"},{"id":"d","state":"done"},{"id":"c","state":"done"},)"
                  R"({"id":"e","state":"done"},{"id":"a","state":"done"}])");
  wait_for([&] { return logged().find("stopping") == std::string::npos && hand_in("b", kUnsafe) == 202u; },
           "the relay answers on");
  send_signal(child, SIGTERM);
  wait_exit();
  EXPECT_NE(logged().find("stopped: 0 messages left"), std::string::npos) << logged();
  EXPECT_EQ(finals.find("\"b\""), std::string::npos) << "delivered, so nothing is owed";
  EXPECT_EQ(finals.find("\"d\""), std::string::npos);
}

// Where the settings allow no second copies: a message of a bundle whose own time is up stays in its call
// while another one keeps that open. Guards against a retry beside it, which is a second copy.
TEST_F(CallsCrossingTest, NoMessageOfABundleIsSentAgainWhileItsCallIsOut) {
  members = member("s-1", endpoint.address(), "ready", "big");
  start();
  endpoint.on_request(stay_silent);
  const auto session = bundle_of({{"lasting", "9000m"}, {"brief", "9000m"}}, {"brief"});
  int calls = 0;
  bool beside = false;
  const auto is_out = [&] {
    char byte = 0;
    return ::recv(session->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  };
  Server other(io, [&](const Got& g) {
    calls++;
    beside = beside || is_out();
    g.session->answer(200);
  });
  tell(list(member("s-2", other.address(), "ready", "big"), false));
  wait_for([&] { return calls > 0 || !is_out(); }, "the brief one's time is up");
  EXPECT_FALSE(beside) << "sent again while its first call was out";
  wait_for([&] { return calls > 0 || ended("brief"); }, "its end");
  EXPECT_FALSE(beside);
}

// The answer and the end of the call's time meet: the process stood still over both.
TEST_F(CallsCrossingTest, AnAnswerThatIsHereWhenItsTimeIsUpCounts) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  send_signal(child, SIGSTOP);
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(child), &info, WSTOPPED);
  endpoint.got[0].session->answer(200);
  // Past the time of the call, two and a half aims, and short of the message's.
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(3000);
  wait_for([&] { return std::chrono::steady_clock::now() >= until; }, "its time is up");
  send_signal(child, SIGCONT);
  endpoint.on_request(answer_ok);
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() >= 2; }, "the next call");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(logged().find("stopped: 0 messages left"), std::string::npos) << logged();
  ASSERT_EQ(endpoint.got.size(), 2u) << "m1 was delivered, and is not sent again";
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m2");
}

// Its connection comes up a second late: the endpoint is told what is left, not what there was when it was
// sent. Guards against work that an endpoint ends for a caller that is gone.
TEST_F(CallsCrossingTest, ALateConnectionIsToldTheTimeThatIsLeft) {
  tcp::acceptor there = bare_endpoint();
  start();
  // No connection comes up there until the crowd is taken away.
  auto crowd = crowd_at(there);
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  const auto taken_on = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - taken_on > std::chrono::milliseconds(300); },
           "the first try for its connection is over");
  for (auto& one : crowd) one.close();
  std::string got;
  tcp::socket call(io);
  bool open = false, ended = false;
  // What has come by now.
  const auto look = [&] {
    error_code bad;
    if (!open) open = !there.accept(call, bad);
    for (char bytes[512]; open && !ended;) {
      call.non_blocking(true);
      const auto size = call.read_some(net::buffer(bytes), bad);
      if (bad == net::error::would_block) return;
      got.append(bytes, size);
      ended = bad && !got.empty();
      if (!bad || ended) continue;
      call = tcp::socket(io);  // one of the crowd
      open = !there.accept(call, bad);
    }
  };
  wait_for([&] { return look(), got.find("hello") != std::string::npos; }, "the call");
  const auto begun = std::chrono::steady_clock::now();
  const std::string name = "X-Deadline: ";
  const auto told = std::chrono::microseconds(std::stol(got.substr(got.find(name) + name.size())));
  wait_for([&] { return look(), ended; }, "the relay gives it up");
  const auto waited = std::chrono::steady_clock::now() - begun;
  EXPECT_GT(waited + std::chrono::milliseconds(400), told);
  EXPECT_GT(begun - taken_on, std::chrono::milliseconds(700)) << "it came up late";
}

// Its connection comes up, and its time is up, while the relay stands still: whichever it hears of first,
// nothing is written.
TEST_F(CallsCrossingTest, AConnectionThatComesUpInTheMomentTheTimeIsUpIsNotUsed) {
  tcp::acceptor there = bare_endpoint();
  start();
  auto crowd = crowd_at(there);
  EXPECT_EQ(hand_in("m1", kSafe, "hello", "1000m"), 202u);
  std::vector<tcp::socket> accepted;
  // Those of the crowd go; the relay's comes up with its second try, a second after the first.
  const auto accept = [&] {
    error_code bad;
    for (tcp::socket next(io); !there.accept(next, bad); next = tcp::socket(io))
      accepted.push_back(std::move(next));
  };
  const auto taken_on = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - taken_on > std::chrono::milliseconds(300); },
           "the first try for its connection is over");
  for (auto& one : crowd) one.close();
  accept();
  stop_for(std::chrono::milliseconds(1100), accept);
  std::string late;
  wait_for([&] { return !finals.empty(); }, "its end");
  accept();
  wait_for(
      [&] {
        // Until the other side of each is gone.
        return std::all_of(accepted.begin(), accepted.end(), [&](tcp::socket& one) {
          char bytes[512];
          error_code end;
          one.non_blocking(true);
          late.append(bytes, one.read_some(net::buffer(bytes), end));
          return end && end != net::error::would_block;
        });
      },
      "all connections end");
  EXPECT_EQ(late, "");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

class KeyWindowTest : public CallsCrossingTest {
 protected:
  std::string settings() override {
    std::string s = CallsCrossingTest::settings();
    const std::string unsafe = R"("Idempotency":"non_idempotent")";
    return s.replace(s.find(unsafe), unsafe.size(), R"("Idempotency":"idempotency_key","Window":800000)");
  }
};

// The call that may have run is repeated in time, but its connection comes up late: by then the destination
// may have forgotten the key. Nothing is written on it.
TEST_F(KeyWindowTest, ACallWhoseConnectionComesUpBehindTheWindowIsNotMade) {
  tcp::acceptor there = bare_endpoint();
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  tcp::socket first(io);
  const auto accepts = [&](tcp::socket& socket) {
    error_code bad;
    there.accept(socket, bad);
    return !bad;
  };
  wait_for([&] { return accepts(first); }, "the first call's connection");
  std::string got;
  net::read_until(first, net::dynamic_buffer(got), "hello");
  // From now on no connection comes up there, until the crowd is taken away.
  auto crowd = crowd_at(there);
  first.set_option(net::socket_base::linger(true, 0));
  first.close();
  const auto reset = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - reset > std::chrono::milliseconds(850); },
           "the window is over");
  for (auto& one : crowd) one.close();
  std::string late;
  wait_for(
      [&] {
        for (tcp::socket next(io); accepts(next);) {
          error_code end;
          net::read(next, net::dynamic_buffer(late), end);
        }
        return !finals.empty();
      },
      "its end");
  EXPECT_EQ(late, "") << "nothing is written on a connection that came up too late";
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace heronvane::testing

// Races in calls to endpoints: timeouts of a bundle's messages, late connections, answers at the timeout.
#include <algorithm>
#include <set>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class CallsRaceTest : public RelayTest {
 protected:
  // The ids in a bundle's body, in order.
  static std::vector<std::string> ids_of(const std::string& body) {
    std::vector<std::string> ids;
    const std::string name = "\"id\":\"";
    for (auto at = body.find(name); at != std::string::npos; at = body.find(name, at)) {
      at += name.size();
      ids.push_back(body.substr(at, body.find('"', at) - at));
    }
    return ids;
  }
  // Makes endpoint s-1 a listener that accepts nothing and whose backlog holds one connection.
  tcp::acceptor bare_endpoint() {
    tcp::acceptor listener(io);
    listener.open(tcp::v4());
    listener.bind({net::ip::make_address(own_address()), 0});
    listener.listen(0);
    listener.non_blocking(true);
    members = member("s-1", own_address() + ":" + std::to_string(listener.local_endpoint().port()));
    return listener;
  }
  // Connections that fill its backlog: no other can be established until they are closed. To be called after
  // the relay's start, which would inherit them.
  std::vector<tcp::socket> fill_backlog(const tcp::acceptor& listener) {
    std::vector<tcp::socket> backlog;
    for (int i = 0; i < 3; i++) {
      backlog.emplace_back(io);
      backlog.back().async_connect(listener.local_endpoint(), [](error_code) {});
    }
    return backlog;
  }
  // Requests a wait with the answer to the first call, so that all messages submitted during the wait go out
  // in one bundle. Those in `safe` may be retried.
  std::shared_ptr<Session> bundle_of(const std::vector<std::pair<std::string, std::string>>& messages,
                                     const std::set<std::string>& safe = {}) {
    std::shared_ptr<Session> session;
    bool wait_requested = false;
    endpoint.on_request([&, this](const Got& received) {
      if (received.request.target() == "/events/bundle") {
        bundle = received.request;
        session = received.session;
        return;
      }
      received.session->answer(200, wait_requested ? "" : "X-Come-Back-Ms: 800\r\n");
      wait_requested = true;
    });
    EXPECT_EQ(hand_in("m0", kSafe), 202u);
    wait_for([&] { return wait_requested; }, "the wait is requested");
    for (const auto& [id, left] : messages)
      EXPECT_EQ(hand_in(id, safe.contains(id) ? kSafe : kUnsafe, "hello", left), 202u);
    wait_for([&] { return session != nullptr; }, "the bundle");
    return session;
  }
  Request bundle;
};

// An endpoint may treat the timeout of a call's first message as that of the whole call. Guards against
// answers that such an endpoint sends after that timeout: it treats the call as failed, but the relay would
// count the later messages as delivered.
TEST_F(CallsRaceTest, TheFirstMessageOfABundleHasTheLongestTimeout) {
  members = member("s-1", endpoint.address(), "ready", "big");
  start();
  const auto session =
      bundle_of({{"a", "2500m"}, {"b", "6000m"}, {"c", "3000m"}, {"d", "5000m"}, {"e", "2700m"}});
  EXPECT_EQ(ids_of(bundle.body()), (std::vector<std::string>{"b", "d", "c", "e", "a"}));
  // Messages with shorter timeouts end with notices meanwhile; an answer within the first one's timeout
  // counts.
  wait_for([&] { return finals.find("\"a\"") != std::string::npos; },
           "the message with the shortest timeout is given up");
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

// Without hedging, a message of a bundle whose own timeout has passed stays in its call while another message
// keeps the call open. Guards against a retry in parallel with that call.
TEST_F(CallsRaceTest, NoMessageOfABundleIsRetriedWhileItsCallIsInFlight) {
  members = member("s-1", endpoint.address(), "ready", "big");
  start();
  endpoint.on_request(stay_silent);
  const auto session = bundle_of({{"lasting", "9000m"}, {"brief", "9000m"}}, {"brief"});
  int calls = 0;
  bool in_parallel = false;
  const auto is_in_flight = [&] {
    char byte = 0;
    return ::recv(session->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  };
  Server other(io, [&](const Got& received) {
    calls++;
    in_parallel = in_parallel || is_in_flight();
    received.session->answer(200);
  });
  tell(list(member("s-2", other.address(), "ready", "big"), false));
  wait_for([&] { return calls > 0 || !is_in_flight(); }, "the short timeout has passed");
  EXPECT_FALSE(in_parallel) << "retried while its first call was in flight";
  wait_for([&] { return calls > 0 || ended("brief"); }, "its end");
  EXPECT_FALSE(in_parallel);
}

// Guards against a connection out of step: an answer that leaves out a message of its call may be that of
// another call, whose own answer would then end the next one.
TEST_F(CallsRaceTest, AConnectionIsNotReusedAfterABundleAnswerThatNamesOtherMessages) {
  members = member("s-1", endpoint.address(), "ready", "big");
  start();
  const auto session = bundle_of({{"a", "9000m"}, {"b", "9000m"}});
  session->answer(200, "", R"([{"id":"a","state":"done"},{"id":"other","state":"done"}])");
  wait_for([&] { return ended("b"); }, "the message that is left out may have been processed");
  endpoint.on_request(answer_ok);
  EXPECT_EQ(hand_in("next", kUnsafe), 202u);
  wait_for([&] { return calls_of("next") == 1; }, "the next call");
  EXPECT_NE(endpoint.got.back().session, session);
}

// The process is suspended while both the answer arrives and the call's timeout passes.
TEST_F(CallsRaceTest, AnAnswerThatArrivedBeforeTheTimeoutIsHandledCounts) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  send_signal(child, SIGSTOP);
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(child), &info, WSTOPPED);
  endpoint.got[0].session->answer(200);
  // Longer than the call's timeout (2.5 times the target of the class) and shorter than the message's
  // deadline.
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(3000);
  wait_for([&] { return std::chrono::steady_clock::now() >= until; }, "its timeout has passed");
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

// The connection is established a second late: the call carries the time left, not the time at its start.
// Guards against work that an endpoint completes for a caller that has given up.
TEST_F(CallsRaceTest, ACallOnALateConnectionCarriesTheTimeLeft) {
  tcp::acceptor listener = bare_endpoint();
  start();
  // No connection can be established until the backlog is emptied.
  auto backlog = fill_backlog(listener);
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  const auto accepted_at = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - accepted_at > std::chrono::milliseconds(300); },
           "the first connect attempt is over");
  for (auto& socket : backlog) socket.close();
  std::string got;
  tcp::socket call(io);
  bool open = false, ended = false;
  // Reads what has arrived, without waiting.
  const auto read_available = [&] {
    error_code bad;
    if (!open) open = !listener.accept(call, bad);
    for (char bytes[512]; open && !ended;) {
      call.non_blocking(true);
      const auto size = call.read_some(net::buffer(bytes), bad);
      if (bad == net::error::would_block) return;
      got.append(bytes, size);
      ended = bad && !got.empty();
      if (!bad || ended) continue;
      call = tcp::socket(io);  // one of the backlog's
      open = !listener.accept(call, bad);
    }
  };
  wait_for([&] { return read_available(), got.find("hello") != std::string::npos; }, "the call");
  const auto begun = std::chrono::steady_clock::now();
  const std::string name = "X-Deadline: ";
  const auto time_left = std::chrono::microseconds(std::stol(got.substr(got.find(name) + name.size())));
  wait_for([&] { return read_available(), ended; }, "the relay gives the call up");
  const auto waited = std::chrono::steady_clock::now() - begun;
  EXPECT_GT(waited + std::chrono::milliseconds(400), time_left);
  EXPECT_GT(begun - accepted_at, std::chrono::milliseconds(700)) << "the connection was not late";
}

// The connection is established and the timeout passes while the relay is suspended: whichever event it
// handles first, nothing is written.
TEST_F(CallsRaceTest, AConnectionEstablishedAtTheTimeoutIsNotUsed) {
  tcp::acceptor listener = bare_endpoint();
  start();
  auto backlog = fill_backlog(listener);
  EXPECT_EQ(hand_in("m1", kSafe, "hello", "1000m"), 202u);
  std::vector<tcp::socket> accepted;
  // The backlog is emptied; the relay's connection is established by its second SYN, a second after the
  // first.
  const auto accept = [&] {
    error_code bad;
    for (tcp::socket next(io); !listener.accept(next, bad); next = tcp::socket(io))
      accepted.push_back(std::move(next));
  };
  const auto accepted_at = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - accepted_at > std::chrono::milliseconds(300); },
           "the first connect attempt is over");
  for (auto& socket : backlog) socket.close();
  accept();
  stop_for(std::chrono::milliseconds(1100), accept);
  std::string late;
  wait_for([&] { return !finals.empty(); }, "its end");
  accept();
  wait_for(
      [&] {
        // Read until the other side closes.
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

class KeyWindowTest : public CallsRaceTest {
 protected:
  std::string settings() override {
    std::string s = CallsRaceTest::settings();
    const std::string unsafe = R"("Idempotency":"non_idempotent")";
    return s.replace(s.find(unsafe), unsafe.size(), R"("Idempotency":"idempotency_key","Window":800000)");
  }
};

// A call that may have been processed is retried in time, but its connection is established late: by then the
// destination may have forgotten the idempotency key. Nothing is written.
TEST_F(KeyWindowTest, NoCallOnAConnectionEstablishedAfterTheKeyWindow) {
  tcp::acceptor listener = bare_endpoint();
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  tcp::socket first(io);
  const auto accepts = [&](tcp::socket& socket) {
    error_code bad;
    listener.accept(socket, bad);
    return !bad;
  };
  wait_for([&] { return accepts(first); }, "the first call's connection");
  std::string got;
  net::read_until(first, net::dynamic_buffer(got), "hello");
  // From now on no connection can be established until the backlog is emptied.
  auto backlog = fill_backlog(listener);
  first.set_option(net::socket_base::linger(true, 0));
  first.close();
  const auto reset = std::chrono::steady_clock::now();
  wait_for([&] { return std::chrono::steady_clock::now() - reset > std::chrono::milliseconds(850); },
           "the window is over");
  for (auto& socket : backlog) socket.close();
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
  EXPECT_EQ(late, "") << "written on a connection that was established too late";
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace heronvane::testing

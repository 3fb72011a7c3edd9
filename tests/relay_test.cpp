// End-to-end tests of the relay over loopback sockets.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

TEST_F(RelayTest, DeliversAMessageOnce) {
  start();
  const std::string body("\0\x01 any bytes \xff", 14);
  EXPECT_EQ(hand_in("m1", kSafe, body), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
  const Request& call = endpoint.got[0].request;
  EXPECT_EQ(call.target(), "/events");
  EXPECT_EQ(call["X-Request-Id"], "m1");
  EXPECT_EQ(call.body(), body);
  EXPECT_EQ(call["X-Deadline"].back(), 'u');
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(finals, "");
}

TEST_F(RelayTest, ReusesItsConnectionToAnEndpoint) {
  start();
  for (int i = 0; i < 5; i++) {
    EXPECT_EQ(hand_in("m" + std::to_string(i), kSafe), 202u);
    wait_for([&] { return endpoint.got.size() == static_cast<std::size_t>(i) + 1; }, "the call");
  }
  EXPECT_EQ(endpoint.sessions.size(), 1u);
}

// A request written to an idle connection that the endpoint has closed would count as a reset and end an
// unsafe message.
TEST_F(RelayTest, DoesNotUseAConnectionThatTheEndpointClosed) {
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  endpoint.sessions[0]->close();
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.sessions.size(), 2u);
  EXPECT_EQ(finals, "");
}

TEST_F(RelayTest, AMessageSubmittedTwiceIsDeliveredOnce) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() >= 2; }, "both calls");
  EXPECT_NE(endpoint.got[0].request["X-Request-Id"], endpoint.got[1].request["X-Request-Id"]);
}

// The body of an error answer names the reason, for people who send requests by hand; an answer to HEAD has
// no body.
TEST_F(RelayTest, RejectionsNameTheReason) {
  start();
  const auto why = [this](const std::string& bytes) {
    const auto client = connect();
    client->write(bytes);
    wait_for([&] { return client->ended || !client->answers.empty(); }, "an answer");
    return client->answers.empty() ? "no answer" : client->answers[0].body();
  };
  const std::string end = "Content-Length: 0\r\n\r\n";
  EXPECT_EQ(why("POST /load-status HTTP/1.1\r\n" + end), "no usable X-Request-Id\n");
  EXPECT_EQ(why("POST /unheard-of HTTP/1.1\r\n" + end), "the path names no known class\n");
  EXPECT_EQ(why("POST /load-status HTTP/1.1\r\nX-Request-Id: m1\r\nX-Consignee: dest=7\r\n" + end),
            "no usable X-Deadline, or over twice its class's\n");
  EXPECT_EQ(why("POST /load-status HTTP/1.1\r\nX-Request-Id: m1\r\nX-Deadline: 9m\r\n" + end),
            "no usable dest in X-Consignee\n");
  const auto client = connect();
  client->write("HEAD /load-status HTTP/1.1\r\n\r\n");
  wait_for([&] { return client->ended; }, "its end");
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].body(), "");
}

// Any invalid input is answered or dropped, and the next message is served as usual.
TEST_F(RelayTest, InvalidInputIsRejected) {
  start();
  EXPECT_EQ(ask("NONSENSE\r\n\r\n"), 400u);
  EXPECT_EQ(ask("POST /load-status HTTP/1.1\r\nContent-Length: banana\r\n\r\n"), 400u);
  EXPECT_EQ(ask("POST /load-status HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"),
            400u);  // without the X- headers
  EXPECT_EQ(ask("POST /unheard-of HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"), 404u);
  EXPECT_EQ(ask("GET /load-status HTTP/1.1\r\n\r\n"), 405u);
  EXPECT_EQ(hand_in("m1", kSafe, "x", "soon"), 400u);
  EXPECT_EQ(hand_in("m1", kSafe, "x", "-5m"), 400u);
  EXPECT_EQ(hand_in("m1", kSafe, std::string(65 * 1024, 'x')), 413u);
  EXPECT_EQ(ask("GET /_health HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), 400u);
  connect()->write("POST /load-status HT");  // never completed
  const auto half = connect();
  half->write(request("m2", kSafe).substr(0, 80));
  half->end_sending();
  wait_for([&] { return half->ended; }, "the incomplete request is dropped");
  EXPECT_EQ(hand_in("m3", kSafe, std::string(64 * 1024, 'x')), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
  EXPECT_EQ(endpoint.got[0].request["X-Request-Id"], "m3");
}

TEST_F(RelayTest, AClientThatShutDownSendingIsAnswered) {
  start();
  const auto client = connect();
  client->write(request("m1", kSafe));
  client->end_sending();
  wait_for([&] { return !client->answers.empty(); }, "the answer");
  EXPECT_EQ(client->answers[0].result_int(), 202u);
}

TEST_F(RelayTest, AnswersExpectContinue) {
  start();
  const auto client = connect();
  std::string head = request("m1", kSafe);
  head.insert(head.find("Content-Length"), "Expect: 100-continue\r\n");
  client->write(head.substr(0, head.size() - 5));
  wait_for([&] { return !client->answers.empty(); }, "100");
  EXPECT_EQ(client->answers[0].result_int(), 100u);
  client->write("hello");
  wait_for([&] { return client->answers.size() == 2; }, "202");
  EXPECT_EQ(client->answers[1].result_int(), 202u);
}

// At the limit of open messages, clients are rejected at once.
TEST_F(RelayTest, RefusesAtTheOpenLimit) {
  endpoint.on_request(stay_silent);
  start();
  int taken = 0, refused = 0;
  for (int i = 0; i < 60; i++) {
    const auto status = hand_in("m" + std::to_string(i), kUnsafe, "x", "24000m");
    taken += status == 202;
    refused += status == 503;
  }
  EXPECT_EQ(taken + refused, 60);
  EXPECT_GT(refused, 0);
  EXPECT_GE(taken, 30);
}

// An unsafe call that may have been processed is neither retried nor rejected: it ends with one notice.
TEST_F(RelayTest, AnUnsafeMessageIsNotRetriedAfterAReset) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return !finals.empty(); }, "the notice");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.got.size(), 1u);
}

TEST_F(RelayTest, AnUnsafeMessageIsRetriedAfterAFailedConnect) {
  // Bound but not listening: connects are refused.
  tcp::socket closed(io);
  closed.open(tcp::v4());
  closed.bind({net::ip::make_address(own_address()), 0});
  const auto port_of = std::to_string(closed.local_endpoint().port());
  members = member("s-1", own_address() + ":" + port_of);
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return logged().find("closed s-1: no connection") != std::string::npos; }, "connects fail");
  members = member("s-1", endpoint.address());  // the same endpoint at another address
  tell(list(members));
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
  EXPECT_EQ(finals, "");
}

TEST_F(RelayTest, ARequestedWaitIsObserved) {
  std::vector<steady_clock::time_point> at;
  endpoint.on_request([&](const Got& received) {
    at.push_back(steady_clock::now());
    at.size() == 1 ? received.session->answer(429, "X-Come-Back-Ms: 1200\r\n")
                   : received.session->answer(200);
  });
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return at.size() == 1; }, "the first call");
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
  wait_for([&] { return at.size() == 3; }, "all calls");
  EXPECT_GE(at[1] - at[0], milliseconds(1200));
}

// Any answer may request a wait, including one that delivers.
TEST_F(RelayTest, AWaitRequestedWithADeliveryIsObserved) {
  std::vector<steady_clock::time_point> at;
  endpoint.on_request([&](const Got& received) {
    at.push_back(steady_clock::now());
    received.session->answer(200, at.size() == 1 ? "X-Come-Back-Ms: 1200\r\n" : "");
  });
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return at.size() == 1; }, "the first call");
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
  wait_for([&] { return at.size() == 2; }, "the second call");
  EXPECT_GE(at[1] - at[0], milliseconds(1200));
}

// Each message of a bundle has its own outcome; one that is missing in the answer may have been processed.
TEST_F(RelayTest, EachMessageOfABundleHasItsOwnOutcome) {
  members = member("s-1", endpoint.address(), "ready", "big");
  std::map<std::string, int> seen;
  endpoint.on_request([&](const Got& received) {
    if (received.request.target() != "/events/bundle") {
      seen[std::string(received.request["X-Request-Id"])]++;
      return received.session->answer(
          200, received.request["X-Request-Id"] == "m0" ? "X-Come-Back-Ms: 1500\r\n" : "");
    }
    std::string answer = "[";
    for (const std::string id : {"m1", "m2", "m3"}) {
      if (received.request.body().find("\"id\":\"" + id + "\",\"body\":\"aGVsbG8=\"") == std::string::npos)
        continue;
      seen[id]++;
      if (id == "m3") continue;
      answer += std::string(answer.size() > 1 ? "," : "") + R"({"id":")" + id + R"(","state":")" +
                (id == "m1" ? "done" : "busy") + "\"}";
    }
    received.session->answer(200, "", answer + "]");
  });
  start();
  // The requested wait holds the messages back, so that they go out in one bundle when it ends.
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return seen["m0"] == 1; }, "the wait is requested");
  for (const std::string id : {"m1", "m2", "m3"}) EXPECT_EQ(hand_in(id, kUnsafe), 202u);
  wait_for([&] { return seen["m1"] >= 1 && seen["m2"] >= 2 && !finals.empty(); },
           "each message has its outcome");
  EXPECT_EQ(seen["m1"], 1);
  EXPECT_EQ(seen["m2"], 2);
  EXPECT_EQ(seen["m3"], 1);
  EXPECT_EQ(finals, "{\"id\":\"m3\",\"status\":\"undeliverable\"}\n");
}

TEST_F(RelayTest, AMalformedAnswerCountsAsAReset) {
  int calls = 0;
  endpoint.on_request([&](const Got& received) {
    if (++calls > 1) return received.session->answer(200);
    received.session->write("\x01\x02 not HTTP\r\n\r\n");
    received.session->close();
  });
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return calls == 2; }, "it is sent again");
}

TEST_F(RelayTest, NoNewCallsGoToADrainingEndpoint) {
  Server other(io, answer_ok);
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  tell(list(member("s-1", endpoint.address(), "draining") + "," + member("s-2", other.address()), false));
  wait_for([&] { return endpoint.sessions[0]->ended; }, "its idle connection is closed");
  for (int i = 2; i < 6; i++) EXPECT_EQ(hand_in("m" + std::to_string(i), kSafe), 202u);
  wait_for([&] { return other.got.size() == 4; }, "the calls go elsewhere");
  EXPECT_EQ(endpoint.got.size(), 1u);
}

// After malformed data or the end of a watch a new one is opened; the last known list stays in use until
// then.
TEST_F(RelayTest, ABrokenWatchIsReopened) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  tell("{\"index\":\"what\"}");
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  watches.back()->close();
  wait_for([&] { return watches.size() == 3; }, "another watch");
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
}

// Guards against a list that becomes stale unnoticed because its watch's connection is open but silent.
TEST_F(RelayTest, ASilentWatchIsReopened) {
  beats = false;
  start();
  wait_for([&] { return watches.size() == 2; }, "a new watch after the silence");
  EXPECT_NE(logged().find("silent for too long"), std::string::npos);
}

TEST_F(RelayTest, ANoticeIsRetriedUntilThePlatformAcceptsIt) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  finals_status = 503;
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return refused_finals >= 2; }, "it is sent again");
  kill_relay();
  start();
  finals_status = 204;
  wait_for([&] { return !finals.empty(); }, "the next incarnation sends it, too");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.got.size(), 1u);
}

// A notice that the platform rejects as malformed is dropped and logged; the others are delivered.
TEST_F(RelayTest, AMalformedNoticeDoesNotBlockOthers) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  std::string accepted_notices;
  bool down = true;
  platform.on_request([&](const Got& received) {
    if (received.request.method() != http::verb::post) return on_platform(received);
    if (down) return received.session->answer(503);
    const bool unreadable = received.request.body().find("\"m1\"") != std::string::npos;
    if (!unreadable) accepted_notices += received.request.body();
    received.session->answer(unreadable ? 400 : 204);
  });
  start();
  for (const std::string id : {"m0", "m1", "m2"}) {
    EXPECT_EQ(hand_in(id, kUnsafe, "x", "24000m"), 202u);
    const auto before = endpoint.got.size();
    wait_for([&] { return endpoint.got.size() > before || endpoint.got.size() >= 3; }, "its call");
  }
  down = false;
  wait_for([&] { return std::count(accepted_notices.begin(), accepted_notices.end(), '\n') == 2; },
           "the others");
  EXPECT_EQ(accepted_notices.find("m1"), std::string::npos);
  wait_for([&] { return logged().find("answered 400 to {\"id\":\"m1\"") != std::string::npos; },
           "the line in the log");
}

// ---- Restarts. ----
// Killed at the limit of open messages: each message is sent by the next incarnation or ends with a notice,
// none twice.
TEST_F(RelayTest, ARestartWithManyPendingMessagesLosesNothing) {
  endpoint.on_request(stay_silent);
  start();
  int taken = 0;
  for (int i = 0; i < 60; i++)
    taken += hand_in("m" + std::to_string(i), kUnsafe, std::string(9000, 'x'), "24000m") == 202u;
  EXPECT_GE(taken, 30);
  wait_for([&] { return !endpoint.got.empty(); }, "some calls");
  std::map<std::string, int> sent;
  for (const auto& received : endpoint.got) sent[std::string(received.request["X-Request-Id"])]++;
  const auto before = static_cast<int>(sent.size());
  kill_relay();
  endpoint.on_request([&](const Got& received) {
    sent[std::string(received.request["X-Request-Id"])]++;
    received.session->answer(200);
  });
  start();
  wait_for([&] { return static_cast<int>(sent.size()) == taken; }, "the rest is sent");
  wait_for([&] { return std::count(finals.begin(), finals.end(), '\n') >= before; }, "the others' notices");
  for (const auto& [id, n] : sent) EXPECT_EQ(n, 1) << id;
}

TEST_F(RelayTest, AnUnsafeCallInFlightAtSigkillEndsAsFailed) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return !finals.empty(); }, "the notice");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the next message's call");
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m2");
}

TEST_F(RelayTest, ASafeCallInFlightAtSigkillIsRetried) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return endpoint.got.size() == 2; }, "the call again");
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m1");
  EXPECT_EQ(endpoint.got[1].request.body(), "hello");
  EXPECT_EQ(finals, "");
}

TEST_F(RelayTest, AMessageDueDuringDowntimeEndsAtOnce) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("m1", kSafe, "x", "300m"), 202u);
  kill_relay();
  const auto due = steady_clock::now() + milliseconds(300);
  wait_for([&] { return steady_clock::now() > due; }, "its time is up");
  const auto before = endpoint.got.size();
  start();
  wait_for([&] { return !finals.empty(); }, "the notice");
  EXPECT_EQ(endpoint.got.size(), before);
}

// After SIGTERM, calls in flight complete, clients are still served, and the process exits by itself.
TEST_F(RelayTest, DrainsAtSigterm) {
  endpoint.on_request(stay_silent);
  start();
  const auto client = connect();
  client->write(request("m1", kUnsafe));
  wait_for([&] { return client->answers.size() == 1 && endpoint.got.size() == 1; }, "the call");
  const auto began = steady_clock::now();
  send_signal(child, SIGTERM);
  wait_for([&] { return client->ended; }, "the idle client connection is closed");
  EXPECT_EQ(health(), 503u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the second call");
  for (const auto& received : endpoint.got) received.session->answer(200);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_LT(steady_clock::now() - began, milliseconds(3700));
  start();
  EXPECT_EQ(finals, "");
  EXPECT_EQ(endpoint.got.size(), 2u);
}

TEST_F(RelayTest, MessagesLeftAtSigtermAreResumed) {
  members = member("s-1", endpoint.address(), "draining") + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();  // nothing may be sent to destination 7
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 0u);
  members = member("s-1", endpoint.address());
  start();
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.got[0].request["X-Request-Id"], "m1");
}

// A journal that can't be written: clients are rejected at once, nothing is lost, and service resumes
// afterwards.
TEST_F(RelayTest, AnUnwritableJournalRefusesAndRecovers) {
  std::vector<std::string> called;
  endpoint.on_request([&](const Got& received) {
    called.emplace_back(received.request["X-Request-Id"]);
    received.session->answer(200);
  });
  largest_file = 4096;
  start();
  int taken = 0;
  while (taken < 100 && hand_in("m" + std::to_string(taken), kUnsafe, std::string(200, 'x')) == 202u) taken++;
  EXPECT_GT(taken, 1);
  ASSERT_LT(taken, 100);
  EXPECT_EQ(hand_in("late", kUnsafe), 503u);
  EXPECT_EQ(health(), 503u);
  const rlimit any{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &any, nullptr), 0);
  wait_for([&] { return health() == 200; }, "it can be written again");
  EXPECT_EQ(hand_in("after", kUnsafe), 202u);
  const auto was_called = [&](const std::string& id) { return std::count(called.begin(), called.end(), id); };
  wait_for([&] { return was_called("after") == 1; }, "the call");
  for (int i = 0; i < taken; i++) EXPECT_EQ(was_called("m" + std::to_string(i)), 1) << i;
  EXPECT_EQ(was_called("m" + std::to_string(taken)), 0) << "called although rejected";
  EXPECT_EQ(finals, "");
}

// Hundreds of endpoint ids and client connections, many endpoints at the address of a removed one: the
// process uses no more descriptors and memory at the end than after the first third.
TEST_F(RelayTest, ChurnLeaksNoMemoryOrDescriptors) {
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  std::size_t files = 0;
  [[maybe_unused]] long memory = 0;  // not checked under sanitizers
  for (int i = 0; i < 600; i++) {
    const std::string id = std::to_string(i);
    tell(list(member("e" + id, endpoint.address()) + "," +
                  (i == 0 ? member("s-1", endpoint.address(), "gone")
                          : member("e" + std::to_string(i - 1), endpoint.address(), "gone")),
              false));
    ASSERT_EQ(hand_in("m" + id, kSafe, std::string(2000, 'x')), 202u);
    let_clients_go();
    wait_for([&] { return endpoint.got.size() == static_cast<std::size_t>(i) + 1; }, "the call");
    if (HasFatalFailure()) return;
    if (i == 200) files = descriptors(), memory = resident();
  }
  EXPECT_LE(descriptors(), files + 4);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE(resident(), memory + 512);
#endif
}

// ---- Gossip between relays. ----
// A rejection is reported to the peers. Datagrams that are malformed, too long or not from a peer are
// ignored.
TEST_F(RelayTest, GossipGoesToPeersAndInvalidDatagramsAreDropped) {
  using udp = net::ip::udp;
  const auto here = net::ip::make_address(own_address());
  udp::socket peer(io, {here, 0}), broadcast(io, {here, 0}), outsider(io, {here, 0}), probe(io, {here, 0});
  const auto own = probe.local_endpoint();
  probe.close();
  const auto text = [](const udp::endpoint& e) {
    return "\"" + e.address().to_string() + ":" + std::to_string(e.port()) + "\"";
  };
  more = ",\"peer_listen\":" + text(own) + ",\"peers\":[" + text(own) + "," + text(peer.local_endpoint()) +
         "],\"peers_all\":" + text(broadcast.local_endpoint());
  int calls = 0;
  endpoint.on_request([&](const Got& received) { received.session->answer(++calls == 1 ? 503 : 200); });
  start();
  for (auto* from : {&peer, &outsider})
    for (const std::string& datagram :
         {std::string(""), std::string("1rno-such-endpoint"), std::string(400, '\xff')})
      from->send_to(net::buffer(datagram), own);
  std::array<char, 300> datagram{};
  std::size_t size = 0;
  udp::endpoint from;
  broadcast.async_receive_from(net::buffer(datagram), from, [&](error_code, std::size_t n) { size = n; });
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return size > 0; }, "the datagram");
  EXPECT_EQ(std::string(datagram.data(), size), "1rs-1");
  EXPECT_EQ(from, own);
  wait_for([&] { return calls == 2; }, "the call is made again");
}

// ---- Broken answers. ----
// After a broken answer whose status line is not 200 the call may have been processed, so its message ends
// there, and its connection is not used again although it stays open. A 200 status line delivers, even if
// garbage or an endless body follows; the call that waits for the rest ends soon.
TEST_F(RelayTest, BrokenAnswersFromAnEndpoint) {
  struct Case {
    const char* answer;
    bool delivered;
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nab", false},
      {"HTTP/1.1 503 X\r\nnoise\x01\r\n\r\n", false},
      {"HTTP/1.1 504 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false},
      {"HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false},
      {"\x01\x02\x03\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nX-No-End: a\r\n", true},
      {"HTTP/1.1 200 OK\r\nnoise\x01\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: x0=nan\r\nContent-Length: 0\r\n\r\n", true},
  };
  std::size_t calls = 0;
  endpoint.on_request([&](const Got& received) {
    const auto i = calls++ / 2;  // each broken answer is followed by a good one
    calls % 2 == 1 ? received.session->write(cases[i].answer) : received.session->answer(200);
  });
  start();
  std::string expected;
  for (std::size_t i = 0; i < cases.size(); i++) {
    const std::string id = "m" + std::to_string(i);
    EXPECT_EQ(hand_in(id, kUnsafe, "x", "24000m"), 202u);
    wait_for([&] { return calls == 2 * i + 1; }, "the call");
    if (!cases[i].delivered) expected += "{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n";
    wait_for([&] { return finals == expected; }, "the notices");
    EXPECT_EQ(hand_in("n" + std::to_string(i), kUnsafe, "x", "24000m"), 202u);
    wait_for([&] { return calls == 2 * i + 2; }, "the next call");
    EXPECT_EQ(endpoint.got.back().request["X-Request-Id"], "n" + std::to_string(i)) << cases[i].answer;
    EXPECT_EQ(endpoint.got[2 * i].session == endpoint.got[2 * i + 1].session, i + 1 == cases.size());
  }
  EXPECT_EQ(finals, expected);
}

// Guards against a second answer on a connection being read as the answer to the next call.
TEST_F(RelayTest, AStrayAnswerDoesNotAnswerTheNextCall) {
  std::size_t calls = 0;
  endpoint.on_request([&](const Got& received) {
    if (++calls == 1) return received.session->answer(200), received.session->answer(200);
    if (calls > 2) received.session->answer(200);
  });
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return calls == 1; }, "the first call");
  EXPECT_EQ(hand_in("m2", kSafe, "x", "6000m"), 202u);
  wait_for([&] { return calls >= 2; }, "the second call");
  endpoint.got[1].session->close();
  wait_for([&] { return calls == 3; }, "it had no answer, so it is sent again");
  EXPECT_EQ(endpoint.got[2].request["X-Request-Id"], "m2");
}

// An answer of 60,000 nested brackets, on which a recursive parser would overflow the stack.
TEST_F(RelayTest, ADeeplyNestedBundleAnswerDoesNotOverflowTheStack) {
  members = member("s-1", endpoint.address(), "ready", "big");
  int bundles = 0, calls = 0;
  endpoint.on_request([&](const Got& received) {
    if (received.request.target() != "/events/bundle")
      return received.session->answer(200, ++calls == 1 ? "X-Come-Back-Ms: 800\r\n" : "");
    received.session->answer(200, "", ++bundles == 1 ? std::string(60'000, '[') : "[]");
  });
  start();
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return calls == 1; }, "the wait is requested");
  for (const std::string id : {"m1", "m2"}) EXPECT_EQ(hand_in(id, kUnsafe), 202u);
  wait_for([&] { return std::count(finals.begin(), finals.end(), '\n') == 2; }, "both end with notices");
  EXPECT_EQ(health(), 200u);
}

// ---- Bad clients. ----
// Incomplete requests, silence and endless headers: each connection is closed within 3 s of its start.
TEST_F(RelayTest, SlowClientsAreDisconnectedInTime) {
  start();
  const auto began = steady_clock::now();
  std::vector<std::shared_ptr<Client>> bad;
  for (const std::string& bytes :
       {std::string(), std::string("POST /load-st"), std::string("POST /load-status HTTP/1.1\r\nX-A: b\r\n"),
        request("m1", kSafe).substr(0, request("m1", kSafe).size() - 2),
        std::string("POST /load-status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")}) {
    bad.push_back(connect());
    bad.back()->write(bytes);
  }
  wait_for([&] { return std::all_of(bad.begin(), bad.end(), [](const auto& c) { return c->ended; }); },
           "all are closed");
  EXPECT_LT(steady_clock::now() - began, milliseconds(2950));
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
}

// An invalid request is answered with an error and its connection is closed; input after it is not read as a
// request.
TEST_F(RelayTest, NothingAfterAnInvalidRequestIsAccepted) {
  start();
  wait_for([&] { return !watches.empty(); }, "the list is delivered");
  wait_for([&] { return hand_in("m0", kSafe) == 202u; }, "service");
  const std::string hidden = request("hidden", kUnsafe);
  const std::string both =
      "POST /load-status HTTP/1.1\r\nX-Request-Id: m1\r\nX-Deadline: 480m\r\n"
      "X-Consignee: dest=7\r\nContent-Length: " +
      std::to_string(hidden.size() + 5) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  std::string elsewhere = request("m2", kSafe);
  elsewhere.replace(elsewhere.find("dest=7"), 6, "dest=99");
  for (const auto& first :
       {both, elsewhere, request("m3", "no-such-class"), std::string("\x16\x03\x01\r\n\r\n")}) {
    const auto client = connect();
    client->write(first + hidden);
    wait_for([&] { return client->ended; }, "the end");
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_GE(client->answers[0].result_int(), 400u);
    EXPECT_LT(client->answers[0].result_int(), 500u);
  }
  EXPECT_EQ(hand_in("m9", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() >= 2; }, "the calls");
  EXPECT_EQ(endpoint.got.size(), 2u);
}

// Two clients that submit the same id at the same time get the same answer.
TEST_F(RelayTest, SimultaneousDuplicatesGetTheSameAnswer) {
  endpoint.on_request(stay_silent);
  start();
  std::vector<std::shared_ptr<Client>> pairs;
  for (int i = 0; i < 100; i++) {
    pairs.push_back(connect());
    pairs.back()->write(request("m" + std::to_string(i / 2), kUnsafe, "x", "24000m"));
  }
  const auto is_answered = [](const auto& client) { return client->answers.size() == 1; };
  wait_for([&] { return std::all_of(pairs.begin(), pairs.end(), is_answered); }, "all answers");
  int refused = 0;
  for (std::size_t i = 0; i < pairs.size(); i += 2) {
    EXPECT_EQ(pairs[i]->answers[0].result_int(), pairs[i + 1]->answers[0].result_int()) << i;
    refused += pairs[i]->answers[0].result_int() == 503;
    EXPECT_EQ(pairs[i]->answers[0].result_int() == 503, pairs[i]->answers[0].count("Retry-After") == 1);
  }
  EXPECT_GT(refused, 0);
}

// Guards against sending a completed message again, which could take effect twice.
TEST_F(RelayTest, ACompletedIdIsNotSentAgain) {
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);  // by now the first call's answer has been read
  wait_for([&] { return endpoint.got.size() == 2; }, "the second call");
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m3", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() >= 3; }, "the third call");
  EXPECT_EQ(endpoint.got[2].request["X-Request-Id"], "m3");
}

// ---- New configurations. ----
// Discovery's address changes under load: the watch and the notices, one of them in flight, switch to the new
// address at once, although its index is lower than the old one's. Endpoints that the new list does not name
// are removed.
TEST_F(RelayTest, SighupSwitchesToAnotherDiscovery) {
  bool silent = false;
  std::string new_finals, asked;
  Server other(io, answer_ok);
  Server moved(io, [&](const Got& received) {
    if (received.request.method() == http::verb::post) {
      new_finals += received.request.body();
      return received.session->answer(204);
    }
    asked = std::string(received.request.target());
    received.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string line =
        R"({"index":3,"snapshot":true,"endpoints":[)" + member("s-2", other.address()) + "]}\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    received.session->write(size + line + "\r\n");
  });
  endpoint.on_request(
      [](const Got& received) { received.session->close(); });  // each unsafe message ends with a notice
  start();
  wait_for([&] { return watches.size() == 1; }, "the first watch");
  std::size_t in_flight = 0;
  platform.on_request([&](const Got& received) {
    if (!silent) return on_platform(received);
    in_flight += received.request.method() == http::verb::post;
  });
  silent = true;
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return in_flight == 1; }, "a notice in flight");
  reload(config(moved.address()));
  wait_for([&] { return !new_finals.empty() && !asked.empty(); }, "both go to the new address");
  EXPECT_EQ(new_finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(asked, "/catalog/members?follow=1&since=0");
  wait_for([&] { return watches[0]->ended; }, "the old watch is closed");
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return other.got.size() == 1; }, "the call to the endpoint of the new list");
  EXPECT_EQ(platform.sessions.size(), 2u) << "a new connection to the old address";
}

// The discovery at a new address may begin with updates only: the full list is then requested. Otherwise an
// endpoint removed before those updates would stay.
TEST_F(RelayTest, AfterAnAddressChangeTheFullListIsApplied) {
  Server other(io, answer_ok);
  int fetched = 0;
  Server moved(io, [&](const Got& received) {
    const auto text = [&](const std::string& names, bool whole) {
      return R"({"index":3,"snapshot":)" + std::string(whole ? "true" : "false") + R"(,"endpoints":[)" +
             names + "]}\n";
    };
    if (received.request.target() == "/catalog/members") {
      fetched++;
      return received.session->answer(200, "", text(member("s-2", other.address()), true));
    }
    const std::string line = text(member("s-2", other.address()), false);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    received.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  });
  start();
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return watches.size() == 1 && endpoint.got.size() == 1; }, "the first watch and call");
  reload(config(moved.address()));
  wait_for([&] { return fetched == 1 && endpoint.sessions[0]->ended; }, "the old endpoint is gone");
  for (int i = 1; i < 5; i++) EXPECT_EQ(hand_in("m" + std::to_string(i), kSafe), 202u);
  wait_for([&] { return other.got.size() == 4; }, "the calls");
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(fetched, 1);
}

// An invalid file is logged in one line, and service continues with the old configuration.
TEST_F(RelayTest, SighupWithAnInvalidFileChangesNothing) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  reload("{\"name\":");
  wait_for([&] { return logged().find("the old one stays") != std::string::npos; }, "the line in the log");
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  EXPECT_EQ(watches.size(), 1u);
  EXPECT_FALSE(watches[0]->ended);
}

// ---- The configuration. ----
TEST_F(RelayTest, AnInvalidConfigurationIsLoggedInOneLine) {
  members = member("s-1", endpoint.address());
  const auto log_after_replacing = [this](const std::string& text, const std::string& replacement) {
    std::string c = config();
    c.replace(c.find(text), text.size(), replacement);
    std::filesystem::remove(folder + "/log");
    spawn(c);
    EXPECT_EQ(wait_exit(), 1);
    const auto log = logged();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    return log;
  };
  EXPECT_NE(log_after_replacing("\"seed\"", "\"sead\"").find("config.seed"), std::string::npos);
  EXPECT_NE(log_after_replacing("\"disk_mb\":3", "\"disk_mb\":\"much\"").find("config.limits.disk_mb"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("\"Workers\":8", "\"Workers\":0").find("slots"), std::string::npos);
  EXPECT_NE(log_after_replacing("\"Workers\":8", "\"Walkers\":8").find("FamilyInfo.Workers"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("\"name\":\"s-1\"", "\"name\":1").find("known.endpoints.name"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("{\"name\"", "{{").find("config"), std::string::npos);
}

}  // namespace
}  // namespace heronvane::testing

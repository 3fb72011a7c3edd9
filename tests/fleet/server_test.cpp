// The platform server and the watched partner file, with well-behaved, slow and malformed clients.
#include <sys/resource.h>
#include <sys/stat.h>

#include <random>

#include "fixture.hpp"

namespace heronvane::testing {
namespace {

class ServerTest : public ::testing::Test {
 protected:
  ServerTest()
      : folder((std::filesystem::temp_directory_path() / ("heronvane-server-" + std::to_string(::getpid())))
                   .string()),
        own(io, folder) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
  }
  ~ServerTest() override {
    own.stop();
    clients.clear();
    std::filesystem::remove_all(folder);
  }
  void start() {
    own.start();
    own.server->publish({one("s-1"), one("s-2")});
  }
  RawPtr connect(bool reads = true) {
    clients.push_back(std::make_shared<Raw>(io, own.options.listen, reads));
    clients.back()->start();
    return clients.back();
  }
  RawPtr send(const std::string& bytes) {
    const auto c = connect();
    c->write(bytes);
    return c;
  }
  RawPtr ask(const std::string& bytes) {
    const auto c = send(bytes);
    wait_for([&] { return c->ended || (c->status() > 0 && c->has("\r\n\r\n")); }, "an answer");
    return c;
  }
  RawPtr watch(std::int64_t since = 0) {
    return send(get("/catalog/members?follow=1&since=" + std::to_string(since)));
  }
  // Expects that a notice is stored and the list is served, whatever the other clients do.
  void expect_served() {
    static int number = 0;
    const std::string id = "served" + std::to_string(number++);
    EXPECT_EQ(ask(post(notice(id)))->status(), 204u);
    EXPECT_TRUE(own.finals->find(id));
    const auto list = ask(get("/catalog/members"));
    EXPECT_EQ(list->status(), 200u);
    wait_for([&] { return list->has("]}\n"); }, "the list");
  }
  template <class Condition>
  void wait_for(Condition condition, const char* what) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until)
        FAIL() << "timed out waiting for: " << what << "\n" << own.log;
      io.restart();
      io.run_one_for(milliseconds(5));
    }
  }

  net::io_context io;
  std::string folder;
  OwnPlatform own;
  std::vector<RawPtr> clients;
};

TEST_F(ServerTest, ListensOnLoopbackOnly) {
  fleet::Finals finals(folder + "/finals.db");
  for (const char* address : {"0.0.0.0", "192.0.2.1", "::"}) {
    own.options.listen = {net::ip::make_address(address), 0};
    try {
      fleet::PlatformServer server(io, finals, own.options, own.callbacks);
      FAIL() << "the server listens";
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find("not a loopback address"), std::string::npos) << e.what();
    }
  }
  own.options.listen = {net::ip::make_address(own_address()), 0};
  own.start();
  EXPECT_THROW(fleet::PlatformServer(io, finals, own.options, own.callbacks), std::runtime_error);
}

TEST_F(ServerTest, SendsTheWholeListAndChanges) {
  start();
  const auto list = ask(get("/catalog/members"));
  EXPECT_EQ(list->status(), 200u);
  EXPECT_TRUE(
      list->has(R"({"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:8081",)"
                R"("zone":"a","type":"small","group":7,"status":"ready","weight":1.0,"since_ms":0},)"));
  const auto w = watch(0), at_present = watch(1);
  wait_for([&] { return w->has("\"snapshot\":true") && at_present->has("\"endpoints\":[]"); }, "first lines");
  own.server->publish({one("s-1", "127.0.0.1:8081", fleet::Status::draining)});
  for (const auto& c : {w, at_present}) {
    wait_for([&] { return c->has("\"index\":2"); }, "the change");
    EXPECT_TRUE(c->has("\"draining\""));
    EXPECT_TRUE(c->has("\"gone\""));
    EXPECT_EQ(c->count("Transfer-Encoding: chunked"), 1u);
  }
  EXPECT_EQ(own.server->status().watchers, 2u);
  w->close();
  at_present->end_sending();
  wait_for([&] { return own.server->status().watchers == 0; }, "both watches end");
}

TEST_F(ServerTest, SendsHeartbeatsWhileNothingChanges) {
  own.options.heartbeat_interval = milliseconds(20);
  start();
  const auto w = watch();
  wait_for([&] { return w->count("\r\n1\r\n\n\r\n") >= 1 && w->count("1\r\n\n\r\n") >= 3; }, "empty lines");
  EXPECT_EQ(w->count("snapshot"), 1u);
}

// An empty list in place of an unknown one would make relays remove all their endpoints.
TEST_F(ServerTest, Gives503BeforeTheFirstList) {
  own.start();
  EXPECT_EQ(ask(get("/catalog/members"))->status(), 503u);
  EXPECT_EQ(ask(get("/catalog/members?follow=1&since=0"))->status(), 503u);
  own.server->publish({});
  EXPECT_EQ(ask(get("/catalog/members"))->status(), 200u);
}

TEST_F(ServerTest, OtherRequestsGetErrors) {
  start();
  const std::vector<std::pair<std::string, unsigned>> cases = {
      {get("/"), 404},
      {get("/catalog/members/"), 404},
      {get("/catalog"), 404},
      {get("/v2/finals"), 405},
      {"HEAD /catalog/members HTTP/1.1\r\n\r\n", 405},
      {"PUT /catalog/members HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 405},
      {"POST /elsewhere HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 404},
      {"DELETE /v2/finals HTTP/1.1\r\n\r\n", 405},
      {get("/catalog/members?follow=2"), 400},
      {get("/catalog/members?follow=1&since=-1"), 400},
      {get("/catalog/members?follow=1&since=99999999999999999999"), 400},
      {get("/catalog/members?follow=1&since=x"), 400},
      {get("/catalog/members?follow=1", "Content-Length: 5\r\n"), 400},
      {"GET /catalog/members?follow=1 HTTP/1.0\r\n\r\n", 505},
      {"NONSENSE\r\n\r\n", 400},
      {"GET /catalog/members HTTP/1.1\r\nContent-Length: banana\r\n\r\n", 400},
      {get("/catalog/members", "X: " + std::string(70'000, 'x') + "\r\n"), 431},
      {"POST /v2/finals HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n", 413},
      {"POST /v2/finals HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
      {"POST /v2/finals HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nx", 413},
      {"POST /v2/finals HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nnone\r\n", 400},
  };
  for (const auto& [bytes, status] : cases) EXPECT_EQ(ask(bytes)->status(), status) << bytes.substr(0, 100);
  expect_served();
}

TEST_F(ServerTest, NoticesOfARequestAreAllStoredOnceOrNone) {
  start();
  EXPECT_EQ(ask(post(notice("a") + "\n" + notice("b") + "\n"))->status(), 204u);
  EXPECT_EQ(ask(post(notice("a")))->status(), 204u);
  EXPECT_EQ(ask(post(notice("c") + "\nnonsense\n"))->status(), 400u);
  EXPECT_FALSE(own.finals->find("c"));
  EXPECT_EQ(own.finals->count(), 2);
  EXPECT_EQ(own.finals->find("a")->repeats, 1);
  EXPECT_EQ(own.server->status().finals, 2);
}

TEST_F(ServerTest, ServesChunkedContinuedAndPipelinedRequests) {
  start();
  const std::string body = notice("a") + "\n";
  const auto c = send("POST /v2/finals HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n");
  wait_for([&] { return c->status() == 100; }, "the 100 Continue");
  c->write(body + "POST /v2/finals HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n" +
           get("/catalog/members") + get("/nowhere", "Connection: close\r\n"));
  wait_for([&] { return c->ended; }, "all answers");
  EXPECT_LT(c->text.find("204"), c->text.find("400"));
  EXPECT_LT(c->text.find("400"), c->text.find("200 OK"));
  EXPECT_LT(c->text.find("200 OK"), c->text.find("404"));
  EXPECT_TRUE(own.finals->find("a"));
}

// The relay keeps a notice that is refused with 503, and sends it again.
TEST_F(ServerTest, AFullDiskIsReportedUntilThereIsSpaceAgain) {
  start();
  own.finals->set_max_bytes(4096);
  const std::string many = [] {
    std::string all;
    for (int i = 0; i < 2000; i++) all += notice("m" + std::to_string(i)) + "\n";
    return all;
  }();
  EXPECT_EQ(ask(post(many))->status(), 503u);
  EXPECT_NE(own.server->status().notices_error, "");
  EXPECT_EQ(own.finals->count(), 0);
  own.finals->set_max_bytes(0);
  EXPECT_EQ(ask(post(many))->status(), 204u);
  EXPECT_EQ(own.finals->count(), 2000);
  EXPECT_EQ(own.server->status().notices_error, "");
}

// A request that does not fit on the disk must not make those in the same transaction fail.
TEST_F(ServerTest, ARequestThatDoesNotFitDoesNotFailOthers) {
  start();
  own.finals->set_max_bytes(200 * 1024);
  std::string many;
  for (int i = 0; i < 12'000; i++) many += notice("m" + std::to_string(i)) + "\n";
  // Their last bytes arrive in one turn of the event loop, so that the requests share a transaction.
  const std::string first = post(many), second = post(notice("a"));
  const auto large = send(first.substr(0, first.size() - 1));
  const auto small = send(second.substr(0, second.size() - 1));
  io.restart();
  while (io.poll() > 0) continue;
  large->write(first.substr(first.size() - 1));
  small->write(second.substr(second.size() - 1));
  wait_for([&] { return large->status() > 0 && small->status() > 0; }, "answers");
  EXPECT_EQ(large->status(), 503u);
  EXPECT_EQ(small->status(), 204u);
  EXPECT_EQ(own.finals->count(), 1);
}

// The list changes while no server runs; a watch that resumes from its index still gets the change.
TEST_F(ServerTest, ARestartWithTheStoredIndexLosesNoChange) {
  start();
  const auto before = watch();
  wait_for([&] { return before->has("s-2"); }, "the list");
  own.stop();
  wait_for([&] { return before->ended; }, "the watch ends with the server");
  own.start();
  own.server->publish({one("s-1")});
  EXPECT_EQ(own.kept_index, 2);
  const auto after = watch(1);
  wait_for([&] { return after->has("\"index\":2,\"snapshot\":true"); }, "the whole list");
  EXPECT_FALSE(after->has("s-2"));
}

TEST_F(ServerTest, AListWhoseIndexCannotBeStoredIsNotPublished) {
  start();
  const auto w = watch();
  own.can_keep = false;
  EXPECT_FALSE(own.server->publish({}));
  EXPECT_EQ(own.server->status().endpoints, 2u);
  own.can_keep = true;
  EXPECT_TRUE(own.server->publish({}));
  wait_for([&] { return w->has("\"index\":2"); }, "the change");
}

TEST_F(ServerTest, ClosesIdleConnectionsAndUnfinishedRequests) {
  own.options.request_timeout = own.options.idle_timeout = milliseconds(1000);
  start();
  const auto silent = connect(), head = send("POST /v2/finals HT"),
             body = send("POST /v2/finals HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"),
             kept = send(get("/catalog/members"));
  const auto half = send(post(notice("never")).substr(0, 70));
  half->end_sending();
  for (const auto& c : {silent, head, body, kept, half})
    wait_for([&] { return c->ended; }, "the connection is closed");
  EXPECT_EQ(kept->status(), 200u);
  EXPECT_EQ(own.finals->count(), 0);
  EXPECT_EQ(own.server->status().connections, 0u);
}

// Relays reject a list that long and would get no further changes; the log must show it.
TEST_F(ServerTest, AListTooLongForRelaysIsLogged) {
  own.start();
  std::vector<fleet::Endpoint> list;
  for (int i = 0; i < 45'000; i++) list.push_back(one("s-" + std::to_string(i)));
  own.server->publish(list);
  EXPECT_NE(own.log.find("relays read no more"), std::string::npos);
  own.log.clear();
  list.resize(20'000);
  own.server->publish(list);
  EXPECT_EQ(own.log.find("relays read no more"), std::string::npos);
}

// The timeouts of requests do not apply to watches.
TEST_F(ServerTest, RequestTimeoutsDoNotEndAWatch) {
  own.options.request_timeout = own.options.idle_timeout = own.options.write_timeout = milliseconds(500);
  own.options.heartbeat_interval = milliseconds(30);
  start();
  const auto w = watch();
  wait_for([&] { return w->ended || w->count("1\r\n\n\r\n") > 40; }, "many heartbeats");
  EXPECT_FALSE(w->ended);
}

TEST_F(ServerTest, ClosesSlowReaders) {
  own.options.write_timeout = milliseconds(3000);
  start();
  std::vector<fleet::Endpoint> large;
  for (int i = 0; i < 50'000; i++) large.push_back(one("s-" + std::to_string(i)));
  const auto slow = connect(false), slow_list = connect(false);
  slow->write(get("/catalog/members?follow=1&since=0"));
  wait_for([&] { return own.server->status().watchers == 1; }, "the slow watch");
  const auto reads = watch();
  wait_for([&] { return reads->has("s-2"); }, "the list of the other watch");
  own.server->publish(large);
  slow_list->write(get("/catalog/members"));
  wait_for([&] { return own.server->status().connections == 1; }, "both slow connections are closed");
  EXPECT_EQ(own.server->status().watchers, 1u);
  wait_for([&] { return reads->has("s-49999"); }, "the other watch has the whole list");
  large.pop_back();
  own.server->publish(large);
  wait_for([&] { return reads->has("\"index\":3"); }, "and the next change");
}

// Changes made while a watch reads nothing are merged into one line, with the latest state.
TEST_F(ServerTest, MergesChangesForASlowWatch) {
  start();
  const auto w = connect(false);
  w->write(get("/catalog/members?follow=1&since=0"));
  wait_for([&] { return own.server->status().watchers == 1; }, "the watch");
  std::vector<fleet::Endpoint> large;
  for (int i = 0; i < 60'000; i++) large.push_back(one("s-" + std::to_string(i)));
  own.server->publish(large);
  for (int i = 0; i < 12; i++) {
    large[0].weight = i;
    own.server->publish(large);
  }
  const auto last = "\"index\":" + std::to_string(own.kept_index) + ",";
  const auto reading = std::make_shared<std::string>();
  std::array<char, 65536> chunk;
  wait_for(
      [&] {
        error_code bad;
        const auto n = w->socket().read_some(net::buffer(chunk), bad);
        if (!bad) reading->append(chunk.data(), n);
        return reading->find(last) != std::string::npos;
      },
      "the last index");
  EXPECT_LT(reading->size(), 30'000'000u);
  std::size_t sent = 0;
  for (auto at = reading->find("\"index\":"); at != std::string::npos;
       at = reading->find("\"index\":", at + 1))
    sent++;
  EXPECT_LT(sent, 6u);
}

TEST_F(ServerTest, TwoThousandWatchersDoNotStallOthers) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < 4500) GTEST_SKIP() << "too few descriptors";
  start();
  std::vector<RawPtr> all;
  for (int i = 0; i < 2000; i++) {
    all.push_back(watch());
    io.restart();
    io.poll();
  }
  wait_for(
      [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const RawPtr& c) { return c->ended || c->has("\n\r\n"); });
      },
      "each watch is answered or closed");
  EXPECT_EQ(own.server->status().watchers, 1024u);
  std::size_t sent = 0, refused = 0;
  for (const auto& c : all) sent += c->status() == 200, refused += c->status() == 503;
  EXPECT_EQ(sent, 1024u);
  EXPECT_EQ(refused, 976u);
  expect_served();
  own.server->publish({one("s-1")});
  wait_for(
      [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const RawPtr& c) { return c->status() != 200 || c->has("\"index\":2"); });
      },
      "each watcher has the change");
  for (const auto& c : all) c->close();
  wait_for([&] { return own.server->status().watchers == 0; }, "all watches end");
}

// At the limit the longest idle connection is closed: unfinished requests do not block complete ones.
TEST_F(ServerTest, ManyUnfinishedRequestsDoNotStallOthers) {
  own.options.max_connections = 100;
  start();
  const auto w = watch();
  for (int i = 0; i < 500; i++) {
    send(i % 2 == 0 ? "POST /v2/finals HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf" : "GET /cat");
    if (i % 100 == 99) expect_served();
    EXPECT_LE(own.server->status().connections, 100u);
  }
  own.server->publish({});
  wait_for([&] { return w->has("\"index\":2"); }, "the watch goes on");
}

TEST_F(ServerTest, LimitsBytesOfUnfinishedBodies) {
  own.options.max_total_body_bytes = 3 << 20;
  start();
  for (int i = 0; i < 3; i++) send("POST /v2/finals HTTP/1.1\r\nContent-Length: 1048576\r\n\r\nhalf");
  wait_for([&] { return ask(post(notice("a")))->status() == 503; }, "the limit on bodies is reached");
  for (const auto& c : clients) c->close();
  wait_for([&] { return ask(post(notice("a")))->status() == 204; }, "requests are accepted again");
}

TEST_F(ServerTest, ThousandsOfMalformedRequestsDoNotStallOthers) {
  start();
  const auto w = watch();
  const std::vector<std::string> good = {
      post(notice("z")), get("/catalog/members"), get("/catalog/members?follow=1&since=1"),
      "POST /v2/finals HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"};
  for (unsigned seed = 0; seed < 4000; seed++) {
    std::mt19937 random(seed);
    std::string bytes = good[random() % good.size()];
    for (auto n = 1 + random() % 4; n > 0 && !bytes.empty(); n--) {
      const auto at = random() % bytes.size();
      switch (random() % 4) {
        case 0:
          bytes.erase(at, 1 + random() % 30);
          break;
        case 1:
          bytes[at] = static_cast<char>(random() % 256);
          break;
        case 2:
          bytes.insert(at, good[random() % good.size()].substr(0, random() % 80));
          break;
        default:
          bytes.insert(at, std::string(random() % 300, static_cast<char>(random() % 256)));
      }
    }
    const auto c = send(bytes);
    if (seed % 2 == 0) c->end_sending();
    io.restart();
    io.poll();
    if (seed % 500 == 499) {
      expect_served();
      for (const auto& one_of : clients)
        if (one_of != w) one_of->close();
      clients.assign(1, w);
    }
  }
  EXPECT_FALSE(w->ended);
  own.server->publish({});
  wait_for([&] { return w->has("\"index\":2"); }, "the watch goes on");
}

// The server can be destroyed at any time, with requests and watches in any state.
TEST_F(ServerTest, CanBeDestroyedAtAnyTime) {
  for (int round = 0; round < 20; round++) {
    start();
    for (int i = 0; i < 10; i++) {
      watch();
      send(post(notice("a")));
      send("GET /cat");
      for (int turns = 0; turns < round; turns++) io.poll_one();
    }
    own.stop();
    io.restart();
    io.poll();
  }
}

// ---- The partner file. ----
const char* const kTwo = R"({"endpoints":[{"name":"s-1","address":"127.0.0.1:1","group":7},
                                          {"name":"s-2","address":"127.0.0.1:2","group":7}]})";
const char* const kOne = R"({"endpoints":[{"name":"s-1","address":"127.0.0.1:1","group":7}]})";

class FileTest : public ServerTest {
 protected:
  bool endpoints(std::size_t n) { return own.server->status().endpoints == n; }
};

TEST_F(FileTest, ChangesAreSeenHoweverTheFileIsWritten) {
  own.start();
  own.write(kTwo);
  own.watch_file();  // only one poll: further changes are found by inotify
  wait_for([&] { return endpoints(2); }, "the first list");
  own.replace(kOne);
  wait_for([&] { return endpoints(1); }, "the list of the renamed file");
  own.write(kTwo);
  wait_for([&] { return endpoints(2); }, "the list of the overwritten file");
  std::filesystem::remove(own.path());
  wait_for([&] { return own.file->error() != ""; }, "the missing file is reported");
  EXPECT_TRUE(endpoints(2));
  own.write(kOne);
  wait_for([&] { return endpoints(1); }, "the list of the new file");
  EXPECT_EQ(own.file->error(), "");
}

// Polls find changes without inotify events: here the folder itself is deleted and created anew.
TEST_F(FileTest, PollsFindChangesWithoutEvents) {
  own.start();
  own.watch_file(milliseconds(20));
  wait_for([&] { return own.file->error() != ""; }, "the missing file is reported");
  own.write(kTwo);
  wait_for([&] { return endpoints(2); }, "the first list");
  std::filesystem::remove_all(folder + "/partners");
  wait_for([&] { return own.file->error() != ""; }, "the missing file is reported again");
  own.write(kOne);
  wait_for([&] { return endpoints(1); }, "the list of a new folder");
}

TEST_F(FileTest, AnInvalidFileChangesNothingAndIsReportedOnce) {
  own.start();
  own.write(kTwo);
  own.watch_file(milliseconds(10));
  wait_for([&] { return endpoints(2); }, "the list");
  const auto index = own.kept_index;
  own.replace("{\"endpoints\":[\n{\"name\":5}]}");
  wait_for([&] { return own.file->error() != ""; }, "the error is reported");
  EXPECT_NE(own.file->error().find("line 2: endpoints[0].name is not a string"), std::string::npos)
      << own.file->error();
  std::size_t polls = 0;
  net::steady_timer timer(io);
  std::function<void()> tick = [&] {
    timer.expires_after(milliseconds(10));
    timer.async_wait([&](error_code bad) {
      if (!bad) polls++, tick();
    });
  };
  tick();
  wait_for([&] { return polls > 20; }, "many polls");
  timer.cancel();
  const auto lines = [&] {
    std::size_t n = 0;
    for (auto at = own.log.find("is not a string"); at != std::string::npos;
         at = own.log.find("is not a string", at + 1))
      n++;
    return n;
  };
  EXPECT_EQ(lines(), 1u) << own.log;
  EXPECT_TRUE(endpoints(2));
  EXPECT_EQ(own.kept_index, index);
  own.replace("{\"endpoints\":[\n{\"name\":5}]}");
  wait_for([&] { return lines() == 2; }, "the next error is reported");
  own.replace(kTwo);
  wait_for([&] { return own.file->error().empty(); }, "the file is valid again");
  EXPECT_EQ(own.kept_index, index);
  for (const auto& c : clients) c->close();
}

// A FIFO or a folder at the path of the file blocks nothing.
TEST_F(FileTest, AFolderOrFifoIsReported) {
  own.start();
  std::filesystem::create_directories(own.path());
  own.watch_file();
  wait_for([&] { return own.file->error().find("not a regular file") != std::string::npos; },
           "the folder is reported");
  std::filesystem::remove(own.path());
  ASSERT_EQ(::mkfifo(own.path().c_str(), 0600), 0);
  wait_for([&] { return own.file->error().find("not a regular file") != std::string::npos; },
           "the FIFO is reported");
  own.replace(kOne);
  wait_for([&] { return endpoints(1); }, "the list");
}

TEST_F(FileTest, IsPublishedOnceTheIndexCanBeStored) {
  own.start();
  own.can_keep = false;
  own.write(kTwo);
  own.watch_file(milliseconds(10));
  wait_for([&] { return own.file->error().find("can't be published now") != std::string::npos; },
           "the error is reported");
  own.can_keep = true;
  wait_for([&] { return endpoints(2); }, "the list");
}

}  // namespace
}  // namespace heronvane::testing

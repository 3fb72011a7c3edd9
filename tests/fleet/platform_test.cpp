// The real relay with this platform as its discovery.
#include <sqlite3.h>

#include "fixture.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

class RelayOnPlatformTest : public RelayTest {
 protected:
  RelayOnPlatformTest() : second(io, answer_ok), own(io, folder) {}
  ~RelayOnPlatformTest() override { own.stop(); }

  static std::string partner(const std::string& name, const std::string& address, const std::string& status) {
    return R"({"name":")" + name + R"(","address":")" + address +
           R"(","zone":"a","type":"small","group":7,"status":")" + status + "\"}";
  }
  // Both endpoints; the one named drains.
  std::string both(const Server* draining = nullptr) {
    const auto status = [&](const Server& s) { return draining == &s ? "draining" : "ready"; };
    return "{\"endpoints\":[" + partner("s-1", endpoint.address(), status(endpoint)) + ",\n" +
           partner("s-2", second.address(), status(second)) + "]}";
  }
  std::string discovery() const { return own_address() + ":" + std::to_string(own.options.listen.port()); }
  // The relay knows no endpoint but from the platform.
  void start_all() {
    own.replace(both());
    own.start();
    own.watch_file();
    spawn(config(discovery()));
    wait_for([this] { return health() == 200; }, "the relay is ready");
  }
  unsigned hand_in_next(const char* cls = "load-status") {
    return hand_in("n" + std::to_string(number++), cls);
  }
  std::size_t calls() const { return endpoint.got.size() + second.got.size(); }
  Server& other(const Server& s) { return &s == &endpoint ? second : endpoint; }
  // Hands one in; the endpoint that it went to.
  Server& used() {
    const auto a = endpoint.got.size(), all = calls();
    EXPECT_EQ(hand_in_next(), 202u);
    wait_for([&] { return calls() > all; }, "the call");
    return endpoint.got.size() > a ? endpoint : second;
  }
  // A drain of this one was told: from 1 s on nothing goes there.
  void expect_drained(Server& drained) {
    live(milliseconds(1000));  // what the protocol leaves a relay
    const auto before = drained.got.size();
    for (int i = 0; i < 30; i++) EXPECT_EQ(&used(), &other(drained));
    EXPECT_EQ(drained.got.size(), before);
  }
  // Lets the loop go on so long.
  void live(milliseconds time) {
    bool over = false;
    net::steady_timer timer(io, time);
    timer.async_wait([&](error_code) { over = true; });
    wait_for([&] { return over; }, "time passes");
  }

  Server second;
  OwnPlatform own;
  int number = 0;
};

TEST_F(RelayOnPlatformTest, LearnsTheListAndDrainsWithTheFile) {
  start_all();
  Server& first = used();  // it has a connection there by now, and would go on with it
  EXPECT_EQ(&used(), &first);
  own.replace(both(&first));
  wait_for([&] { return own.log.find("1 newly draining") != std::string::npos; }, "the change is told");
  expect_drained(first);
  own.replace(both(&other(first)));
  wait_for([&] { return own.server->status().index == 3; }, "the next change is told");
  expect_drained(other(first));
}

TEST_F(RelayOnPlatformTest, ABrokenFileChangesNothing) {
  start_all();
  Server& first = used();
  own.replace(both(&first).substr(0, 150));
  wait_for([&] { return own.file->error() != ""; }, "it is told");
  std::filesystem::remove(own.path());
  wait_for([&] { return own.file->error().find("No such file") != std::string::npos; }, "it is gone");
  own.replace("{\"endpoints\":[" + partner("s-1", "nowhere", "ready") + "]}");
  wait_for([&] { return own.file->error().find("nowhere") != std::string::npos; }, "it is told");
  live(milliseconds(1000));
  EXPECT_EQ(&used(), &first);
  EXPECT_EQ(health(), 200u);
  EXPECT_EQ(own.server->status().index, 1);
  EXPECT_EQ(own.server->status().watchers, 1u);
}

// The drain comes while the platform is down: the relay asks from the index it has, and is told. The relay
// is a child of the platform's process and holds neither its port nor its connections.
TEST_F(RelayOnPlatformTest, ARestartOfThePlatformLosesNoChange) {
  start_all();
  Server& first = used();
  own.stop();
  own.replace(both(&first));
  wait_for([&] { return logged().find("discovery: watch:") != std::string::npos; }, "the watch ends");
  EXPECT_EQ(&used(), &first);  // it goes by what it knows
  own.start();
  own.watch_file();
  wait_for([&] { return own.server->status().watchers == 1; }, "the relay is back");
  expect_drained(first);
}

TEST_F(RelayOnPlatformTest, NoticesAreStoredOnce) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  second.on_request([](const Got& g) { g.session->close(); });
  start_all();
  for (int i = 0; i < 10; i++) EXPECT_EQ(hand_in_next(kUnsafe), 202u);
  wait_for([&] { return own.finals->count() == 10; }, "all notices");
  EXPECT_EQ(logged().find("notices:"), std::string::npos) << logged();  // none was answered but with 204
  ::kill(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  for (int i = 0; i < 10; i++) {
    const auto f = own.finals->find("n" + std::to_string(i));
    ASSERT_TRUE(f);
    EXPECT_EQ(f->notice.status, fleet::FinalStatus::undeliverable);
    EXPECT_EQ(f->repeats, 0);
  }
}

TEST_F(RelayOnPlatformTest, AFullDiskIsLivedThrough) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  second.on_request([](const Got& g) { g.session->close(); });
  start_all();
  // The pages that the file has take some notices yet.
  std::vector<fleet::Notice> filling;
  for (int i = 0; i < 100; i++) filling.push_back({"filling" + std::to_string(i), {}, {}});
  own.finals->set_max_bytes(64 * 1024);
  for (int n = 0; own.finals->store(filling, 1) == fleet::Finals::Stored::yes; n++)
    for (auto& f : filling) f.id = "filling" + std::to_string(n) + "-" + f.id.substr(0, 200);
  for (auto one_more = filling.begin(); one_more != filling.end(); ++one_more)
    if (own.finals->store({one_more, 1}, 1) == fleet::Finals::Stored::full) break;
  std::vector<fleet::Notice> small(1);
  for (int i = 0;; i++) {
    small[0].id = "s" + std::to_string(i);
    if (own.finals->store(small, 1) == fleet::Finals::Stored::full) break;
  }
  const auto before = own.finals->count();
  EXPECT_EQ(hand_in_next(kUnsafe), 202u);
  wait_for([&] { return logged().find("notices: answered 503") != std::string::npos; }, "it is refused");
  EXPECT_EQ(own.finals->count(), before);
  EXPECT_NE(own.server->status().notices_error, "");
  own.finals->set_max_bytes(0);
  wait_for([&] { return own.finals->find("n0").has_value(); }, "the notice is stored");
  EXPECT_EQ(own.finals->find("n0")->repeats, 0);
}

// Each commit of a database that is opened from now on kills the process before it is done.
int kill_at_commit(sqlite3* db, char**, const sqlite3_api_routines*) {
  sqlite3_commit_hook(
      db,
      [](void*) {
        ::kill(::getpid(), SIGKILL);
        return 0;
      },
      nullptr);
  return SQLITE_OK;
}

// What was not stored was not told 204, so it comes again.
TEST_F(RelayOnPlatformTest, KilledBeforeTheCommitItIsToldAgain) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  second.on_request([](const Got& g) { g.session->close(); });
  own.replace(both());
  own.start();  // takes the port, and makes the file's tables
  own.stop();
  const pid_t platform_child = ::fork();
  if (platform_child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    net::io_context other;
    OwnPlatform doomed(other, folder);
    doomed.options.listen = own.options.listen;
    sqlite3_auto_extension(reinterpret_cast<void (*)()>(kill_at_commit));
    doomed.start();
    doomed.watch_file();
    other.run();
    ::_exit(1);
  }
  spawn(config(discovery()));
  wait_for([this] { return health() == 200; }, "the relay is ready");
  EXPECT_EQ(hand_in_next(kUnsafe), 202u);
  int status = 0;
  wait_for([&] { return ::waitpid(platform_child, &status, WNOHANG) == platform_child; }, "it is killed");
  EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
  own.kept_index = 1;
  own.start();
  EXPECT_FALSE(own.finals->find("n0"));
  own.watch_file();
  wait_for([&] { return own.finals->find("n0").has_value(); }, "the notice comes again");
  EXPECT_EQ(own.finals->find("n0")->repeats, 0);
}

}  // namespace
}  // namespace heronvane::testing

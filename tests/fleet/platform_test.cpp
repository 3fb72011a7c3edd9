// The real relay with the platform server as its discovery.
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
  // A list of both endpoints; `draining` has that status.
  std::string list_of_both(const Server* draining = nullptr) {
    const auto status = [&](const Server& s) { return draining == &s ? "draining" : "ready"; };
    return "{\"endpoints\":[" + partner("s-1", endpoint.address(), status(endpoint)) + ",\n" +
           partner("s-2", second.address(), status(second)) + "]}";
  }
  std::string discovery() const { return own_address() + ":" + std::to_string(own.options.listen.port()); }
  // Starts the platform and the relay, whose only source of endpoints is the platform.
  void start_all() {
    own.replace(list_of_both());
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
  // Sends one message and returns the endpoint that it was delivered to.
  Server& deliver_one() {
    const auto a = endpoint.got.size(), all = calls();
    EXPECT_EQ(hand_in_next(), 202u);
    wait_for([&] { return calls() > all; }, "the call arrives");
    return endpoint.got.size() > a ? endpoint : second;
  }
  // After the drain of an endpoint was published: expects no call to it from 1 s on.
  void expect_drained(Server& drained) {
    run_for(milliseconds(1000));  // the time that the protocol allows a relay
    const auto before = drained.got.size();
    for (int i = 0; i < 30; i++) EXPECT_EQ(&deliver_one(), &other(drained));
    EXPECT_EQ(drained.got.size(), before);
  }
  // Runs the event loop for `time`.
  void run_for(milliseconds time) {
    bool over = false;
    net::steady_timer timer(io, time);
    timer.async_wait([&](error_code) { over = true; });
    wait_for([&] { return over; }, "the time is over");
  }

  Server second;
  OwnPlatform own;
  int number = 0;
};

TEST_F(RelayOnPlatformTest, FollowsChangesOfThePartnerFile) {
  start_all();
  Server& first = deliver_one();  // the relay now has a connection there and would reuse it
  EXPECT_EQ(&deliver_one(), &first);
  own.replace(list_of_both(&first));
  wait_for([&] { return own.log.find("1 newly draining") != std::string::npos; }, "the change is published");
  expect_drained(first);
  own.replace(list_of_both(&other(first)));
  wait_for([&] { return own.server->status().index == 3; }, "the next change is published");
  expect_drained(other(first));
}

TEST_F(RelayOnPlatformTest, AnInvalidFileChangesNothing) {
  start_all();
  Server& first = deliver_one();
  own.replace(list_of_both(&first).substr(0, 150));
  wait_for([&] { return own.file->error() != ""; }, "the invalid file is reported");
  std::filesystem::remove(own.path());
  wait_for([&] { return own.file->error().find("No such file") != std::string::npos; },
           "the missing file is reported");
  own.replace("{\"endpoints\":[" + partner("s-1", "nowhere", "ready") + "]}");
  wait_for([&] { return own.file->error().find("nowhere") != std::string::npos; },
           "the invalid file is reported");
  run_for(milliseconds(1000));
  EXPECT_EQ(&deliver_one(), &first);
  EXPECT_EQ(health(), 200u);
  EXPECT_EQ(own.server->status().index, 1);
  EXPECT_EQ(own.server->status().watchers, 1u);
}

// A drain is added to the list while the platform is down: the relay resumes from its index and gets the
// change. The relay is a child of the platform's process and must inherit neither its port nor its
// connections.
TEST_F(RelayOnPlatformTest, ARestartOfThePlatformLosesNoChange) {
  start_all();
  Server& first = deliver_one();
  own.stop();
  own.replace(list_of_both(&first));
  wait_for([&] { return logged().find("discovery: watch:") != std::string::npos; }, "the watch ends");
  EXPECT_EQ(&deliver_one(), &first);  // the relay keeps its last list
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
  wait_for([&] { return own.finals->count() == 10; }, "all notices are stored");
  EXPECT_EQ(logged().find("notices:"), std::string::npos) << logged();  // each was answered with 204
  ::kill(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  for (int i = 0; i < 10; i++) {
    const auto f = own.finals->find("n" + std::to_string(i));
    ASSERT_TRUE(f);
    EXPECT_EQ(f->notice.status, fleet::NoticeStatus::undeliverable);
    EXPECT_EQ(f->repeats, 0);
  }
}

TEST_F(RelayOnPlatformTest, NoticesAreStoredOnceAFullDiskHasSpaceAgain) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  second.on_request([](const Got& g) { g.session->close(); });
  start_all();
  // The file has free pages that still hold some notices: fill them.
  std::vector<fleet::Notice> filling;
  for (int i = 0; i < 100; i++) filling.push_back({"filling" + std::to_string(i), {}, {}});
  own.finals->set_max_bytes(64 * 1024);
  for (int n = 0; own.finals->store(filling, 1) == fleet::Finals::StoreResult::yes; n++)
    for (auto& f : filling) f.id = "filling" + std::to_string(n) + "-" + f.id.substr(0, 200);
  for (auto one_more = filling.begin(); one_more != filling.end(); ++one_more)
    if (own.finals->store({one_more, 1}, 1) == fleet::Finals::StoreResult::full) break;
  std::vector<fleet::Notice> small(1);
  for (int i = 0;; i++) {
    small[0].id = "s" + std::to_string(i);
    if (own.finals->store(small, 1) == fleet::Finals::StoreResult::full) break;
  }
  const auto before = own.finals->count();
  EXPECT_EQ(hand_in_next(kUnsafe), 202u);
  wait_for([&] { return logged().find("notices: answered 503") != std::string::npos; },
           "the notice is refused");
  EXPECT_EQ(own.finals->count(), before);
  EXPECT_NE(own.server->status().notices_error, "");
  own.finals->set_max_bytes(0);
  wait_for([&] { return own.finals->find("n0").has_value(); }, "the notice is stored");
  EXPECT_EQ(own.finals->find("n0")->repeats, 0);
}

// Kills the process in each commit of a database that is opened from now on, before the commit is done.
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

// A notice that was not committed was not answered with 204, so the relay sends it again.
TEST_F(RelayOnPlatformTest, ANoticeIsSentAgainAfterAKillBeforeTheCommit) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  second.on_request([](const Got& g) { g.session->close(); });
  own.replace(list_of_both());
  own.start();  // chooses the port and creates the tables
  own.stop();
  const pid_t platform_child = ::fork();
  if (platform_child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    net::io_context other;
    OwnPlatform killed_platform(other, folder);
    killed_platform.options.listen = own.options.listen;
    sqlite3_auto_extension(reinterpret_cast<void (*)()>(kill_at_commit));
    killed_platform.start();
    killed_platform.watch_file();
    other.run();
    ::_exit(1);
  }
  spawn(config(discovery()));
  wait_for([this] { return health() == 200; }, "the relay is ready");
  EXPECT_EQ(hand_in_next(kUnsafe), 202u);
  int status = 0;
  wait_for([&] { return ::waitpid(platform_child, &status, WNOHANG) == platform_child; },
           "the platform is killed");
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

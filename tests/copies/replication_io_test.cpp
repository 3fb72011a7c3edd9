// What carries the decisions out: packets as bytes, states as rows, logs held on shelves over restarts and
// damage, connections against strangers.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "copies/packet.hpp"
#include "copies/rows.hpp"
#include "copies/shelf.hpp"
#include "copies/streams.hpp"
#include "packet_checks.hpp"

namespace heronvane::copies {
namespace {

namespace fs = std::filesystem;
namespace net = boost::asio;

class Folder {
 public:
  Folder() {
    std::string name = fs::temp_directory_path() / "heronvane-copies-XXXXXX";
    path_ = ::mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path_); }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// ---- Packets. ----
class Random {
 public:
  explicit Random(std::uint64_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t n) { return random_() % n; }
  std::string text() {
    std::string t;
    for (std::uint64_t i = below(12); i > 0; i--) t += static_cast<char>(below(256));
    return t;
  }
  std::string name() { return "n" + std::to_string(below(50)); }
  Member member() { return {name(), random_()}; }
  Epoch epoch() { return {random_(), member()}; }
  Config config() {
    Config c;
    c.version = {epoch(), random_()};
    for (auto i = below(4); i > 0; i--) c.replicas.push_back(member());
    for (auto i = below(3); i > 0; i--) c.next.push_back(member());
    return c;
  }
  ProtocolMessage message() {
    switch (below(11)) {
      case 0: {
        protocol::Append a{epoch(), random_(), epoch(), {}, config()};
        for (auto i = below(4); i > 0; i--) a.entries.push_back({below(2) ? a.epoch : epoch(), text()});
        return a;
      }
      case 1:
        return protocol::Appended{epoch(), random_(), {epoch(), random_()}};
      case 2:
        return protocol::Behind{epoch(), random_(), epoch()};
      case 3:
        return protocol::Snapshot{epoch(), random_(), epoch(), config()};
      case 4:
        return protocol::Refused{epoch()};
      case 5:
        return protocol::Claim{epoch()};
      case 6: {
        protocol::Promised p{epoch(), random_(), epoch(), config(), {}};
        if (below(2)) p.moved = Moved{epoch(), member()};
        return p;
      }
      case 7:
        return protocol::Read{epoch()};
      case 8:
        return protocol::State{epoch(), random_(), epoch()};
      case 9:
        return protocol::Move{epoch(), member()};
      default:
        return protocol::Accepted{epoch()};
    }
  }

 private:
  std::mt19937_64 random_;
};

std::string print(const ProtocolMessage& s) {
  std::ostringstream out;
  out << s;
  return out.str();
}

TEST(Packet, ComesBackAsItWasWritten) {
  for (std::uint64_t seed = 1; seed <= 3'000; seed++) {
    Random r(seed);
    Packet p;
    p.log = r.member();
    p.message = r.message();
    p.epoch = r.epoch();
    p.chunk = r.below(1'000), p.last = r.below(2) != 0, p.numbered_records = r.below(1'000);
    p.log_time = static_cast<Microseconds>(r.below(1'000'000)),
    p.last_contact_age = static_cast<Microseconds>(r.below(3)) - 1;
    p.salt = static_cast<store::Salt>(r.below(1ULL << 32)), p.leader_disk_bytes = r.below(1 << 30);
    if (!std::holds_alternative<protocol::Append>(*p.message)) p.body = r.text();
    const std::string frame = write_packet(p);
    const auto l = read_frame_lengths(frame);
    ASSERT_EQ(frame.size(), kFrameHeaderBytes + l.head + l.body);
    const auto back = read_packet(std::string_view(frame).substr(kFrameHeaderBytes, l.head),
                                  frame.substr(kFrameHeaderBytes + l.head));
    ASSERT_TRUE(back) << frame;
    EXPECT_EQ(print(*back->message), print(*p.message));
    EXPECT_EQ(back->log, p.log);
    EXPECT_EQ(back->epoch, p.epoch);
    EXPECT_EQ(std::tie(back->chunk, back->last, back->numbered_records, back->log_time,
                       back->last_contact_age, back->salt, back->leader_disk_bytes, back->body),
              std::tie(p.chunk, p.last, p.numbered_records, p.log_time, p.last_contact_age, p.salt,
                       p.leader_disk_bytes, p.body));
  }
}

TEST(Packet, AnyBytesAreReadOrTurnedAway) {
  std::size_t read = 0;
  for (std::uint64_t seed = 1; seed <= 20'000; seed++) {
    Random r(seed);
    Packet p;
    p.log = r.member(), p.message = r.message();
    std::string frame = write_packet(p);
    for (auto i = r.below(4); i > 0; i--)
      frame[kFrameHeaderBytes + r.below(frame.size() - kFrameHeaderBytes)] = static_cast<char>(r.below(256));
    read += check_packet(frame);
  }
  EXPECT_GT(read, 4'000u);
  EXPECT_LT(read, 20'000u);
}

TEST(Packet, TheCorpusOfTheFuzzTargetIsRead) {
  std::size_t files = 0, packets = 0;
  for (const auto& f : fs::directory_iterator(HERONVANE_CORPUS)) {
    std::ifstream in(f.path(), std::ios::binary);
    packets += check_packet({std::istreambuf_iterator<char>(in), {}});
    files++;
  }
  EXPECT_EQ(files, 15u);
  EXPECT_EQ(packets, 14u);  // and a hello
}

TEST(Packet, StatesAndImportsComeBack) {
  for (std::uint64_t seed = 1; seed <= 500; seed++) {
    Random r(seed);
    const Epoch promised = r.epoch(), last = r.epoch();
    const Config c = r.config();
    const std::optional<Moved> moved =
        r.below(2) ? std::optional(Moved{r.epoch(), r.member()}) : std::nullopt;
    const auto s = read_state(write_state(promised, seed, last, c, moved, -5, 7));
    ASSERT_TRUE(s);
    EXPECT_EQ(s->promised, promised);
    EXPECT_EQ(s->last, seed);
    EXPECT_EQ(s->last_epoch, last);
    EXPECT_EQ(s->config, c);
    EXPECT_EQ(s->moved, moved);
    EXPECT_EQ(s->clock_offset, -5);
    Import i{r.member(), c, last, seed, seed + 9, std::nullopt};
    if (r.below(2)) i.via = r.member();
    const auto j = read_import(write_import(i));
    ASSERT_TRUE(j);
    EXPECT_EQ(std::tie(j->log, j->config, j->epoch, j->from, j->to, j->via),
              std::tie(i.log, i.config, i.epoch, i.from, i.to, i.via));
  }
  EXPECT_FALSE(read_state("{}"));
  EXPECT_FALSE(read_import("[]"));
}

// ---- States as rows. ----
Message make_message(const std::string& id) {
  Message m;
  m.id = id, m.message_class = "pay", m.destination = 3, m.body = "body of " + id;
  m.deadline = store::system_clocks().wall + 60'000'000;
  return m;
}

class LeaderStore {  // a store with a sink that keeps its batches
 public:
  explicit LeaderStore(const std::string& path) : disk_(folder(path)), store(*disk_, options()), sink_{this} {
    store.set_log_sink(&sink_);
  }
  static std::unique_ptr<store::Disk> folder(const std::string& path) {
    fs::create_directories(path);
    return store::open_folder(path);
  }
  static store::Options options() {
    store::Options o;
    o.limit_bytes = 40'000'000;
    return o;
  }
  MessageId take(const std::string& id) {
    const auto number = store.next_number();
    EXPECT_TRUE(store.admit(make_message(id)));
    store.accept(number, make_message(id));
    return number;
  }

 private:
  std::unique_ptr<store::Disk> disk_;

 public:
  store::Store store;
  std::vector<std::string> entries;

 private:
  struct Sink : store::LogSink {
    explicit Sink(LeaderStore* o) : leader_store(o) {}
    void closing() override {}
    void written(store::Sequence, std::string_view frames) override {
      leader_store->entries.emplace_back(frames);
    }
    LeaderStore* leader_store;
  } sink_;
};

void expect_same_state(const store::Store& a, const store::Store& b) {
  ASSERT_EQ(a.held().size(), b.held().size());
  for (auto i = a.held().begin(), j = b.held().begin(); i != a.held().end(); ++i, ++j) {
    EXPECT_EQ(i->first, j->first);
    EXPECT_EQ(i->second.message.body, j->second.message.body);
    EXPECT_EQ(i->second.attempts.size(), j->second.attempts.size());
    for (std::size_t k = 0; k < i->second.attempts.size(); k++)
      EXPECT_EQ(i->second.attempts[k].outcome, j->second.attempts[k].outcome);
    EXPECT_EQ(i->second.ending.has_value(), j->second.ending.has_value());
  }
  EXPECT_EQ(a.facts(), b.facts());
  EXPECT_EQ(a.remembered_ids().size(), b.remembered_ids().size());
}

// A snapshot in parts while the store goes on: whoever is told all batches and all parts in order ends alike.
TEST(Rows, PartsAndBatchesInOrderMakeTheState) {
  for (std::uint64_t seed = 1; seed <= 60; seed++) {
    Folder folder;
    LeaderStore leader_store(folder / "own"), copy(folder / "copy");
    Random r(seed);
    std::vector<MessageId> all;
    const auto change = [&] {
      for (auto i = r.below(6); i > 0; i--) {
        const auto what = r.below(6);
        if (what < 2 || all.empty()) {
          all.push_back(leader_store.take("m" + std::to_string(seed) + "-" +
                                          std::to_string(leader_store.store.next_number())));
          continue;
        }
        const MessageId m = all[r.below(all.size())];
        const Held* const h = leader_store.store.find(m);
        if (h == nullptr) continue;
        if (what == 2) leader_store.store.sent(m, 5, 1);
        if (what == 3 && !h->attempts.empty()) leader_store.store.outcome(m, 0, Outcome::reset);
        if (what == 4) leader_store.store.give_up(m, {true, 9});
        if (what == 5) leader_store.store.finish(m);
        leader_store.store.set_fact("k" + std::to_string(r.below(5)),
                                    r.below(3) ? std::to_string(r.below(9)) : "");
      }
      ASSERT_TRUE(leader_store.store.commit());
    };
    const auto put = [&](const std::string& frames) {
      ASSERT_TRUE(read_records(leader_store.store.salt(), frames,
                               [&](store::Record&& x) { copy.store.put(std::move(x)); }));
      ASSERT_TRUE(copy.store.commit());
    };
    for (int i = 0; i < 20; i++) change();
    leader_store.entries.clear();
    StateWriter rows(leader_store.store);
    while (!rows.done()) {
      change();
      for (const auto& e : std::exchange(leader_store.entries, {})) put(e);
      put(rows.next(400));
    }
    for (int i = 0; i < 5; i++) change();
    for (const auto& e : leader_store.entries) put(e);
    expect_same_state(leader_store.store, copy.store);
    EXPECT_EQ(copy.store.next_number(), leader_store.store.next_number());
  }
}

// ---- Shelves. ----
class ReplicaLog : public ::testing::Test {
 protected:
  ReplicaLogsOptions options(std::uint64_t limit = 20'000'000) {
    ReplicaLogsOptions o;
    o.folder = folder / "copies";
    o.limit_bytes = limit;
    o.now = [] { return Microseconds{1'000'000}; };
    o.steady = [] { return Microseconds{7}; };
    return o;
  }
  Packet word(ProtocolMessage s) {
    Packet p;
    p.log = log, p.message = std::move(s), p.salt = leader_store->store.salt(),
    p.leader_disk_bytes = 2'000'000, p.log_time = 1'500'000;
    return p;
  }
  static Packet ask(ReplicaLogs& replica_logs, const Packet& p) {
    std::optional<Packet> answer;
    replica_logs.handle(p, [&](Packet a) {
      EXPECT_FALSE(answer);
      answer = std::move(a);
    });
    EXPECT_TRUE(answer);
    return answer.value_or(Packet{});
  }
  Packet append(ReplicaLogs& replica_logs, Position after, const std::string& id, Epoch epoch) {
    leader_store->take(id);
    EXPECT_TRUE(leader_store->store.commit());
    return ask(
        replica_logs,
        word(protocol::Append{
            epoch, after, after == 0 ? Epoch{} : epoch, {{epoch, leader_store->entries.back()}}, config}));
  }
  Folder folder;
  Member leader{"O", 5}, a{"A", 6};
  LogId log{"O", 77};
  Epoch first{1, leader}, second{2, a};
  Config config{{first, 1}, {a}, {}};
  std::unique_ptr<LeaderStore> leader_store = std::make_unique<LeaderStore>(folder / "own");
};

TEST_F(ReplicaLog, KeepsEntriesAndPromisesOverARestart) {
  {
    ReplicaLogs replica_logs(options());
    const auto done = append(replica_logs, 0, "m1", first);
    EXPECT_EQ(std::get<protocol::Appended>(*done.message).last, 1u);
    append(replica_logs, 1, "m2", first);
    EXPECT_TRUE(std::holds_alternative<protocol::Promised>(
        *ask(replica_logs, word(protocol::Claim{second})).message));
  }
  ReplicaLogs replica_logs(options());
  EXPECT_FALSE(replica_logs.lost_promises());
  const auto view = replica_logs.find(log);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->state.last, 2u);
  EXPECT_EQ(view->state.promised, second);
  EXPECT_EQ(view->messages, 2u);
  const auto late = append(replica_logs, 2, "m3", first);
  EXPECT_EQ(std::get<protocol::Refused>(*late.message).promised, second);
  Packet read = word(protocol::Read{second});
  const auto state = ask(replica_logs, read);
  EXPECT_TRUE(state.last);
  EXPECT_EQ(state.numbered_records, 2u);
  EXPECT_EQ(state.log_time, 1'500'000);
  std::vector<std::string> ids;
  EXPECT_TRUE(read_records(state.salt, state.body, [&](store::Record&& x) {
    if (const auto* const t = std::get_if<store::record::Accepted>(&x)) ids.push_back(t->held.message.id);
  }));
  EXPECT_EQ(ids, (std::vector<std::string>{"m1", "m2"}));
}

TEST_F(ReplicaLog, ASnapshotTakesThePlaceOfTheCopyOnlyOnceItIsWhole) {
  const auto part = [&](std::uint64_t n, const std::string& body, bool last) {
    Packet p = word(protocol::Snapshot{second, 9, first, config});
    if (!last) p.message.reset();
    p.kind = Packet::Kind::snapshot_chunk, p.chunk = n, p.body = body, p.last = last, p.epoch = second;
    return p;
  };
  StateWriter* rows = nullptr;
  std::unique_ptr<StateWriter> writer;
  {
    ReplicaLogs replica_logs(options());
    append(replica_logs, 0, "old", first);
    for (int i = 0; i < 30; i++) leader_store->take("m" + std::to_string(i));
    ASSERT_TRUE(leader_store->store.commit());
    writer = std::make_unique<StateWriter>(leader_store->store);
    rows = writer.get();
    EXPECT_EQ(ask(replica_logs, part(0, rows->next(500), false)).kind, Packet::Kind::chunk_accepted);
    EXPECT_EQ(ask(replica_logs, part(5, rows->next(500), false)).kind, Packet::Kind::unavailable)
        << "out of turn";
    EXPECT_EQ(replica_logs.find(log)->messages, 1u);
  }
  // Killed in the middle: the earlier copy stands.
  ReplicaLogs replica_logs(options());
  EXPECT_EQ(replica_logs.find(log)->messages, 1u);
  writer = std::make_unique<StateWriter>(leader_store->store);
  for (std::uint64_t n = 0; !writer->done(); n++) {
    const auto body = writer->next(500);
    const auto answer = ask(replica_logs, part(n, body, writer->done()));
    if (writer->done()) {
      EXPECT_EQ(std::get<protocol::Appended>(*answer.message).last, 9u);
    }
  }
  EXPECT_EQ(replica_logs.find(log)->messages, 31u);
  EXPECT_EQ(replica_logs.find(log)->state.last, 9u);
  std::size_t folders = 0;
  for ([[maybe_unused]] const auto& e : fs::directory_iterator(folder / "copies")) folders++;
  EXPECT_EQ(folders, 1u);
}

TEST_F(ReplicaLog, DamageIsForgottenPromisesAndAllOfItGoes) {
  {
    ReplicaLogs replica_logs(options());
    for (int i = 0; i < 5; i++)
      append(replica_logs, static_cast<Position>(i), "m" + std::to_string(i), first);
  }
  for (const auto& e : fs::recursive_directory_iterator(folder / "copies")) {
    if (e.path().extension() != ".hv2") continue;
    std::fstream file(e.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(e.file_size() / 2));
    file.write("damage", 6);
  }
  ReplicaLogs replica_logs(options());
  EXPECT_TRUE(replica_logs.lost_promises());
  EXPECT_TRUE(replica_logs.all().empty());
}

TEST_F(ReplicaLog, ALogBeyondTheLimitIsTurnedAwayAndSaysSo) {
  ReplicaLogs replica_logs(options(3'000'000));
  append(replica_logs, 0, "m1", first);
  log = {"P", 3};
  const auto answer = append(replica_logs, 0, "m2", first);
  EXPECT_EQ(answer.kind, Packet::Kind::unavailable);
  EXPECT_NE(answer.reason.find("copies.disk_mb"), std::string::npos) << answer.reason;
}

TEST_F(ReplicaLog, WhatMovedIsReleasedAndItsPromisesStay) {
  {
    ReplicaLogs replica_logs(options());
    append(replica_logs, 0, "m1", first);
    ask(replica_logs, word(protocol::Claim{second}));
    EXPECT_TRUE(std::holds_alternative<protocol::Accepted>(
        *ask(replica_logs, word(protocol::Move{second, {"A", 1}})).message));
    Packet release;
    release.kind = Packet::Kind::release, release.log = log, release.epoch = second;
    replica_logs.handle(release, [](const Packet&) { ADD_FAILURE() << "a release is answered by nothing"; });
    EXPECT_EQ(replica_logs.find(log)->messages, 0u);
  }
  ReplicaLogs replica_logs(options());
  EXPECT_EQ(replica_logs.find(log)->state.promised, second);
  ASSERT_TRUE(replica_logs.find(log)->state.moved);
  EXPECT_TRUE(std::holds_alternative<protocol::Refused>(*append(replica_logs, 1, "m2", first).message));
}

TEST_F(ReplicaLog, WhoHoldsALogNoMoreKeepsItsPromisesAlone) {
  ReplicaLogs replica_logs(options());
  append(replica_logs, 0, "m1", first);
  replica_logs.discard_entries(log);
  const auto view = replica_logs.find(log);
  EXPECT_EQ(view->messages, 0u);
  EXPECT_EQ(view->state.last, 0u);
  EXPECT_EQ(view->state.promised, first);
  // Should it be a holder again, it lacks all: it never says that it has what it dropped.
  const auto answer = append(replica_logs, 1, "m2", first);
  EXPECT_EQ(std::get<protocol::Behind>(*answer.message).last, 0u);
}

// What it acknowledged is there after a restart; what it could not write it never acknowledged.
TEST_F(ReplicaLog, AFullShelfAcknowledgesNothingThatItHasNotWritten) {
  Position acknowledged = 0;
  std::string why;
  {
    ReplicaLogs replica_logs(options());
    for (int i = 0; i < 4'000 && why.empty(); i++) {
      auto m = make_message("m" + std::to_string(i));
      m.body.assign(500, 'x');
      leader_store->store.put(store::record::Accepted{leader_store->store.next_number(), {m, {}, {}, false}});
      ASSERT_TRUE(leader_store->store.commit());
      Packet p = word(protocol::Append{first,
                                       acknowledged,
                                       acknowledged == 0 ? Epoch{} : first,
                                       {{first, leader_store->entries.back()}},
                                       config});
      p.leader_disk_bytes = 1;  // the least there is
      const auto answer = ask(replica_logs, p);
      if (answer.kind == Packet::Kind::unavailable)
        why = answer.reason;
      else
        acknowledged = std::get<protocol::Appended>(*answer.message).last;
    }
  }
  EXPECT_NE(why.find("limit"), std::string::npos) << why;
  EXPECT_GT(acknowledged, 100u);
  ReplicaLogs replica_logs(options());
  EXPECT_FALSE(replica_logs.lost_promises());
  EXPECT_EQ(replica_logs.find(log)->state.last, acknowledged);
  EXPECT_EQ(replica_logs.find(log)->messages, acknowledged);
}

// ---- Connections. ----
class Connections : public ::testing::Test {
 protected:
  using Tcp = net::ip::tcp;
  std::unique_ptr<PeerConnections> member(const std::string& name, const PeerConnections::Address& at,
                                          const std::string& cluster) {
    PeerConnections::Hooks h;
    h.is_member = [](const std::string& n) { return n != "stranger"; };
    h.fill_hello = [this](const std::string&, Hello& hello) { hello.seen_mark = seen_mark; };
    h.on_hello = [this](const Hello& hello) { events.push_back("met " + hello.self.name); };
    h.on_up = [this](const Member& m) { events.push_back("up " + m.name); };
    h.on_down = [this](const std::string& n) { events.push_back("down " + n); };
    h.on_answer = [this](const Member& m, Packet p) {
      events.push_back("answer " + m.name + " " + p.reason);
    };
    h.on_request = [this](const Member& m, Packet p, PeerConnections::Reply reply) {
      events.push_back("asked by " + m.name);
      p.reason = "yes";
      reply(p);
    };
    return std::make_unique<PeerConnections>(io, at, Hello{cluster, {name, 1}, 1, 0, 0}, std::move(h));
  }
  static PeerConnections::Address free_address() {
    net::io_context scratch;
    Tcp::acceptor a(scratch, Tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    return a.local_endpoint();
  }
  bool wait(const std::function<bool()>& done) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
  }
  bool happened(const std::string& what) const { return std::count(events.begin(), events.end(), what) > 0; }
  net::io_context io;
  std::vector<std::string> events;
  std::uint64_t seen_mark = 0;
};

TEST(Addresses, AreLoopbackOrPrivate) {
  for (const char* a : {"127.0.0.1", "10.1.2.3", "172.16.0.1", "172.31.255.1", "192.168.7.1", "169.254.1.1",
                        "::1", "fd00::1", "fe80::1"})
    EXPECT_TRUE(is_private(net::ip::make_address(a))) << a;
  for (const char* a : {"8.8.8.8", "172.32.0.1", "172.15.0.1", "193.168.0.1", "0.0.0.0", "2001:db8::1"})
    EXPECT_FALSE(is_private(net::ip::make_address(a))) << a;
}

TEST_F(Connections, MembersAskAndAnswerAndComeBack) {
  const auto at_a = free_address(), at_b = free_address();
  auto a = member("A", at_a, "lab"), b = member("B", at_b, "lab");
  a->connect_to("B", at_b);
  ASSERT_TRUE(wait([&] { return happened("up B"); }));
  Packet p;
  p.kind = Packet::Kind::last_contact, p.log = {"C", 1};
  EXPECT_TRUE(a->send({"B", 1}, p));
  EXPECT_FALSE(a->send({"B", 2}, p)) << "another life of its disk";
  ASSERT_TRUE(wait([&] { return happened("answer B yes"); }));
  EXPECT_TRUE(happened("asked by A"));
  b.reset();
  ASSERT_TRUE(wait([&] { return happened("down B"); }));
  events.clear();
  b = member("B", at_b, "lab");
  EXPECT_TRUE(wait([&] { return happened("up B"); }));
}

TEST_F(Connections, StrangersOtherClustersAndGarbageAreClosedAndCounted) {
  const auto at_a = free_address(), at_b = free_address(), at_c = free_address();
  const auto a = member("A", at_a, "lab");
  const auto other = member("B", at_b, "another"), stranger = member("stranger", at_c, "lab");
  other->connect_to("A", at_a), stranger->connect_to("A", at_a);
  ASSERT_TRUE(wait([&] { return a->counts().rejected_hellos >= 2; }));
  const auto closes = [&](const std::string& bytes) {
    Tcp::socket s(io);
    s.connect(at_a);
    net::write(s, net::buffer(bytes));
    bool closed = false;
    char one = 0;
    std::function<void()> read = [&] {
      s.async_read_some(net::buffer(&one, 1), [&](boost::system::error_code bad, std::size_t) {
        bad ? void(closed = true) : read();
      });
    };
    read();
    return wait([&] { return closed; });
  };
  const auto before = a->counts();
  EXPECT_TRUE(closes(std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8))) << "oversized";
  EXPECT_EQ(a->counts().malformed_frames, before.malformed_frames + 1);
  EXPECT_TRUE(closes(std::string("\x03\0\0\0\0\0\0\0abc", 11))) << "no hello";
  // A member that sends what can't be read after its hello.
  EXPECT_TRUE(closes(write_hello({"lab", {"B", 1}, 1, 0, 0}) + std::string("\x02\0\0\0\0\0\0\0{}", 10)));
  EXPECT_EQ(a->counts().malformed_frames, before.malformed_frames + 2);
  EXPECT_TRUE(closes("")) << "silence";
  EXPECT_FALSE(happened("up A"));
}

}  // namespace
}  // namespace heronvane::copies

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
    for (auto i = below(4); i > 0; i--) c.holders.push_back(member());
    for (auto i = below(3); i > 0; i--) c.next.push_back(member());
    return c;
  }
  Saying saying() {
    switch (below(11)) {
      case 0: {
        say::Append a{epoch(), random_(), epoch(), {}, config()};
        for (auto i = below(4); i > 0; i--) a.entries.push_back({below(2) ? a.epoch : epoch(), text()});
        return a;
      }
      case 1:
        return say::Appended{epoch(), random_(), {epoch(), random_()}};
      case 2:
        return say::Behind{epoch(), random_(), epoch()};
      case 3:
        return say::Snapshot{epoch(), random_(), epoch(), config()};
      case 4:
        return say::Refused{epoch()};
      case 5:
        return say::Claim{epoch()};
      case 6: {
        say::Promised p{epoch(), random_(), epoch(), config(), {}};
        if (below(2)) p.moved = Moved{epoch(), member()};
        return p;
      }
      case 7:
        return say::Read{epoch()};
      case 8:
        return say::State{epoch(), random_(), epoch()};
      case 9:
        return say::Move{epoch(), member()};
      default:
        return say::Accepted{epoch()};
    }
  }

 private:
  std::mt19937_64 random_;
};

std::string told(const Saying& s) {
  std::ostringstream out;
  out << s;
  return out.str();
}

TEST(Packet, ComesBackAsItWasWritten) {
  for (std::uint64_t seed = 1; seed <= 3'000; seed++) {
    Random r(seed);
    Packet p;
    p.log = r.member();
    p.saying = r.saying();
    p.epoch = r.epoch();
    p.part = r.below(1'000), p.last = r.below(2) != 0, p.numbered = r.below(1'000);
    p.now = static_cast<Microseconds>(r.below(1'000'000)), p.ago = static_cast<Microseconds>(r.below(3)) - 1;
    p.salt = static_cast<store::Salt>(r.below(1ULL << 32)), p.disk = r.below(1 << 30);
    if (!std::holds_alternative<say::Append>(*p.saying)) p.body = r.text();
    const std::string frame = write_packet(p);
    const auto l = read_lengths(frame);
    ASSERT_EQ(frame.size(), kFrameHead + l.head + l.body);
    const auto back =
        read_packet(std::string_view(frame).substr(kFrameHead, l.head), frame.substr(kFrameHead + l.head));
    ASSERT_TRUE(back) << frame;
    EXPECT_EQ(told(*back->saying), told(*p.saying));
    EXPECT_EQ(back->log, p.log);
    EXPECT_EQ(back->epoch, p.epoch);
    EXPECT_EQ(std::tie(back->part, back->last, back->numbered, back->now, back->ago, back->salt, back->disk,
                       back->body),
              std::tie(p.part, p.last, p.numbered, p.now, p.ago, p.salt, p.disk, p.body));
  }
}

TEST(Packet, AnyBytesAreReadOrTurnedAway) {
  std::size_t read = 0;
  for (std::uint64_t seed = 1; seed <= 20'000; seed++) {
    Random r(seed);
    Packet p;
    p.log = r.member(), p.saying = r.saying();
    std::string frame = write_packet(p);
    for (auto i = r.below(4); i > 0; i--)
      frame[kFrameHead + r.below(frame.size() - kFrameHead)] = static_cast<char>(r.below(256));
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
    EXPECT_EQ(s->ahead, -5);
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
Message message(const std::string& id) {
  Message m;
  m.id = id, m.message_class = "pay", m.destination = 3, m.body = "body of " + id;
  m.deadline = store::system_clocks().wall + 60'000'000;
  return m;
}

class Own {  // a store with a sink that keeps its batches
 public:
  explicit Own(const std::string& path) : disk_(folder(path)), store(*disk_, options()), sink_{this} {
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
    EXPECT_TRUE(store.admit(message(id)));
    store.accept(number, message(id));
    return number;
  }

 private:
  std::unique_ptr<store::Disk> disk_;

 public:
  store::Store store;
  std::vector<std::string> entries;

 private:
  struct Sink : store::LogSink {
    explicit Sink(Own* o) : own(o) {}
    void closing() override {}
    void written(store::Sequence, std::string_view frames) override { own->entries.emplace_back(frames); }
    Own* own;
  } sink_;
};

void expect_alike(const store::Store& a, const store::Store& b) {
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
    Own own(folder / "own"), copy(folder / "copy");
    Random r(seed);
    std::vector<MessageId> all;
    const auto change = [&] {
      for (auto i = r.below(6); i > 0; i--) {
        const auto what = r.below(6);
        if (what < 2 || all.empty()) {
          all.push_back(own.take("m" + std::to_string(seed) + "-" + std::to_string(own.store.next_number())));
          continue;
        }
        const MessageId m = all[r.below(all.size())];
        const Held* const h = own.store.find(m);
        if (h == nullptr) continue;
        if (what == 2) own.store.sent(m, 5, 1);
        if (what == 3 && !h->attempts.empty()) own.store.outcome(m, 0, Outcome::reset);
        if (what == 4) own.store.give_up(m, {true, 9});
        if (what == 5) own.store.finish(m);
        own.store.set_fact("k" + std::to_string(r.below(5)), r.below(3) ? std::to_string(r.below(9)) : "");
      }
      ASSERT_TRUE(own.store.commit());
    };
    const auto put = [&](const std::string& frames) {
      ASSERT_TRUE(
          read_rows(own.store.salt(), frames, [&](store::Record&& x) { copy.store.put(std::move(x)); }));
      ASSERT_TRUE(copy.store.commit());
    };
    for (int i = 0; i < 20; i++) change();
    own.entries.clear();
    RowWriter rows(own.store);
    while (!rows.done()) {
      change();
      for (const auto& e : std::exchange(own.entries, {})) put(e);
      put(rows.next(400));
    }
    for (int i = 0; i < 5; i++) change();
    for (const auto& e : own.entries) put(e);
    expect_alike(own.store, copy.store);
    EXPECT_EQ(copy.store.next_number(), own.store.next_number());
  }
}

// ---- Shelves. ----
class Shelf : public ::testing::Test {
 protected:
  ShelfOptions options(std::uint64_t limit = 20'000'000) {
    ShelfOptions o;
    o.folder = folder / "copies";
    o.limit_bytes = limit;
    o.now = [] { return Microseconds{1'000'000}; };
    o.steady = [] { return Microseconds{7}; };
    return o;
  }
  Packet word(Saying s) {
    Packet p;
    p.log = log, p.saying = std::move(s), p.salt = own->store.salt(), p.disk = 2'000'000, p.now = 1'500'000;
    return p;
  }
  static Packet ask(Shelves& shelves, const Packet& p) {
    std::optional<Packet> answer;
    shelves.hear(p, [&](Packet a) {
      EXPECT_FALSE(answer);
      answer = std::move(a);
    });
    EXPECT_TRUE(answer);
    return answer.value_or(Packet{});
  }
  Packet append(Shelves& shelves, Position after, const std::string& id, Epoch epoch) {
    own->take(id);
    EXPECT_TRUE(own->store.commit());
    return ask(shelves,
               word(say::Append{
                   epoch, after, after == 0 ? Epoch{} : epoch, {{epoch, own->entries.back()}}, config}));
  }
  Folder folder;
  Member owner{"O", 5}, a{"A", 6};
  LogId log{"O", 77};
  Epoch first{1, owner}, second{2, a};
  Config config{{first, 1}, {a}, {}};
  std::unique_ptr<Own> own = std::make_unique<Own>(folder / "own");
};

TEST_F(Shelf, KeepsEntriesAndPromisesOverARestart) {
  {
    Shelves shelves(options());
    const auto done = append(shelves, 0, "m1", first);
    EXPECT_EQ(std::get<say::Appended>(*done.saying).last, 1u);
    append(shelves, 1, "m2", first);
    EXPECT_TRUE(std::holds_alternative<say::Promised>(*ask(shelves, word(say::Claim{second})).saying));
  }
  Shelves shelves(options());
  EXPECT_FALSE(shelves.forgot());
  const auto view = shelves.find(log);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->state.last, 2u);
  EXPECT_EQ(view->state.promised, second);
  EXPECT_EQ(view->messages, 2u);
  const auto late = append(shelves, 2, "m3", first);
  EXPECT_EQ(std::get<say::Refused>(*late.saying).promised, second);
  Packet read = word(say::Read{second});
  const auto state = ask(shelves, read);
  EXPECT_TRUE(state.last);
  EXPECT_EQ(state.numbered, 2u);
  EXPECT_EQ(state.now, 1'500'000);
  std::vector<std::string> ids;
  EXPECT_TRUE(read_rows(state.salt, state.body, [&](store::Record&& x) {
    if (const auto* const t = std::get_if<store::record::Accepted>(&x)) ids.push_back(t->held.message.id);
  }));
  EXPECT_EQ(ids, (std::vector<std::string>{"m1", "m2"}));
}

TEST_F(Shelf, ASnapshotTakesThePlaceOfTheCopyOnlyOnceItIsWhole) {
  const auto part = [&](std::uint64_t n, const std::string& body, bool last) {
    Packet p = word(say::Snapshot{second, 9, first, config});
    if (!last) p.saying.reset();
    p.kind = Packet::Kind::part, p.part = n, p.body = body, p.last = last, p.epoch = second;
    return p;
  };
  RowWriter* rows = nullptr;
  std::unique_ptr<RowWriter> writer;
  {
    Shelves shelves(options());
    append(shelves, 0, "old", first);
    for (int i = 0; i < 30; i++) own->take("m" + std::to_string(i));
    ASSERT_TRUE(own->store.commit());
    writer = std::make_unique<RowWriter>(own->store);
    rows = writer.get();
    EXPECT_EQ(ask(shelves, part(0, rows->next(500), false)).kind, Packet::Kind::part_taken);
    EXPECT_EQ(ask(shelves, part(5, rows->next(500), false)).kind, Packet::Kind::full) << "out of turn";
    EXPECT_EQ(shelves.find(log)->messages, 1u);
  }
  // Killed in the middle: the earlier copy stands.
  Shelves shelves(options());
  EXPECT_EQ(shelves.find(log)->messages, 1u);
  writer = std::make_unique<RowWriter>(own->store);
  for (std::uint64_t n = 0; !writer->done(); n++) {
    const auto body = writer->next(500);
    const auto answer = ask(shelves, part(n, body, writer->done()));
    if (writer->done()) {
      EXPECT_EQ(std::get<say::Appended>(*answer.saying).last, 9u);
    }
  }
  EXPECT_EQ(shelves.find(log)->messages, 31u);
  EXPECT_EQ(shelves.find(log)->state.last, 9u);
  std::size_t folders = 0;
  for ([[maybe_unused]] const auto& e : fs::directory_iterator(folder / "copies")) folders++;
  EXPECT_EQ(folders, 1u);
}

TEST_F(Shelf, DamageIsForgottenPromisesAndAllOfItGoes) {
  {
    Shelves shelves(options());
    for (int i = 0; i < 5; i++) append(shelves, static_cast<Position>(i), "m" + std::to_string(i), first);
  }
  for (const auto& e : fs::recursive_directory_iterator(folder / "copies")) {
    if (e.path().extension() != ".hv2") continue;
    std::fstream file(e.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(e.file_size() / 2));
    file.write("damage", 6);
  }
  Shelves shelves(options());
  EXPECT_TRUE(shelves.forgot());
  EXPECT_TRUE(shelves.all().empty());
}

TEST_F(Shelf, ALogBeyondTheLimitIsTurnedAwayAndSaysSo) {
  Shelves shelves(options(3'000'000));
  append(shelves, 0, "m1", first);
  log = {"P", 3};
  const auto answer = append(shelves, 0, "m2", first);
  EXPECT_EQ(answer.kind, Packet::Kind::full);
  EXPECT_NE(answer.text.find("copies.disk_mb"), std::string::npos) << answer.text;
}

TEST_F(Shelf, WhatMovedIsReleasedAndItsPromisesStay) {
  {
    Shelves shelves(options());
    append(shelves, 0, "m1", first);
    ask(shelves, word(say::Claim{second}));
    EXPECT_TRUE(
        std::holds_alternative<say::Accepted>(*ask(shelves, word(say::Move{second, {"A", 1}})).saying));
    Packet release;
    release.kind = Packet::Kind::release, release.log = log, release.epoch = second;
    shelves.hear(release, [](const Packet&) { ADD_FAILURE() << "a release is answered by nothing"; });
    EXPECT_EQ(shelves.find(log)->messages, 0u);
  }
  Shelves shelves(options());
  EXPECT_EQ(shelves.find(log)->state.promised, second);
  ASSERT_TRUE(shelves.find(log)->state.moved);
  EXPECT_TRUE(std::holds_alternative<say::Refused>(*append(shelves, 1, "m2", first).saying));
}

TEST_F(Shelf, WhoHoldsALogNoMoreKeepsItsPromisesAlone) {
  Shelves shelves(options());
  append(shelves, 0, "m1", first);
  shelves.empty(log);
  const auto view = shelves.find(log);
  EXPECT_EQ(view->messages, 0u);
  EXPECT_EQ(view->state.last, 0u);
  EXPECT_EQ(view->state.promised, first);
  // Should it be a holder again, it lacks all: it never says that it has what it dropped.
  const auto answer = append(shelves, 1, "m2", first);
  EXPECT_EQ(std::get<say::Behind>(*answer.saying).last, 0u);
}

// What it acknowledged is there after a restart; what it could not write it never acknowledged.
TEST_F(Shelf, AFullShelfAcknowledgesNothingThatItHasNotWritten) {
  Position acknowledged = 0;
  std::string why;
  {
    Shelves shelves(options());
    for (int i = 0; i < 4'000 && why.empty(); i++) {
      auto m = message("m" + std::to_string(i));
      m.body.assign(500, 'x');
      own->store.put(store::record::Accepted{own->store.next_number(), {m, {}, {}, false}});
      ASSERT_TRUE(own->store.commit());
      Packet p = word(say::Append{
          first, acknowledged, acknowledged == 0 ? Epoch{} : first, {{first, own->entries.back()}}, config});
      p.disk = 1;  // the least there is
      const auto answer = ask(shelves, p);
      if (answer.kind == Packet::Kind::full)
        why = answer.text;
      else
        acknowledged = std::get<say::Appended>(*answer.saying).last;
    }
  }
  EXPECT_NE(why.find("limit"), std::string::npos) << why;
  EXPECT_GT(acknowledged, 100u);
  Shelves shelves(options());
  EXPECT_FALSE(shelves.forgot());
  EXPECT_EQ(shelves.find(log)->state.last, acknowledged);
  EXPECT_EQ(shelves.find(log)->messages, acknowledged);
}

// ---- Connections. ----
class Connections : public ::testing::Test {
 protected:
  using Tcp = net::ip::tcp;
  std::unique_ptr<Streams> member(const std::string& name, const Streams::Address& at,
                                  const std::string& cluster) {
    Streams::Hooks h;
    h.knows = [](const std::string& n) { return n != "stranger"; };
    h.greet = [this](const std::string&, Hello& hello) { hello.seen_mark = greeted; };
    h.met = [this](const Hello& hello) { events.push_back("met " + hello.self.name); };
    h.up = [this](const Member& m) { events.push_back("up " + m.name); };
    h.down = [this](const std::string& n) { events.push_back("down " + n); };
    h.answer = [this](const Member& m, Packet p) { events.push_back("answer " + m.name + " " + p.text); };
    h.asked = [this](const Member& m, Packet p, Streams::Reply reply) {
      events.push_back("asked by " + m.name);
      p.text = "yes";
      reply(p);
    };
    return std::make_unique<Streams>(io, at, Hello{cluster, {name, 1}, 1, 0, 0}, std::move(h));
  }
  static Streams::Address free_address() {
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
  std::uint64_t greeted = 0;
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
  a->keep("B", at_b);
  ASSERT_TRUE(wait([&] { return happened("up B"); }));
  Packet p;
  p.kind = Packet::Kind::heard, p.log = {"C", 1};
  EXPECT_TRUE(a->say({"B", 1}, p));
  EXPECT_FALSE(a->say({"B", 2}, p)) << "another life of its disk";
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
  other->keep("A", at_a), stranger->keep("A", at_a);
  ASSERT_TRUE(wait([&] { return a->counts().strangers >= 2; }));
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
  EXPECT_EQ(a->counts().unreadable, before.unreadable + 1);
  EXPECT_TRUE(closes(std::string("\x03\0\0\0\0\0\0\0abc", 11))) << "no hello";
  // A member that sends what can't be read after its hello.
  EXPECT_TRUE(closes(write_hello({"lab", {"B", 1}, 1, 0, 0}) + std::string("\x02\0\0\0\0\0\0\0{}", 10)));
  EXPECT_EQ(a->counts().unreadable, before.unreadable + 2);
  EXPECT_TRUE(closes("")) << "silence";
  EXPECT_FALSE(happened("up A"));
}

}  // namespace
}  // namespace heronvane::copies

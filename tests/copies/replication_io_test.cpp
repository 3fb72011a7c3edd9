// Tests of the I/O side of log replication: encoding of packets, states as records, replica logs through
// restarts and damage, and connections, which must reject non-members.
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

#include "copies/frame_codec.hpp"
#include "copies/peer_connections.hpp"
#include "copies/replica_logs.hpp"
#include "copies/state_records.hpp"
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

std::string print(const ProtocolMessage& message) {
  std::ostringstream out;
  out << message;
  return out.str();
}

TEST(Packet, DecodesToWhatWasEncoded) {
  for (std::uint64_t seed = 1; seed <= 3'000; seed++) {
    Random random(seed);
    Packet packet;
    packet.log = random.member();
    packet.message = random.message();
    packet.epoch = random.epoch();
    packet.chunk = random.below(1'000), packet.last = random.below(2) != 0,
    packet.numbered_records = random.below(1'000);
    packet.log_time = static_cast<Microseconds>(random.below(1'000'000)),
    packet.last_contact_age = static_cast<Microseconds>(random.below(3)) - 1;
    packet.salt = static_cast<store::Salt>(random.below(1ULL << 32)),
    packet.leader_disk_bytes = random.below(1 << 30);
    if (!std::holds_alternative<protocol::Append>(*packet.message)) packet.body = random.text();
    const std::string frame = write_packet(packet);
    const auto lengths = read_frame_lengths(frame);
    ASSERT_EQ(frame.size(), kFrameHeaderBytes + lengths.head + lengths.body);
    const auto decoded = read_packet(std::string_view(frame).substr(kFrameHeaderBytes, lengths.head),
                                     frame.substr(kFrameHeaderBytes + lengths.head));
    ASSERT_TRUE(decoded) << frame;
    EXPECT_EQ(print(*decoded->message), print(*packet.message));
    EXPECT_EQ(decoded->log, packet.log);
    EXPECT_EQ(decoded->epoch, packet.epoch);
    EXPECT_EQ(std::tie(decoded->chunk, decoded->last, decoded->numbered_records, decoded->log_time,
                       decoded->last_contact_age, decoded->salt, decoded->leader_disk_bytes, decoded->body),
              std::tie(packet.chunk, packet.last, packet.numbered_records, packet.log_time,
                       packet.last_contact_age, packet.salt, packet.leader_disk_bytes, packet.body));
  }
}

TEST(Packet, MalformedBytesAreDecodedOrRejected) {
  std::size_t decoded_count = 0;
  for (std::uint64_t seed = 1; seed <= 20'000; seed++) {
    Random random(seed);
    Packet packet;
    packet.log = random.member(), packet.message = random.message();
    std::string frame = write_packet(packet);
    for (auto i = random.below(4); i > 0; i--)
      frame[kFrameHeaderBytes + random.below(frame.size() - kFrameHeaderBytes)] =
          static_cast<char>(random.below(256));
    decoded_count += check_packet(frame);
  }
  EXPECT_GT(decoded_count, 4'000u);
  EXPECT_LT(decoded_count, 20'000u);
}

TEST(Packet, FuzzCorpusIsDecoded) {
  std::size_t files = 0, packets = 0;
  for (const auto& file : fs::directory_iterator(HERONVANE_CORPUS)) {
    std::ifstream in(file.path(), std::ios::binary);
    packets += check_packet({std::istreambuf_iterator<char>(in), {}});
    files++;
  }
  EXPECT_EQ(files, 15u);
  EXPECT_EQ(packets, 14u);  // the 15th file is a hello
}

TEST(Packet, StatesAndImportsRoundTrip) {
  for (std::uint64_t seed = 1; seed <= 500; seed++) {
    Random random(seed);
    const Epoch promised = random.epoch(), last = random.epoch();
    const Config config = random.config();
    const std::optional<Moved> moved =
        random.below(2) ? std::optional(Moved{random.epoch(), random.member()}) : std::nullopt;
    const auto state = read_state(write_state(promised, seed, last, config, moved, -5, 7));
    ASSERT_TRUE(state);
    EXPECT_EQ(state->promised, promised);
    EXPECT_EQ(state->last, seed);
    EXPECT_EQ(state->last_epoch, last);
    EXPECT_EQ(state->config, config);
    EXPECT_EQ(state->moved, moved);
    EXPECT_EQ(state->clock_offset, -5);
    Import import{random.member(), config, last, seed, seed + 9, std::nullopt};
    if (random.below(2)) import.via = random.member();
    const auto decoded_import = read_import(write_import(import));
    ASSERT_TRUE(decoded_import);
    EXPECT_EQ(std::tie(decoded_import->log, decoded_import->config, decoded_import->epoch,
                       decoded_import->from, decoded_import->to, decoded_import->via),
              std::tie(import.log, import.config, import.epoch, import.from, import.to, import.via));
  }
  EXPECT_FALSE(read_state("{}"));
  EXPECT_FALSE(read_import("[]"));
}

// ---- States as records. ----
Message make_message(const std::string& id) {
  Message message;
  message.id = id, message.message_class = "pay", message.destination = 3, message.body = "body of " + id;
  message.deadline = store::system_clocks().wall + 60'000'000;
  return message;
}

class LeaderStore {  // a store whose sink keeps the written batches
 public:
  explicit LeaderStore(const std::string& path) : disk_(folder(path)), store(*disk_, options()), sink_{this} {
    store.set_log_sink(&sink_);
  }
  static std::unique_ptr<store::Disk> folder(const std::string& path) {
    fs::create_directories(path);
    return store::open_folder(path);
  }
  static store::Options options() {
    store::Options options;
    options.limit_bytes = 40'000'000;
    return options;
  }
  MessageId accept_message(const std::string& id) {
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
    explicit Sink(LeaderStore* owner) : leader_store(owner) {}
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

// The store changes while a snapshot is written in chunks. A replica that applies all batches and all chunks
// in order must end with the same state.
TEST(StateRecords, ChunksAndBatchesInOrderReproduceTheState) {
  for (std::uint64_t seed = 1; seed <= 60; seed++) {
    Folder folder;
    LeaderStore leader_store(folder / "own"), copy(folder / "copy");
    Random random(seed);
    std::vector<MessageId> numbers;
    const auto change = [&] {
      for (auto i = random.below(6); i > 0; i--) {
        const auto change_kind = random.below(6);
        if (change_kind < 2 || numbers.empty()) {
          numbers.push_back(leader_store.accept_message("m" + std::to_string(seed) + "-" +
                                                        std::to_string(leader_store.store.next_number())));
          continue;
        }
        const MessageId number = numbers[random.below(numbers.size())];
        const Held* const held = leader_store.store.find(number);
        if (held == nullptr) continue;
        if (change_kind == 2) leader_store.store.sent(number, 5, 1);
        if (change_kind == 3 && !held->attempts.empty())
          leader_store.store.outcome(number, 0, Outcome::reset);
        if (change_kind == 4) leader_store.store.give_up(number, {true, 9});
        if (change_kind == 5) leader_store.store.finish(number);
        leader_store.store.set_fact("k" + std::to_string(random.below(5)),
                                    random.below(3) ? std::to_string(random.below(9)) : "");
      }
      ASSERT_TRUE(leader_store.store.commit());
    };
    const auto apply = [&](const std::string& frames) {
      ASSERT_TRUE(read_records(leader_store.store.salt(), frames,
                               [&](store::Record&& record) { copy.store.put(std::move(record)); }));
      ASSERT_TRUE(copy.store.commit());
    };
    for (int i = 0; i < 20; i++) change();
    leader_store.entries.clear();
    StateWriter state_writer(leader_store.store);
    while (!state_writer.done()) {
      change();
      for (const auto& entry : std::exchange(leader_store.entries, {})) apply(entry);
      apply(state_writer.next(400));
    }
    for (int i = 0; i < 5; i++) change();
    for (const auto& entry : leader_store.entries) apply(entry);
    expect_same_state(leader_store.store, copy.store);
    EXPECT_EQ(copy.store.next_number(), leader_store.store.next_number());
  }
}

// ---- Replica logs. ----
class ReplicaLog : public ::testing::Test {
 protected:
  ReplicaLogsOptions options(std::uint64_t limit = 20'000'000) {
    ReplicaLogsOptions log_options;
    log_options.folder = folder / "copies";
    log_options.limit_bytes = limit;
    log_options.now = [] { return Microseconds{1'000'000}; };
    log_options.steady = [] { return Microseconds{7}; };
    return log_options;
  }
  Packet make_packet(ProtocolMessage message) {
    Packet packet;
    packet.log = log, packet.message = std::move(message), packet.salt = leader_store->store.salt(),
    packet.leader_disk_bytes = 2'000'000, packet.log_time = 1'500'000;
    return packet;
  }
  static Packet request(ReplicaLogs& replica_logs, const Packet& packet) {
    std::optional<Packet> answer;
    replica_logs.handle(packet, [&](Packet received) {
      EXPECT_FALSE(answer);
      answer = std::move(received);
    });
    EXPECT_TRUE(answer);
    return answer.value_or(Packet{});
  }
  Packet append(ReplicaLogs& replica_logs, Position after, const std::string& id, Epoch epoch) {
    leader_store->accept_message(id);
    EXPECT_TRUE(leader_store->store.commit());
    return request(
        replica_logs,
        make_packet(protocol::Append{
            epoch, after, after == 0 ? Epoch{} : epoch, {{epoch, leader_store->entries.back()}}, config}));
  }
  Folder folder;
  Member leader{"O", 5}, a{"A", 6};
  LogId log{"O", 77};
  Epoch first{1, leader}, second{2, a};
  Config config{{first, 1}, {a}, {}};
  std::unique_ptr<LeaderStore> leader_store = std::make_unique<LeaderStore>(folder / "own");
};

TEST_F(ReplicaLog, KeepsEntriesAndPromisesAfterRestart) {
  {
    ReplicaLogs replica_logs(options());
    const auto done = append(replica_logs, 0, "m1", first);
    EXPECT_EQ(std::get<protocol::Appended>(*done.message).last, 1u);
    append(replica_logs, 1, "m2", first);
    EXPECT_TRUE(std::holds_alternative<protocol::Promised>(
        *request(replica_logs, make_packet(protocol::Claim{second})).message));
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
  Packet read = make_packet(protocol::Read{second});
  const auto state = request(replica_logs, read);
  EXPECT_TRUE(state.last);
  EXPECT_EQ(state.numbered_records, 2u);
  EXPECT_EQ(state.log_time, 1'500'000);
  std::vector<std::string> ids;
  EXPECT_TRUE(read_records(state.salt, state.body, [&](store::Record&& record) {
    if (const auto* const accepted = std::get_if<store::record::Accepted>(&record))
      ids.push_back(accepted->held.message.id);
  }));
  EXPECT_EQ(ids, (std::vector<std::string>{"m1", "m2"}));
}

TEST_F(ReplicaLog, SnapshotReplacesReplicaOnlyOnceComplete) {
  const auto chunk = [&](std::uint64_t index, const std::string& body, bool last) {
    Packet packet = make_packet(protocol::Snapshot{second, 9, first, config});
    if (!last) packet.message.reset();
    packet.kind = Packet::Kind::snapshot_chunk, packet.chunk = index, packet.body = body, packet.last = last,
    packet.epoch = second;
    return packet;
  };
  StateWriter* state_writer = nullptr;
  std::unique_ptr<StateWriter> writer;
  {
    ReplicaLogs replica_logs(options());
    append(replica_logs, 0, "old", first);
    for (int i = 0; i < 30; i++) leader_store->accept_message("m" + std::to_string(i));
    ASSERT_TRUE(leader_store->store.commit());
    writer = std::make_unique<StateWriter>(leader_store->store);
    state_writer = writer.get();
    EXPECT_EQ(request(replica_logs, chunk(0, state_writer->next(500), false)).kind,
              Packet::Kind::chunk_accepted);
    EXPECT_EQ(request(replica_logs, chunk(5, state_writer->next(500), false)).kind, Packet::Kind::unavailable)
        << "chunk out of order";
    EXPECT_EQ(replica_logs.find(log)->messages, 1u);
  }
  // After a restart in the middle of the snapshot, the earlier copy is still in use.
  ReplicaLogs replica_logs(options());
  EXPECT_EQ(replica_logs.find(log)->messages, 1u);
  writer = std::make_unique<StateWriter>(leader_store->store);
  for (std::uint64_t index = 0; !writer->done(); index++) {
    const auto body = writer->next(500);
    const auto answer = request(replica_logs, chunk(index, body, writer->done()));
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

TEST_F(ReplicaLog, DamageLosesPromisesAndDiscardsAllReplicas) {
  {
    ReplicaLogs replica_logs(options());
    for (int i = 0; i < 5; i++)
      append(replica_logs, static_cast<Position>(i), "m" + std::to_string(i), first);
  }
  for (const auto& entry : fs::recursive_directory_iterator(folder / "copies")) {
    if (entry.path().extension() != ".hv2") continue;
    std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(entry.file_size() / 2));
    file.write("damage", 6);
  }
  ReplicaLogs replica_logs(options());
  EXPECT_TRUE(replica_logs.lost_promises());
  EXPECT_TRUE(replica_logs.all().empty());
}

TEST_F(ReplicaLog, LogBeyondDiskLimitIsRejectedWithReason) {
  ReplicaLogs replica_logs(options(3'000'000));
  append(replica_logs, 0, "m1", first);
  log = {"P", 3};
  const auto answer = append(replica_logs, 0, "m2", first);
  EXPECT_EQ(answer.kind, Packet::Kind::unavailable);
  EXPECT_NE(answer.reason.find("copies.disk_mb"), std::string::npos) << answer.reason;
}

TEST_F(ReplicaLog, ReleaseOfAMovedLogDeletesMessagesAndKeepsPromises) {
  {
    ReplicaLogs replica_logs(options());
    append(replica_logs, 0, "m1", first);
    request(replica_logs, make_packet(protocol::Claim{second}));
    EXPECT_TRUE(std::holds_alternative<protocol::Accepted>(
        *request(replica_logs, make_packet(protocol::Move{second, {"A", 1}})).message));
    Packet release;
    release.kind = Packet::Kind::release, release.log = log, release.epoch = second;
    replica_logs.handle(release, [](const Packet&) { ADD_FAILURE() << "a release must not be answered"; });
    EXPECT_EQ(replica_logs.find(log)->messages, 0u);
  }
  ReplicaLogs replica_logs(options());
  EXPECT_EQ(replica_logs.find(log)->state.promised, second);
  ASSERT_TRUE(replica_logs.find(log)->state.moved);
  EXPECT_TRUE(std::holds_alternative<protocol::Refused>(*append(replica_logs, 1, "m2", first).message));
}

TEST_F(ReplicaLog, DiscardedEntriesLeaveOnlyThePromises) {
  ReplicaLogs replica_logs(options());
  append(replica_logs, 0, "m1", first);
  replica_logs.discard_entries(log);
  const auto view = replica_logs.find(log);
  EXPECT_EQ(view->messages, 0u);
  EXPECT_EQ(view->state.last, 0u);
  EXPECT_EQ(view->state.promised, first);
  // If it becomes a replica again, it must not acknowledge entries that it has dropped.
  const auto answer = append(replica_logs, 1, "m2", first);
  EXPECT_EQ(std::get<protocol::Behind>(*answer.message).last, 0u);
}

// After a restart, a replica log that reached its disk limit has every acknowledged entry. It never
// acknowledges an entry that it could not write.
TEST_F(ReplicaLog, FullReplicaLogAcknowledgesOnlyWrittenEntries) {
  Position acknowledged = 0;
  std::string reason;
  {
    ReplicaLogs replica_logs(options());
    for (int i = 0; i < 4'000 && reason.empty(); i++) {
      auto message = make_message("m" + std::to_string(i));
      message.body.assign(500, 'x');
      leader_store->store.put(
          store::record::Accepted{leader_store->store.next_number(), {message, {}, {}, false}});
      ASSERT_TRUE(leader_store->store.commit());
      Packet packet = make_packet(protocol::Append{first,
                                                   acknowledged,
                                                   acknowledged == 0 ? Epoch{} : first,
                                                   {{first, leader_store->entries.back()}},
                                                   config});
      packet.leader_disk_bytes = 1;  // raised to the minimum
      const auto answer = request(replica_logs, packet);
      if (answer.kind == Packet::Kind::unavailable)
        reason = answer.reason;
      else
        acknowledged = std::get<protocol::Appended>(*answer.message).last;
    }
  }
  EXPECT_NE(reason.find("limit"), std::string::npos) << reason;
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
  std::unique_ptr<PeerConnections> member(const std::string& name, const PeerConnections::Address& address,
                                          const std::string& cluster) {
    PeerConnections::Hooks hooks;
    hooks.is_member = [](const std::string& peer_name) { return peer_name != "stranger"; };
    hooks.fill_hello = [this](const std::string&, Hello& hello) { hello.seen_mark = seen_mark; };
    hooks.on_hello = [this](const Hello& hello) { events.push_back("met " + hello.self.name); };
    hooks.on_up = [this](const Member& peer) { events.push_back("up " + peer.name); };
    hooks.on_down = [this](const std::string& peer_name) { events.push_back("down " + peer_name); };
    hooks.on_answer = [this](const Member& peer, Packet packet) {
      events.push_back("answer " + peer.name + " " + packet.reason);
    };
    hooks.on_request = [this](const Member& peer, Packet packet, PeerConnections::Reply reply) {
      events.push_back("asked by " + peer.name);
      packet.reason = "yes";
      reply(packet);
    };
    return std::make_unique<PeerConnections>(io, address, Hello{cluster, {name, 1}, 1, 0, 0},
                                             std::move(hooks));
  }
  static PeerConnections::Address free_address() {
    net::io_context scratch;
    Tcp::acceptor acceptor(scratch, Tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint();
  }
  bool wait(const std::function<bool()>& done) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < deadline) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
  }
  bool happened(const std::string& event) const {
    return std::count(events.begin(), events.end(), event) > 0;
  }
  net::io_context io;
  std::vector<std::string> events;
  std::uint64_t seen_mark = 0;
};

TEST(Addresses, OnlyLoopbackAndPrivateAreAccepted) {
  for (const char* address : {"127.0.0.1", "10.1.2.3", "172.16.0.1", "172.31.255.1", "192.168.7.1",
                              "169.254.1.1", "::1", "fd00::1", "fe80::1"})
    EXPECT_TRUE(is_private(net::ip::make_address(address))) << address;
  for (const char* address : {"8.8.8.8", "172.32.0.1", "172.15.0.1", "193.168.0.1", "0.0.0.0", "2001:db8::1"})
    EXPECT_FALSE(is_private(net::ip::make_address(address))) << address;
}

TEST_F(Connections, MembersExchangePacketsAndReconnect) {
  const auto at_a = free_address(), at_b = free_address();
  auto a = member("A", at_a, "lab"), b = member("B", at_b, "lab");
  a->connect_to("B", at_b);
  ASSERT_TRUE(wait([&] { return happened("up B"); }));
  Packet packet;
  packet.kind = Packet::Kind::last_contact, packet.log = {"C", 1};
  EXPECT_TRUE(a->send({"B", 1}, packet));
  EXPECT_FALSE(a->send({"B", 2}, packet)) << "different incarnation of its disk";
  ASSERT_TRUE(wait([&] { return happened("answer B yes"); }));
  EXPECT_TRUE(happened("asked by A"));
  b.reset();
  ASSERT_TRUE(wait([&] { return happened("down B"); }));
  events.clear();
  b = member("B", at_b, "lab");
  EXPECT_TRUE(wait([&] { return happened("up B"); }));
}

TEST_F(Connections, NonMembersOtherClustersAndMalformedDataAreRejectedAndCounted) {
  const auto at_a = free_address(), at_b = free_address(), at_c = free_address();
  const auto a = member("A", at_a, "lab");
  const auto other = member("B", at_b, "another"), stranger = member("stranger", at_c, "lab");
  other->connect_to("A", at_a), stranger->connect_to("A", at_a);
  ASSERT_TRUE(wait([&] { return a->counts().rejected_hellos >= 2; }));
  const auto closes = [&](const std::string& bytes) {
    Tcp::socket socket(io);
    socket.connect(at_a);
    net::write(socket, net::buffer(bytes));
    bool closed = false;
    char received_byte = 0;
    std::function<void()> read = [&] {
      socket.async_read_some(
          net::buffer(&received_byte, 1),
          [&](boost::system::error_code error, std::size_t) { error ? void(closed = true) : read(); });
    };
    read();
    return wait([&] { return closed; });
  };
  const auto before = a->counts();
  EXPECT_TRUE(closes(std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8))) << "oversized";
  EXPECT_EQ(a->counts().malformed_frames, before.malformed_frames + 1);
  EXPECT_TRUE(closes(std::string("\x03\0\0\0\0\0\0\0abc", 11))) << "no hello";
  // A member that sends a malformed packet after its hello.
  EXPECT_TRUE(closes(write_hello({"lab", {"B", 1}, 1, 0, 0}) + std::string("\x02\0\0\0\0\0\0\0{}", 10)));
  EXPECT_EQ(a->counts().malformed_frames, before.malformed_frames + 2);
  EXPECT_TRUE(closes("")) << "silence";
  EXPECT_FALSE(happened("up A"));
}

}  // namespace
}  // namespace heronvane::copies

// Runs heronvane-store on folders that the library wrote: checks its output and exit status, and that no
// command changes a byte of the folder.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/crc.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "store/scan.hpp"
#include "store/store.hpp"

namespace heronvane::store::testing {
namespace {

namespace fs = std::filesystem;

std::string content(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void put_content(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}
std::map<std::string, std::string> files(const fs::path& folder) {
  std::map<std::string, std::string> all;
  for (const auto& f : fs::recursive_directory_iterator(folder))
    all[f.path()] = f.is_directory() ? "" : content(f.path());
  return all;
}

std::string decode_base64(const std::string& text) {
  const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int n = 0;
  for (const char c : text) {
    if (c == '=') break;
    bits = bits << 6 | static_cast<std::uint32_t>(digits.find(c));
    if ((n += 6) >= 8) out += static_cast<char>(bits >> (n -= 8) & 0xff);
  }
  return out;
}

struct FrameLocation {
  std::uint64_t from = 0, to = 0;
  Sequence sequence = 0;
};
// Finds the frame whose payload contains `marker`.
FrameLocation frame_with(const fs::path& path, const std::string& marker) {
  const std::string bytes = content(path), name = path.filename();
  const auto salt = static_cast<Salt>(std::stoul(name.substr(name.size() - 12, 8), nullptr, 16));
  Scan scan(salt, bytes);
  while (const auto found = scan.next())
    if (const auto* f = std::get_if<Frame>(&*found); f && f->payload.find(marker) != std::string::npos)
      return {f->offset, f->offset + f->bytes(), f->header.sequence};
  ADD_FAILURE() << marker << " is not in " << path;
  return {};
}

class Tool : public ::testing::Test {
 protected:
  Tool() {
    std::string pattern = (fs::temp_directory_path() / "heronvane-tool-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
      throw std::system_error(errno, std::generic_category(), pattern);
    root = pattern;
    folder = root / "state", copy = root / "copy";
    fs::create_directory(folder);
  }
  ~Tool() override { fs::remove_all(root); }

  static Options options() {
    Options o;
    o.limit_bytes = 1'000'000;
    return o;
  }
  static Message message(const std::string& id, const std::string& body) {
    Message m;
    m.id = id, m.message_class = "pay-and-order", m.tenant = "acme", m.destination = 7, m.body = body;
    m.deadline = system_clocks().wall + 3'600'000'000;
    m.repeat = true;
    return m;
  }
  static void accept(Store& store, const std::string& id, const std::string& body) {
    const auto m = message(id, body);
    ASSERT_TRUE(store.admit(m));
    store.accept(store.next_number(), m);
    ASSERT_TRUE(store.commit());
  }
  // Three messages in the first segment, the third of them finished; one message and a fact in the second.
  void fill() {
    {
      const auto disk = open_folder(folder);
      Store store(*disk, options());
      accept(store, "first", "BODY-1"), accept(store, "second", every_byte()),
          accept(store, "third", "BODY-3");
      store.sent(1, store.clock().now(), 2), store.outcome(1, 0, Outcome::rejected),
          store.sent(1, store.clock().now(), 1);
      store.give_up(2, {true, 1'500'000}), store.finish(3);
      ASSERT_TRUE(store.commit());
    }
    const auto disk = open_folder(folder);
    Store store(*disk, options());
    accept(store, "fourth", "BODY-4");
    store.set_fact("drain/x", "41");
    ASSERT_TRUE(store.commit());
  }
  static std::string every_byte() {
    std::string all = "BODY-2";
    for (int i = 0; i < 256; i++) all += static_cast<char>(i);
    return all;
  }
  fs::path segment(int number) const {
    for (const auto& f : fs::directory_iterator(folder))
      if (f.path().filename().string().rfind("segment-000000000" + std::to_string(number), 0) == 0)
        return f.path();
    ADD_FAILURE() << "no segment " << number;
    return {};
  }
  FrameLocation damage_second() const {
    const auto place = frame_with(segment(1), "BODY-2");
    std::string bytes = content(segment(1));
    bytes[static_cast<std::size_t>(place.to) - 20] ^= 1;
    put_content(segment(1), bytes);
    return place;
  }

  // Runs the tool and returns its exit status; its output is in `out` and `err`. Checks that the folder is
  // unchanged.
  int run(const std::vector<std::string>& arguments, const std::string& to = {},
          const std::string& first = {}) {
    const auto before = files(folder);
    std::string line = first + "'" HERONVANE_STORE_TOOL "'";
    for (const auto& a : arguments) line += " '" + a + "'";
    const fs::path o = to.empty() ? root / "out" : fs::path(to);
    const int status = std::system((line + " >" + o.string() + " 2>" + (root / "err").string()).c_str());
    out = to.empty() ? content(o) : "", err = content(root / "err");
    EXPECT_EQ(files(folder), before) << line;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  void expect_output(const std::string& what) const {
    EXPECT_NE(out.find(what), std::string::npos) << what << "\n" << out;
  }
  void expect_no_output(const std::string& what) const {
    EXPECT_EQ(out.find(what), std::string::npos) << out;
  }
  void expect_error(const std::string& what) const { EXPECT_NE(err.find(what), std::string::npos) << err; }

  fs::path root, folder, copy;
  std::string out, err;
};

TEST_F(Tool, SoundFolder) {
  fill();
  EXPECT_EQ(run({"verify", folder}), 0) << err;
  expect_output(segment(1).filename().string() + ": format 2, ");
  expect_output(segment(2).filename().string() + ": format 2, ");
  expect_output("3 messages held, 1 of them given up; 1 id remembered; 1 fact");
  expect_output("\nsound\n");

  EXPECT_EQ(run({"show", folder}), 0) << err;
  expect_output("2: full, not seen");
  expect_output("given up: deferred, again after 1.5 s");
  expect_output("third");
  expect_output("drain/x");
  expect_no_output("BODY");
  EXPECT_EQ(run({"show", folder, "first"}), 0) << err;
  expect_output("may have run  yes");
  expect_output("outcome full");
  expect_output("6 bytes, shown with --body");
  expect_no_output("BODY");
  expect_no_output("fourth");
  EXPECT_EQ(run({"show", "--body", folder, "#2"}), 0) << err;
  expect_output("BODY-2\\x00\\x01");
  EXPECT_EQ(run({"show", folder, "third"}), 0) << err;
  expect_output("over; its id is remembered for");
  EXPECT_EQ(run({"show", folder, "fifth"}), 2);
  expect_error("no message of that id");
}

// A message id from a client must not reach the terminal unescaped.
TEST_F(Tool, ClientsBytesAreEscaped) {
  {
    const auto disk = open_folder(folder);
    Store store(*disk, options());
    accept(store, "a\x1b[2Jb\xff", "x");
  }
  EXPECT_EQ(run({"show", folder}), 0) << err;
  expect_output("a\\x1b[2Jb\\xff");
  expect_no_output("\x1b");
  EXPECT_EQ(run({"export", folder}), 0) << err;
  rapidjson::Document d;
  d.Parse(out.c_str());
  ASSERT_FALSE(d.HasParseError()) << out;
  EXPECT_EQ(decode_base64(d["id_base64"].GetString()), "a\x1b[2Jb\xff");
}

TEST_F(Tool, ExportIsJsonAndKeepsEveryByte) {
  fill();
  EXPECT_EQ(run({"export", folder}), 0) << err;
  std::map<std::string, std::vector<rapidjson::Document>> all;
  std::istringstream lines(out);
  for (std::string line; std::getline(lines, line);) {
    rapidjson::Document d;
    d.Parse(line.c_str());
    ASSERT_FALSE(d.HasParseError()) << line;
    all[d["type"].GetString()].push_back(std::move(d));
  }
  ASSERT_EQ(all["message"].size(), 3u);
  ASSERT_EQ(all["remembered"].size(), 1u);
  ASSERT_EQ(all["fact"].size(), 1u);
  const auto& first = all["message"][0];
  EXPECT_EQ(first["number"].GetUint64(), 1u);
  EXPECT_STREQ(first["class"].GetString(), "pay-and-order");
  EXPECT_EQ(first["destination"].GetInt64(), 7);
  EXPECT_TRUE(first["may_have_run"].GetBool());
  ASSERT_EQ(first["attempts"].Size(), 2u);
  EXPECT_STREQ(first["attempts"][0]["outcome"].GetString(), "full");
  EXPECT_EQ(first["attempts"][0]["zone"].GetInt(), 2);
  EXPECT_TRUE(first["attempts"][1]["outcome"].IsNull());
  EXPECT_TRUE(first["ending"].IsNull());
  const auto& second = all["message"][1];
  EXPECT_EQ(decode_base64(second["body_base64"].GetString()), every_byte());
  EXPECT_EQ(second["ending"]["again"].GetInt64(), 1'500'000);
  EXPECT_STREQ(all["remembered"][0]["id"].GetString(), "third");
  EXPECT_STREQ(all["fact"][0]["value"].GetString(), "41");
}

// A kill in the middle of a write is no damage.
TEST_F(Tool, TornEndIsSound) {
  fill();
  const auto place = frame_with(segment(2), "drain/x");
  fs::resize_file(segment(2), place.to - 5);
  EXPECT_EQ(run({"verify", folder}), 0) << out;
  expect_output("torn end: bytes " + std::to_string(place.from) + " to " + std::to_string(place.to - 5));
  expect_output("\nsound\n");
}

TEST_F(Tool, VerifyReportsTheDamagedBytes) {
  fill();
  const auto place = damage_second();
  EXPECT_EQ(run({"verify", folder}), 1) << err;
  expect_output("damaged: bytes " + std::to_string(place.from) + " to " + std::to_string(place.to) + "\n");
  expect_output("missing: record " + std::to_string(place.sequence) + "\n");
  expect_output("DAMAGED: 1 place, about 1 record missing; 1 message held");
  EXPECT_EQ(run({"show", folder}), 1);
  expect_output("open; in doubt");
  expect_error("verify");
  EXPECT_EQ(run({"export", folder}), 1);
  expect_output("\"doubt\":true");
}

TEST_F(Tool, VerifyReportsAMissingSegment) {
  fill();
  fs::remove(segment(1));
  EXPECT_EQ(run({"verify", folder}), 1) << err;
  expect_output("segment 1: the file is missing\n  missing: records 1 to ");
  EXPECT_EQ(run({"repair", folder, copy}), 1) << err;
  expect_output("lost: segment 1: the file is missing");
  EXPECT_EQ(run({"verify", copy}), 0) << out;
  expect_output("1 message held");
}

TEST_F(Tool, RepairedCopyIsSoundAndHoldsTheReadableRecords) {
  fill();
  damage_second();
  EXPECT_EQ(run({"repair", folder, copy}), 1) << err;
  expect_output("lost: " + segment(1).filename().string() + ": bytes ");
  expect_output("in doubt: message 1, id first");
  expect_output("written and read back: 2 messages, 1 ids, 1 facts");
  EXPECT_EQ(run({"verify", copy}), 0) << out;

  // A start on the folder and one on the copy must find the same.
  const auto d1 = open_folder(folder), d2 = open_folder(copy);
  const Store s1(*d1, options()), s2(*d2, options());
  EXPECT_TRUE(s2.recovery().damaged.empty());
  EXPECT_EQ(s2.next_number(), s1.next_number());
  EXPECT_EQ(s2.facts(), s1.facts());
  EXPECT_TRUE(s2.remembers("third"));
  ASSERT_EQ(s2.held().size(), 2u);
  const Held &a = s1.held().at(1), &b = s2.held().at(1);
  EXPECT_TRUE(b.doubt);
  EXPECT_EQ(b.message.deadline, a.message.deadline);
  ASSERT_EQ(b.attempts.size(), 2u);
  EXPECT_EQ(b.attempts[0].sent, a.attempts[0].sent);
  EXPECT_EQ(b.attempts[0].outcome, Outcome::rejected);
  EXPECT_FALSE(s2.held().at(4).doubt);
  EXPECT_EQ(s2.held().at(4).message.body, "BODY-4");
}

// Several segments, each of the size that the store gives them.
TEST_F(Tool, RepairOfManyMessages) {
  {
    const auto disk = open_folder(folder);
    Store store(*disk, options());
    for (int i = 0; i < 100; i++) accept(store, "m" + std::to_string(i), std::string(3000, 'b'));
  }
  EXPECT_EQ(run({"repair", folder, copy}), 0) << err;
  EXPECT_EQ(run({"verify", copy}), 0) << out;
  const auto disk = open_folder(copy);
  const Store store(*disk, options());
  EXPECT_EQ(store.held().size(), 100u);
  EXPECT_GT(store.recovery().segments, 5u);
  EXPECT_EQ(store.recovery().counts.missing, 0u);
}

// The volume fills up during the repair: no partial output may be left.
TEST_F(Tool, FailedRepairRemovesItsOutput) {
  {
    const auto disk = open_folder(folder);
    Store store(*disk, options());
    for (int i = 0; i < 10; i++) accept(store, "m" + std::to_string(i), std::string(30'000, 'b'));
  }
  EXPECT_EQ(run({"repair", folder, copy}, {}, "trap '' XFSZ; ulimit -f 16; "), 2);
  expect_error("File too large");
  EXPECT_FALSE(fs::exists(copy));
  fs::create_directory(copy);
  EXPECT_EQ(run({"repair", folder, copy}, {}, "trap '' XFSZ; ulimit -f 16; "), 2);
  EXPECT_TRUE(fs::is_empty(copy));
}

TEST_F(Tool, RepairRefusesUnsuitableFolders) {
  fill();
  fs::create_directory(copy);
  put_content(copy / "precious", "x");
  EXPECT_EQ(run({"repair", folder, copy}), 2);
  expect_error("not empty");
  EXPECT_EQ(content(copy / "precious"), "x");
  EXPECT_EQ(run({"repair", folder, folder}), 2);
  EXPECT_EQ(run({"repair", folder, folder / "inside"}), 2);
  expect_error("must stay as it is");
  EXPECT_EQ(run({"repair", folder, root / "no" / "such"}), 2);
  expect_error("no/such");
}

// The result of copying a folder file by file while the relay writes.
TEST_F(Tool, CopyOfAFolderInUse) {
  const auto disk = open_folder(folder);
  auto store = std::make_unique<Store>(*disk, options());
  accept(*store, "first", "BODY-1");
  fs::create_directory(copy);
  fs::copy(segment(1), copy / segment(1).filename());
  accept(*store, "second", "BODY-2");
  store = std::make_unique<Store>(*disk, options());
  accept(*store, "third", "BODY-3");
  fs::copy(segment(2), copy / segment(2).filename());
  EXPECT_EQ(run({"verify", copy}), 1) << out << err;
  expect_output("cut off at byte " + std::to_string(fs::file_size(copy / segment(1).filename())));
  expect_output("2 messages held");
  EXPECT_EQ(run({"repair", copy, root / "sound"}), 1) << err;
  EXPECT_EQ(run({"verify", root / "sound"}), 0) << out;
}

TEST_F(Tool, FolderInUseIsRefused) {
  fill();
  const auto disk = open_folder(folder);
  for (const std::string command : {"verify", "show", "export"}) {
    EXPECT_EQ(run({command, folder}), 3) << command;
    expect_error("another process has " + folder.string());
    EXPECT_EQ(out, "");
  }
  EXPECT_EQ(run({"repair", folder, copy}), 3);
  EXPECT_FALSE(fs::exists(copy));
}

// The tool's lock excludes relays, not other tools.
TEST_F(Tool, SeveralToolsMayReadAFolder) {
  fill();
  const auto disk = open_folder(folder, true);
  EXPECT_EQ(run({"verify", folder}), 0) << err;
}

TEST_F(Tool, FormatOne) {
  const auto number = [](auto v) { return std::string(reinterpret_cast<const char*>(&v), sizeof v); };
  const auto text = [&](const std::string& store) {
    return number(static_cast<std::uint32_t>(store.size())) + store;
  };
  const auto frame = [&](const std::string& payload) {
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    return number(static_cast<std::uint32_t>(payload.size())) + number(crc.checksum()) + payload;
  };
  const Microseconds deadline = system_clocks().wall + 60'000'000;
  std::string journal = "heronvane journal 1\n";
  for (const MessageId n : {1, 2})
    journal += frame("T" + number(n) + text("old-" + std::to_string(n)) + text("c") + text("t") +
                     number(std::int64_t{3}) + number(deadline) + '\0' + text("BODY"));
  journal += frame("S" + number(MessageId{2}) + number(deadline - 60'000'000) + number(std::int32_t{1}));
  put_content(folder / "journal", journal);
  EXPECT_EQ(run({"verify", folder}), 0) << err;
  expect_output("journal: format 1, " + std::to_string(journal.size()) + " bytes, 3 records");
  EXPECT_EQ(run({"show", folder}), 0) << err;
  expect_output("old-2");
  EXPECT_EQ(run({"repair", folder, copy}), 0) << err;
  {
    const auto disk = open_folder(copy);
    const Store store(*disk, options());
    ASSERT_EQ(store.held().size(), 2u);
    EXPECT_EQ(store.held().at(2).attempts.size(), 1u);
  }
  put_content(folder / "journal", journal + frame("X" + number(MessageId{1})).substr(0, 12));
  EXPECT_EQ(run({"verify", folder}), 0) << err;
  expect_output("torn end: bytes " + std::to_string(journal.size()) + " to " +
                std::to_string(journal.size() + 12));
  put_content(folder / "journal", "heronvane journal 7\nwhatever it may hold");
  EXPECT_EQ(run({"verify", folder}), 2);
  expect_error("format that this program does not know");
}

TEST_F(Tool, WrongArguments) {
  fill();
  const std::vector<std::pair<std::vector<std::string>, std::string>> wrong = {
      {{}, "no command"},
      {{"mend", folder}, "unknown command mend"},
      {{"verify"}, "needs a FOLDER"},
      {{"verify", folder, "x"}, "too many"},
      {{"verify", folder, "--fast"}, "unknown option --fast"},
      {{"repair", folder}, "needs a COPY"},
      {{"show", folder, "--body"}, "--body belongs to"},
      {{"verify", root / "nowhere"}, "nowhere"},
      {{"verify", root}, "holds no file of a store"},
      {{"verify", segment(1)}, "Not a directory"}};
  for (const auto& [arguments, why] : wrong) {
    EXPECT_EQ(run(arguments), 2) << why;
    expect_error(why);
    EXPECT_EQ(out, "");
  }
  EXPECT_EQ(run({"--help"}), 0);
  expect_output("repair FOLDER COPY");
  EXPECT_EQ(run({"--version"}), 0);
  expect_output("formats 1 and 2");
}

// If the volume of standard output is full, messages are not saved.
TEST_F(Tool, FailedOutputIsReported) {
  fill();
  EXPECT_EQ(run({"export", folder}, "/dev/full"), 2);
  expect_error("not complete");
}

// Takes snapshots while a store is written and compacted. Each must contain the messages that were held
// throughout, and none that was finished before it began; once restored, each message may have run.
TEST_F(Tool, SnapshotsDuringWrites) {
  fs::create_directories(folder);
  std::atomic<bool> stop{false}, commit_failed{false};
  std::atomic<std::uint64_t> commits{0};
  std::mutex mutex;
  std::set<std::string> held, finished;
  std::thread writer([&] {
    const auto disk = open_folder(folder);
    auto o = options();
    o.limit_bytes = 400'000;  // small segments, much compaction
    Store store(*disk, o);
    std::deque<MessageId> open_messages;
    for (int i = 0; !stop; i++) {
      const auto m = message("m" + std::to_string(i), std::string(500, 'x'));
      if (store.admit(m)) {
        open_messages.push_back(store.next_number());
        store.accept(open_messages.back(), m);
      }
      std::string finished_id;
      if (open_messages.size() > 40) {
        // One in ten stays, so compaction has records to move.
        const auto at = open_messages.begin() + (i % 10 == 0 ? 5 : 0);
        finished_id = store.find(*at)->message.id;
        store.finish(*at);
        open_messages.erase(at);
      }
      // States that a kill could leave: a message is held from its commit on, and may be finished as soon as
      // that is requested.
      {
        const std::lock_guard lock(mutex);
        if (!finished_id.empty()) held.erase(finished_id);
      }
      if (!store.commit()) commit_failed = true;
      commits++;
      while (store.wants_compaction() && store.compact() == Store::Step::more) {
      }
      const std::lock_guard lock(mutex);
      if (!open_messages.empty() && store.find(open_messages.back())->message.id == m.id) held.insert(m.id);
      if (!finished_id.empty()) finished.insert(finished_id);
    }
  });
  struct StopsWriter {
    std::atomic<bool>& stop;
    std::thread& thread;
    ~StopsWriter() {
      stop = true;
      if (thread.joinable()) thread.join();
    }
  } stops_writer{stop, writer};
  const auto held_and_finished = [&] {
    const std::lock_guard lock(mutex);
    return std::pair(held, finished);
  };
  while (commits == 0 && !commit_failed) ::usleep(100);  // until then the folder contains no store
  for (int round = 0; round < 24; round++) {
    const auto before = held_and_finished();
    const std::string to = root / ("snapshot" + std::to_string(round));
    // The tool is stopped at times, until much has been written and compacted.
    const pid_t tool = ::fork();
    if (tool == 0) {
      ::dup2(::open("/dev/null", O_WRONLY), 1);
      ::execl(HERONVANE_STORE_TOOL, HERONVANE_STORE_TOOL, "snapshot", folder.c_str(), to.c_str(), nullptr);
      ::_exit(127);
    }
    int status = 0;
    for (int stops = 0; ::waitpid(tool, &status, WNOHANG) == 0;) {
      ::usleep(200);
      if (stops++ > 60) continue;
      ::kill(tool, SIGSTOP);
      const auto until = commits + 300;
      while (commits < until && !commit_failed) ::usleep(100);
      ::kill(tool, SIGCONT);
    }
    const auto after = held_and_finished();
    EXPECT_EQ(status, 0);
    if (status != 0) break;
    const std::string again = root / ("restored" + std::to_string(round));
    ASSERT_EQ(
        std::system(("'" HERONVANE_STORE_TOOL "' restore '" + to + "' '" + again + "' >/dev/null").c_str()),
        0);
    const auto disk = open_folder(again);
    Store store(*disk, options());
    std::set<std::string> found;
    for (const auto& [number, h] : store.held()) {
      found.insert(h.message.id);
      EXPECT_TRUE(h.doubt) << h.message.id;
    }
    EXPECT_TRUE(store.recovery().damaged.empty());
    for (const auto& id : before.first)
      if (after.first.count(id) > 0) {
        EXPECT_EQ(found.count(id), 1u) << id << " is missing";
      }
    for (const auto& id : before.second) EXPECT_EQ(found.count(id), 0u) << id << " came back";
  }
  EXPECT_FALSE(commit_failed);
}

TEST_F(Tool, ASnapshotMustBeRestoredFirst) {
  fill();
  const std::string to = root / "snapshot";
  EXPECT_EQ(run({"snapshot", folder, to}), 0) << err;
  expect_output("3 messages");
  EXPECT_EQ(run({"verify", to}), 2);  // its segments are in a subfolder
  EXPECT_EQ(run({"snapshot", folder, to}), 2);
  expect_error("not empty");
  EXPECT_EQ(run({"restore", folder, root / "x"}), 2);
  expect_error("is no snapshot");
  EXPECT_EQ(run({"restore", to, root / "x"}), 0) << err;
  expect_output("may have run or been ended since");
  EXPECT_EQ(run({"show", "--body", root / "x", "first"}), 0) << err;
  expect_output("BODY-1");
}

}  // namespace
}  // namespace heronvane::store::testing

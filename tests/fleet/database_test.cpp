// The agent's database: save, restore, damage, a full disk and pruning.
#include "database.hpp"

#include <gtest/gtest.h>
#include <sqlite3.h>
#include <unistd.h>

#include <filesystem>

namespace heronvane::fleet::testing {
namespace {

class DatabaseTest : public ::testing::Test {
 protected:
  DatabaseTest() {
    folder =
        (std::filesystem::temp_directory_path() / ("heronvane-database-test-" + std::to_string(::getpid())))
            .string();
    std::filesystem::create_directories(folder);
  }
  ~DatabaseTest() override { std::filesystem::remove_all(folder); }
  std::string file() const { return folder + "/agent.db"; }
  static FleetSpec read(const std::string& text) {
    FleetSpec s;
    s.text = text;
    return s;
  }
  static action::Record record() {
    action::Record r;
    r.record = 1;
    r.generation = 4;
    r.last_operation = 7;
    r.fleet = read("{\"fleet\":4}");
    InstanceRow row;
    row.name = "n0";
    row.listen = "127.0.0.1:8081";
    row.desired = Desired::drained;
    row.changed = 4;
    row.wanted = 4;
    row.config = 3;
    row.digest = std::string("a\0b", 3);
    row.fence = 7;
    row.run = "0123456789abcdef";
    row.live = true;
    row.pid = 71;
    row.retire = "00ff";
    row.drain_kept = true;
    row.removing = true;
    row.restarts = 9;
    row.last_exit = "signal 9";
    r.instances = {row};
    Operation o;
    o.id = 7;
    o.kind = Kind::rollback;
    o.by = "somebody";
    o.generation = 4;
    o.max_unavailable = 2;
    o.created = 5;
    o.ended = 6;
    o.message = "why";
    o.superseded_by = 8;
    o.diff = {"- a", "+ b"};
    Step s;
    s.instance = "n0";
    s.state = StepState::acting;
    s.what = "what";
    s.since = 3;
    s.run_before = "00ff";
    s.work = Step::Work::rewrite;
    o.steps = {s, s};
    r.operations = {o};
    return r;
  }
  void edit(const std::string& sql) const {
    sqlite3* db = nullptr;
    sqlite3_open(file().c_str(), &db);
    EXPECT_EQ(sqlite3_exec(db, sql.c_str(), nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  }
  std::string folder;
};

TEST_F(DatabaseTest, RecordIsRestoredCompletely) {
  const ProcessId who{71, 12345, "boot"};
  { EXPECT_EQ(Database(file()).save(1, record(), {{"n0", who}}), ""); }
  Database db(file());
  const Restored r = db.restore(read);
  EXPECT_EQ(r.generation, 4u);
  EXPECT_EQ(r.last_operation, 7u);
  EXPECT_EQ(r.fleet.text, "{\"fleet\":4}");
  ASSERT_EQ(r.instances.size(), 1u);
  const auto made = record();
  const auto &row = r.instances[0], &was = made.instances[0];
  EXPECT_EQ(
      std::tie(row.name, row.listen, row.desired, row.changed, row.wanted, row.config, row.digest, row.fence),
      std::tie(was.name, was.listen, was.desired, was.changed, was.wanted, was.config, was.digest,
               was.fence));
  EXPECT_EQ(std::tie(row.run, row.live, row.pid, row.retire, row.drain_kept, row.ended_drained, row.removing,
                     row.restarts, row.last_exit),
            std::tie(was.run, was.live, was.pid, was.retire, was.drain_kept, was.ended_drained, was.removing,
                     was.restarts, was.last_exit));
  ASSERT_EQ(r.operations.size(), 1u);
  const auto &o = r.operations[0], &p = made.operations[0];
  EXPECT_EQ(std::tie(o.id, o.kind, o.by, o.state, o.generation, o.max_unavailable, o.created, o.ended,
                     o.message, o.superseded_by, o.diff),
            std::tie(p.id, p.kind, p.by, p.state, p.generation, p.max_unavailable, p.created, p.ended,
                     p.message, p.superseded_by, p.diff));
  ASSERT_EQ(o.steps.size(), 2u);
  const auto &s = o.steps[1], &t = p.steps[1];
  EXPECT_EQ(std::tie(s.instance, s.state, s.what, s.since, s.run_before, s.work),
            std::tie(t.instance, t.state, t.what, t.since, t.run_before, t.work));
  EXPECT_EQ(db.processes().at("n0"), who);
  EXPECT_FALSE(db.history(10).empty());
}

TEST_F(DatabaseTest, RowsAreReplacedAndDeleted) {
  Database db(file());
  auto r = record();
  EXPECT_EQ(db.save(1, r, {}), "");
  r.fleet.reset();
  r.generation = 5;
  r.operations[0].state = OperationState::done;
  r.operations[0].steps.pop_back();
  r.instances.clear();
  r.removed = {"n0"};
  EXPECT_EQ(db.save(2, r, {}), "");
  const Restored now = db.restore(read);
  EXPECT_TRUE(now.instances.empty());
  ASSERT_EQ(now.operations.size(), 1u);
  EXPECT_EQ(now.operations[0].steps.size(), 1u);
  EXPECT_EQ(now.operations[0].state, OperationState::done);
  EXPECT_EQ(now.fleet.text, "{\"fleet\":4}");
  EXPECT_EQ(db.fleet_at(5), "{\"fleet\":4}");
  EXPECT_EQ(db.fleet_at(3), std::nullopt);
}

TEST_F(DatabaseTest, NewerSchemaVersionIsRefusedAndUnchanged) {
  { Database db(file()); }
  edit("PRAGMA user_version=2");
  const auto size = std::filesystem::file_size(file());
  try {
    Database db(file());
    FAIL();
  } catch (const DatabaseError& e) {
    EXPECT_NE(std::string(e.what()).find("schema version 2, newer than 1"), std::string::npos);
  }
  EXPECT_EQ(std::filesystem::file_size(file()), size);
}

TEST_F(DatabaseTest, NonDatabaseFileIsReported) {
  {
    std::FILE* f = std::fopen(file().c_str(), "w");
    std::fputs("this is no database at all, but some text", f);
    std::fclose(f);
  }
  EXPECT_THROW(Database db(file()), DatabaseError);
  EXPECT_THROW(Database db(folder + "/none/agent.db"), DatabaseError);
}

TEST_F(DatabaseTest, InvalidEnumValueIsReported) {
  { EXPECT_EQ(Database(file()).save(1, record(), {}), ""); }
  edit("UPDATE instances SET desired=17");
  Database db(file());
  EXPECT_THROW(db.restore(read), DatabaseError);
}

// On a full disk a save fails as a whole and leaves the database unchanged.
TEST_F(DatabaseTest, FailedSaveChangesNothing) {
  Database db(file());
  EXPECT_EQ(db.save(1, record(), {}), "");
  db.limit_pages(1);  // the file is larger already
  auto r = record();
  r.generation = 9;
  r.instances[0].restarts = 10;
  r.fleet = read(std::string(100'000, 'x'));
  EXPECT_NE(db.save(2, r, {}), "");
  EXPECT_EQ(db.restore(read).generation, 4u);
  EXPECT_EQ(db.restore(read).instances[0].restarts, 9u);
  db.limit_pages(0);
  EXPECT_EQ(db.save(3, r, {}), "");
  EXPECT_EQ(db.restore(read).instances[0].restarts, 10u);
}

TEST_F(DatabaseTest, OldRowsArePrunedAndNeededOnesKept) {
  DatabaseOptions o;
  o.operations_kept = 3;
  o.fleets_kept = 2;
  o.history_kept = 5;
  Database db(file(), o);
  for (std::uint64_t i = 1; i <= 20; i++) {
    auto r = record();
    r.generation = i;
    r.last_operation = i;
    r.fleet = read(std::to_string(i));
    r.operations[0].id = i;
    r.operations[0].state = i == 2 ? OperationState::running : OperationState::done;
    r.instances[0].wanted = 5;  // the instance still runs with the fleet of generation 5
    r.instances[0].config = 5;
    ASSERT_EQ(db.save(static_cast<Microseconds>(i), r, {}), "");
  }
  const Restored r = db.restore(read);
  ASSERT_EQ(r.operations.size(), 4u);  // three ended ones and the running one
  EXPECT_EQ(r.operations[0].id, 2u);
  EXPECT_EQ(r.operations[3].id, 20u);
  EXPECT_EQ(db.fleet_at(5), "5");
  EXPECT_EQ(db.fleet_at(4), std::nullopt);
  EXPECT_EQ(db.history(100).size(), 5u);
}

}  // namespace
}  // namespace heronvane::fleet::testing

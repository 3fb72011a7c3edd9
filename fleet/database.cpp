#include "database.hpp"

#include <sqlite3.h>
#include <sys/stat.h>

#include <array>
#include <sstream>

namespace heronvane::fleet {

namespace {

// Raised by one for each change of the tables; migrate() has one step for each version.
constexpr int kSchemaVersion = 1;

constexpr const char* kSchema = R"(
CREATE TABLE state(one INTEGER PRIMARY KEY CHECK(one = 1), generation INTEGER NOT NULL,
  last_operation INTEGER NOT NULL, platform_index INTEGER NOT NULL);
INSERT INTO state VALUES(1, 0, 0, 0);
CREATE TABLE fleets(generation INTEGER PRIMARY KEY, applied INTEGER NOT NULL, text TEXT NOT NULL);
CREATE TABLE instances(name TEXT PRIMARY KEY, listen TEXT NOT NULL, desired INTEGER NOT NULL,
  changed INTEGER NOT NULL, wanted INTEGER NOT NULL, config INTEGER NOT NULL, digest TEXT NOT NULL,
  fence INTEGER NOT NULL, run TEXT NOT NULL, live INTEGER NOT NULL, pid INTEGER NOT NULL,
  start_time INTEGER NOT NULL, boot TEXT NOT NULL, retire TEXT NOT NULL, drain_kept INTEGER NOT NULL,
  ended_drained INTEGER NOT NULL, removing INTEGER NOT NULL, restarts INTEGER NOT NULL,
  last_exit TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE operations(id INTEGER PRIMARY KEY, kind INTEGER NOT NULL, by TEXT NOT NULL, state INTEGER NOT NULL,
  generation INTEGER NOT NULL, max_unavailable INTEGER NOT NULL, created INTEGER NOT NULL,
  ended INTEGER NOT NULL, message TEXT NOT NULL, superseded_by INTEGER NOT NULL, diff TEXT NOT NULL);
CREATE TABLE steps(operation INTEGER NOT NULL REFERENCES operations(id) ON DELETE CASCADE,
  position INTEGER NOT NULL, instance TEXT NOT NULL, state INTEGER NOT NULL, what TEXT NOT NULL,
  since INTEGER NOT NULL, run_before TEXT NOT NULL, work INTEGER NOT NULL,
  PRIMARY KEY(operation, position)) WITHOUT ROWID;
CREATE TABLE history(number INTEGER PRIMARY KEY AUTOINCREMENT, at INTEGER NOT NULL, about TEXT NOT NULL,
  text TEXT NOT NULL);
)";

template <class Enum>
Enum read_enum(std::int64_t value, Enum last, const char* what) {
  if (value < 0 || value > static_cast<std::int64_t>(last))
    throw DatabaseError(std::string("database: ") + what + " has the value " + std::to_string(value));
  return static_cast<Enum>(value);
}

// A line never contains a line break: it consists of names and JSON.
std::string join(const std::vector<std::string>& lines) {
  std::string all;
  for (const auto& line : lines) all.append(line).append(1, '\n');
  return all;
}
std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

}  // namespace

class Database::Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK) fail();
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  template <class... T>
  Statement& bind(const T&... values) {
    parameter_ = 0;
    sqlite3_reset(statement_);
    (put(values), ...);
    return *this;
  }
  bool step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) fail();
    column_ = 0;
    return result == SQLITE_ROW;
  }
  std::int64_t number() { return sqlite3_column_int64(statement_, column_++); }
  std::uint64_t count() { return static_cast<std::uint64_t>(number()); }
  bool flag() { return number() != 0; }
  std::string text() {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column_));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column_++));
    return bytes == nullptr ? std::string() : std::string(bytes, size);
  }

 private:
  [[noreturn]] void fail() { throw DatabaseError(std::string("database: ") + sqlite3_errmsg(db_)); }
  void check(int result) {
    if (result != SQLITE_OK) fail();
  }
  void put(const std::string& v) {
    check(sqlite3_bind_text64(statement_, ++parameter_, v.data(), v.size(), SQLITE_TRANSIENT, SQLITE_UTF8));
  }
  template <class T>
  void put(const T& v) {
    check(sqlite3_bind_int64(statement_, ++parameter_, static_cast<sqlite3_int64>(v)));
  }
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int parameter_ = 0, column_ = 0;
};

void Database::Close::operator()(sqlite3* db) const { sqlite3_close_v2(db); }

void Database::execute(const char* sql) {
  char* why = nullptr;
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, &why) == SQLITE_OK) return;
  const std::string text = why != nullptr ? why : sqlite3_errmsg(db_.get());
  sqlite3_free(why);
  throw DatabaseError("database: " + text);
}

Database::Database(const std::string& file, DatabaseOptions options) : options_(options) {
  sqlite3* opened = nullptr;
  const int result =
      sqlite3_open_v2(file.c_str(), &opened, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  db_.reset(opened);
  if (result != SQLITE_OK)
    throw DatabaseError("database: " + file + ": " +
                        (opened == nullptr ? "out of memory" : sqlite3_errmsg(opened)));
  ::chmod(file.c_str(), 0600);
  sqlite3_extended_result_codes(opened, 1);
  sqlite3_busy_timeout(opened, 2'000);
  // migrate() checks the version before it writes, so that a newer program's file stays unchanged.
  migrate();
  if (options_.max_pages > 0) limit_pages(options_.max_pages);
}

Database::~Database() = default;

void Database::limit_pages(int most) {
  execute(("PRAGMA max_page_count=" + std::to_string(most > 0 ? most : 1'073'741'823)).c_str());
}

void Database::migrate() {
  Statement user_version(db_.get(), "PRAGMA user_version");
  user_version.step();
  const auto version = user_version.number();
  user_version.bind();
  if (version > kSchemaVersion)
    throw DatabaseError("database: schema version " + std::to_string(version) + ", newer than " +
                        std::to_string(kSchemaVersion) +
                        ", the highest that this program supports: run the newer heronvane-agent");
  execute("PRAGMA journal_mode=WAL");
  execute("PRAGMA synchronous=FULL");
  execute("PRAGMA foreign_keys=ON");
  execute("PRAGMA journal_size_limit=4194304");
  if (version == kSchemaVersion) return;
  execute("BEGIN IMMEDIATE");
  if (version < 1) execute(kSchema);
  execute(("PRAGMA user_version=" + std::to_string(kSchemaVersion)).c_str());
  execute("COMMIT");
}

std::string Database::save(Microseconds now, const action::Record& record,
                           const std::map<std::string, ProcessId>& processes) {
  try {
    execute("BEGIN IMMEDIATE");
    write(now, record, processes);
    prune();
    execute("COMMIT");
    return {};
  } catch (const std::exception& error) {
    // After some errors SQLite has rolled back already.
    if (sqlite3_get_autocommit(db_.get()) == 0)
      sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    return error.what();
  }
}

void Database::write(Microseconds now, const action::Record& record,
                     const std::map<std::string, ProcessId>& processes) {
  Statement(db_.get(), "UPDATE state SET generation=?, last_operation=?")
      .bind(record.generation, record.last_operation)
      .step();
  if (record.fleet)
    Statement(db_.get(), "INSERT OR REPLACE INTO fleets VALUES(?,?,?)")
        .bind(record.generation, now, record.fleet->text)
        .step();
  for (const auto& operation : record.operations) write_operation(now, operation);
  for (const auto& row : record.instances) write_instance(now, row, processes);
  for (const auto& name : record.removed) {
    Statement(db_.get(), "DELETE FROM instances WHERE name=?").bind(name).step();
    add_history(now, "instance " + name, "removed");
  }
}

void Database::write_operation(Microseconds now, const Operation& operation) {
  const std::string subject = "operation " + std::to_string(operation.id);
  std::map<std::int64_t, std::int64_t> before;  // state of each step, by position
  std::optional<std::int64_t> state;
  {
    Statement query(db_.get(), "SELECT state FROM operations WHERE id=?");
    if (query.bind(operation.id).step()) state = query.number();
    Statement steps(db_.get(), "SELECT position, state FROM steps WHERE operation=?");
    steps.bind(operation.id);
    while (steps.step()) {
      const auto position = steps.number();
      before[position] = steps.number();
    }
  }
  Statement(db_.get(),
            "INSERT INTO operations VALUES(?,?,?,?,?,?,?,?,?,?,?) ON CONFLICT(id) DO UPDATE SET "
            "kind=excluded.kind, by=excluded.by, state=excluded.state, generation=excluded.generation, "
            "max_unavailable=excluded.max_unavailable, created=excluded.created, ended=excluded.ended, "
            "message=excluded.message, superseded_by=excluded.superseded_by, diff=excluded.diff")
      .bind(operation.id, operation.kind, operation.by, operation.state, operation.generation,
            operation.max_unavailable, operation.created, operation.ended, operation.message,
            operation.superseded_by, join(operation.diff))
      .step();
  if (state != static_cast<std::int64_t>(operation.state))
    add_history(now, subject,
                std::string(name_of(operation.kind)) + " by " + operation.by + ": " +
                    std::string(name_of(operation.state)) +
                    (operation.message.empty() ? "" : ": " + operation.message));
  Statement drop(db_.get(), "DELETE FROM steps WHERE operation=? AND position>=?");
  drop.bind(operation.id, operation.steps.size()).step();
  Statement insert(db_.get(), "INSERT OR REPLACE INTO steps VALUES(?,?,?,?,?,?,?,?)");
  for (std::size_t i = 0; i < operation.steps.size(); i++) {
    const auto& step = operation.steps[i];
    insert.bind(operation.id, i, step.instance, step.state, step.what, step.since, step.run_before, step.work)
        .step();
    const auto previous = before.find(static_cast<std::int64_t>(i));
    if (previous != before.end() && previous->second != static_cast<std::int64_t>(step.state))
      add_history(now, subject,
                  step.instance + ": " + std::string(name_of(step.state)) +
                      (step.what.empty() ? "" : ": " + step.what));
  }
}

void Database::write_instance(Microseconds now, const InstanceRow& row,
                              const std::map<std::string, ProcessId>& processes) {
  {
    Statement query(db_.get(), "SELECT run, live, last_exit FROM instances WHERE name=?");
    const bool known = query.bind(row.name).step();
    const std::string run = known ? query.text() : "";
    const bool live = known && query.flag();
    const std::string subject = "instance " + row.name;
    if (row.run != run) add_history(now, subject, "run " + row.run);
    if (live && !row.live) add_history(now, subject, "ended: " + row.last_exit);
  }
  const auto it = processes.find(row.name);
  const bool same = row.live && it != processes.end() && it->second.pid == row.pid;
  Statement(db_.get(), "INSERT OR REPLACE INTO instances VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)")
      .bind(row.name, row.listen, row.desired, row.changed, row.wanted, row.config, row.digest, row.fence,
            row.run, row.live, row.pid, same ? it->second.start_time : 0,
            same ? it->second.boot : std::string(), row.retire, row.drain_kept, row.ended_drained,
            row.removing, row.restarts, row.last_exit)
      .step();
}

void Database::add_history(Microseconds now, const std::string& subject, const std::string& text) {
  Statement(db_.get(), "INSERT INTO history(at, about, text) VALUES(?,?,?)").bind(now, subject, text).step();
}

void Database::prune() {
  Statement(db_.get(),
            "DELETE FROM operations WHERE state<>0 AND id<=(SELECT id FROM operations WHERE state<>0 "
            "ORDER BY id DESC LIMIT 1 OFFSET ?)")
      .bind(options_.operations_kept)
      .step();
  Statement(db_.get(), "DELETE FROM history WHERE number<=(SELECT max(number) FROM history)-?")
      .bind(options_.history_kept)
      .step();
  // Keeps each fleet that an instance runs with or should run with: the newest one that is not above its
  // generation.
  Statement(db_.get(),
            "DELETE FROM fleets WHERE generation<=(SELECT generation FROM fleets ORDER BY generation DESC "
            "LIMIT 1 OFFSET ?) AND generation<(SELECT coalesce(min(least),9223372036854775807) FROM (SELECT "
            "(SELECT max(f.generation) FROM fleets f WHERE f.generation<=CASE WHEN i.config>0 AND "
            "i.config<i.wanted THEN i.config ELSE i.wanted END) AS least FROM instances i))")
      .bind(options_.fleets_kept)
      .step();
}

Restored Database::restore(const ReadFleet& read) {
  Restored restored;
  {
    Statement query(db_.get(), "SELECT generation, last_operation FROM state");
    if (!query.step()) throw DatabaseError("database: table state has no row");
    restored.generation = query.count();
    restored.last_operation = query.count();
  }
  {
    Statement query(db_.get(), "SELECT text FROM fleets ORDER BY generation DESC LIMIT 1");
    if (query.step()) restored.fleet = read(query.text());
  }
  {
    Statement query(
        db_.get(),
        "SELECT name, listen, desired, changed, wanted, config, digest, fence, run, live, pid, retire, "
        "drain_kept, ended_drained, removing, restarts, last_exit FROM instances ORDER BY name");
    while (query.step()) {
      InstanceRow row;
      row.name = query.text();
      row.listen = query.text();
      row.desired = read_enum(query.number(), Desired::stopped, "desired");
      row.changed = query.count();
      row.wanted = query.count();
      row.config = query.count();
      row.digest = query.text();
      row.fence = query.count();
      row.run = query.text();
      row.live = query.flag();
      row.pid = static_cast<int>(query.number());
      row.retire = query.text();
      row.drain_kept = query.flag();
      row.ended_drained = query.flag();
      row.removing = query.flag();
      row.restarts = query.count();
      row.last_exit = query.text();
      restored.instances.push_back(std::move(row));
    }
  }
  Statement query(db_.get(),
                  "SELECT id, kind, by, state, generation, max_unavailable, created, ended, message, "
                  "superseded_by, diff FROM operations ORDER BY id");
  Statement steps(
      db_.get(),
      "SELECT instance, state, what, since, run_before, work FROM steps WHERE operation=? ORDER BY "
      "position");
  while (query.step()) {
    Operation operation;
    operation.id = query.count();
    operation.kind = read_enum(query.number(), Kind::rollback, "kind");
    operation.by = query.text();
    operation.state = read_enum(query.number(), OperationState::superseded, "state");
    operation.generation = query.count();
    operation.max_unavailable = static_cast<int>(query.number());
    operation.created = query.number();
    operation.ended = query.number();
    operation.message = query.text();
    operation.superseded_by = query.count();
    operation.diff = split(query.text());
    steps.bind(operation.id);
    while (steps.step()) {
      Step step;
      step.instance = steps.text();
      step.state = read_enum(steps.number(), StepState::skipped, "state of a step");
      step.what = steps.text();
      step.since = steps.number();
      step.run_before = steps.text();
      step.work = read_enum(steps.number(), Step::Work::rewrite, "work");
      operation.steps.push_back(std::move(step));
    }
    restored.operations.push_back(std::move(operation));
  }
  return restored;
}

std::map<std::string, ProcessId> Database::processes() {
  std::map<std::string, ProcessId> all;
  Statement query(db_.get(),
                  "SELECT name, pid, start_time, boot FROM instances WHERE live<>0 AND start_time<>0");
  while (query.step()) {
    const std::string name = query.text();
    ProcessId id;
    id.pid = static_cast<pid_t>(query.number());
    id.start_time = query.count();
    id.boot = query.text();
    all.emplace(name, std::move(id));
  }
  return all;
}

std::optional<std::string> Database::fleet_at(Generation generation) {
  Statement query(db_.get(), "SELECT text FROM fleets WHERE generation<=? ORDER BY generation DESC LIMIT 1");
  if (!query.bind(generation).step()) return {};
  return query.text();
}

std::int64_t Database::platform_index() {
  Statement query(db_.get(), "SELECT platform_index FROM state");
  return query.step() ? query.number() : 0;
}

bool Database::save_platform_index(std::int64_t index) {
  try {
    Statement(db_.get(), "UPDATE state SET platform_index=?").bind(index).step();
    return true;
  } catch (const DatabaseError&) {
    return false;
  }
}

std::vector<HistoryLine> Database::history(int limit) {
  std::vector<HistoryLine> all;
  Statement query(db_.get(), "SELECT at, about, text FROM history ORDER BY number DESC LIMIT ?");
  query.bind(limit);
  while (query.step()) {
    HistoryLine line;
    line.at = query.number();
    line.subject = query.text();
    line.text = query.text();
    all.push_back(std::move(line));
  }
  return all;
}

}  // namespace heronvane::fleet

#include "sqlite_side.hpp"

#include <stdexcept>
#include <utility>

namespace heronvane::bench {
namespace {

// Messages between deletions of expired ids, which are cheaper in bulk.
constexpr std::uint64_t kForgetEach = 1'000;

void bind(sqlite3_stmt* s, int at, std::int64_t v) { sqlite3_bind_int64(s, at, v); }
// Binds without a copy: `v` must outlive the step.
void bind(sqlite3_stmt* s, int at, const std::string& v) {
  sqlite3_bind_text(s, at, v.data(), static_cast<int>(v.size()), SQLITE_STATIC);
}
void bind_blob(sqlite3_stmt* s, int at, const std::string& v) {
  sqlite3_bind_blob(s, at, v.data(), static_cast<int>(v.size()), SQLITE_STATIC);
}
std::string bytes(sqlite3_stmt* s, int column) {
  const auto* const at = static_cast<const char*>(sqlite3_column_blob(s, column));
  return at == nullptr ? std::string()
                       : std::string(at, static_cast<std::size_t>(sqlite3_column_bytes(s, column)));
}

}  // namespace

std::string to_string(Synchronous s) {
  return s == Synchronous::off ? "OFF" : s == Synchronous::normal ? "NORMAL" : "FULL";
}

SqliteSide::SqliteSide(const std::filesystem::path& folder, Synchronous synchronous, Attempts attempts,
                       Rounds rounds)
    : rounds_(rounds), attempts_(attempts) {
  sqlite3* db = nullptr;
  const int opened = sqlite3_open((folder / "relay.db").c_str(), &db);
  db_.reset(db);
  require(opened, SQLITE_OK);
  execute("PRAGMA locking_mode=EXCLUSIVE");  // one owner, like the store: the WAL needs no shared index
  execute("PRAGMA journal_mode=WAL");        // wal_autocheckpoint keeps its default of 1000 pages
  execute(("PRAGMA synchronous=" + to_string(synchronous)).c_str());
  execute("PRAGMA cache_size=-65536");
  execute("PRAGMA temp_store=MEMORY");
  execute(
      "CREATE TABLE IF NOT EXISTS messages(number INTEGER PRIMARY KEY, id TEXT, class TEXT, tenant TEXT,"
      " destination INTEGER, deadline INTEGER, again INTEGER, body BLOB, sent INTEGER, zone INTEGER)");
  execute(
      "CREATE TABLE IF NOT EXISTS attempts(number INTEGER, attempt INTEGER, sent INTEGER, zone INTEGER,"
      " outcome INTEGER, PRIMARY KEY(number, attempt)) WITHOUT ROWID");
  execute("CREATE TABLE IF NOT EXISTS remembered(id TEXT PRIMARY KEY, until INTEGER) WITHOUT ROWID");
  execute("CREATE INDEX IF NOT EXISTS remembered_until ON remembered(until)");
  begin_ = prepare("BEGIN");
  commit_ = prepare("COMMIT");
  take_ = prepare("INSERT INTO messages VALUES(?,?,?,?,?,?,?,?,?,?)");
  sent_ = prepare("INSERT INTO attempts VALUES(?,?,?,?,NULL)");
  outcome_ = prepare("UPDATE attempts SET outcome=? WHERE number=? AND attempt=?");
  drop_attempts_ = prepare("DELETE FROM attempts WHERE number=?");
  drop_ = prepare("DELETE FROM messages WHERE number=?");
  remember_ = prepare("INSERT OR REPLACE INTO remembered VALUES(?,?)");
  forget_ = prepare("DELETE FROM remembered WHERE until<=?");
}

void SqliteSide::require(int result, int wanted) {
  if (result != wanted) throw std::runtime_error(std::string("SQLite: ") + sqlite3_errmsg(db_.get()));
}
void SqliteSide::execute(const char* sql) {
  require(sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr), SQLITE_OK);
}
SqliteSide::Statement SqliteSide::prepare(const char* sql) {
  sqlite3_stmt* s = nullptr;
  require(sqlite3_prepare_v3(db_.get(), sql, -1, SQLITE_PREPARE_PERSISTENT, &s, nullptr), SQLITE_OK);
  return Statement(s);
}
void SqliteSide::step(const Statement& statement) {
  require(sqlite3_step(statement.get()), SQLITE_DONE);
  sqlite3_reset(statement.get());
}

void SqliteSide::take(MessageId number, const Message& m, Microseconds sent) {
  sqlite3_stmt* const s = take_.get();
  const auto n = static_cast<std::int64_t>(number);
  bind(s, 1, n), bind(s, 2, m.id), bind(s, 3, m.message_class), bind(s, 4, m.tenant);
  bind(s, 5, m.destination), bind(s, 6, m.deadline), bind(s, 7, m.repeat), bind_blob(s, 8, m.body);
  if (attempts_ == Attempts::columns) bind(s, 9, sent), bind(s, 10, 1);
  step(take_);
  if (attempts_ == Attempts::columns) return;
  sqlite3_stmt* const a = sent_.get();
  bind(a, 1, n), bind(a, 2, 0), bind(a, 3, sent), bind(a, 4, 1);
  step(sent_);
}

void SqliteSide::end(const Open& one) {
  const auto n = static_cast<std::int64_t>(one.number);
  if (attempts_ == Attempts::table) {
    bind(outcome_.get(), 1, static_cast<int>(Outcome::served)), bind(outcome_.get(), 2, n);
    bind(outcome_.get(), 3, 0);
    step(outcome_);
    bind(drop_attempts_.get(), 1, n);
    step(drop_attempts_);
  }
  bind(drop_.get(), 1, n);
  step(drop_);
  bind(remember_.get(), 1, one.id);
  bind(remember_.get(), 2, std::max(one.deadline, now_) + rounds_.window);
  step(remember_);
}

void SqliteSide::forget() {
  forgot_at_ = next_;
  bind(forget_.get(), 1, now_);
  step(forget_);
}

void SqliteSide::round(std::size_t messages, Phase* phase) {
  const auto begun = Clock::now();
  step(begin_);
  if (open_.size() >= rounds_.lag) {
    for (const auto& one : open_.front()) end(one);
    open_.pop_front();
  }
  auto& taken = open_.emplace_back();
  taken.reserve(messages);
  for (std::size_t i = 0; i < messages; i++) {
    now_ += rounds_.tick;
    const MessageId number = next_++;
    auto m = make_message(number, now_);
    take(number, m, now_);
    taken.push_back({number, std::move(m.id), m.deadline});
  }
  if (next_ - forgot_at_ >= kForgetEach) forget();
  step(commit_);
  if (phase == nullptr) return;
  phase->messages += messages;
  phase->latency.add(seconds_since(begun));
}

Phase SqliteSide::run(std::size_t messages, double seconds) {
  Phase phase;
  const auto bytes = process_wchar();
  const auto begun = Clock::now();
  while (seconds_since(begun) < seconds) round(messages, &phase);
  phase.seconds = seconds_since(begun);
  phase.bytes = process_wchar() - bytes;
  return phase;
}

SqliteSide::Found SqliteSide::read() {
  Found found;
  const auto messages = prepare("SELECT * FROM messages ORDER BY number");
  while (sqlite3_step(messages.get()) == SQLITE_ROW) {
    sqlite3_stmt* const s = messages.get();
    const auto number = static_cast<MessageId>(sqlite3_column_int64(s, 0));
    Held& h = found.held.emplace_hint(found.held.end(), number, Held{})->second;
    Message& m = h.message;
    m.id = bytes(s, 1), m.message_class = bytes(s, 2), m.tenant = bytes(s, 3);
    m.destination = sqlite3_column_int64(s, 4), m.deadline = sqlite3_column_int64(s, 5);
    m.repeat = sqlite3_column_int(s, 6) != 0, m.body = bytes(s, 7);
    if (sqlite3_column_type(s, 8) != SQLITE_NULL)
      h.attempts.push_back({sqlite3_column_int64(s, 8), sqlite3_column_int(s, 9), std::nullopt});
  }
  const auto attempts = prepare("SELECT * FROM attempts ORDER BY number, attempt");
  auto at = found.held.begin();
  while (sqlite3_step(attempts.get()) == SQLITE_ROW) {
    sqlite3_stmt* const s = attempts.get();
    const auto number = static_cast<MessageId>(sqlite3_column_int64(s, 0));
    while (at != found.held.end() && at->first < number) ++at;
    if (at == found.held.end() || at->first != number) continue;
    Attempt a{sqlite3_column_int64(s, 2), sqlite3_column_int(s, 3), std::nullopt};
    if (sqlite3_column_type(s, 4) != SQLITE_NULL) a.outcome = static_cast<Outcome>(sqlite3_column_int(s, 4));
    at->second.attempts.push_back(a);
  }
  const auto remembered = prepare("SELECT id, until FROM remembered");
  while (sqlite3_step(remembered.get()) == SQLITE_ROW)
    found.remembered.emplace(bytes(remembered.get(), 0), sqlite3_column_int64(remembered.get(), 1));
  return found;
}

}  // namespace heronvane::bench

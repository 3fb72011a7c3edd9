#include "finals.hpp"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace heronvane::fleet {

namespace {

constexpr std::size_t kMaxIdBytes = 256;
constexpr std::int64_t kMaxAgainMs = 1'000'000'000'000;
constexpr int kBusyTimeoutMs = 50;              // longest wait for the lock of another process
constexpr std::int64_t kMaxDeletedRows = 1000;  // per transaction, beyond as many as it adds

std::string notice_problem(const rapidjson::Document& document) {
  if (!document.IsObject()) return "is not an object";
  const auto id = document.FindMember("id"), status = document.FindMember("status"),
             again = document.FindMember("again_ms");
  if (id == document.MemberEnd() || !id->value.IsString()) return "has no id";
  const std::string_view text(id->value.GetString(), id->value.GetStringLength());
  const auto control = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
  if (text.empty() || text.size() > kMaxIdBytes || std::any_of(text.begin(), text.end(), control))
    return "has an id that is empty, too long or holds control characters";
  if (status == document.MemberEnd() || !status->value.IsString()) return "has no status";
  if (status->value != "undeliverable" && status->value != "deferred") return "has an unknown status";
  if (again == document.MemberEnd() || again->value.IsNull()) return "";
  if (!again->value.IsInt64() || again->value.GetInt64() < 0 || again->value.GetInt64() > kMaxAgainMs)
    return "has an again_ms that is not a number of milliseconds";
  return "";
}

}  // namespace

const char* status_name(NoticeStatus status) {
  switch (status) {
    case NoticeStatus::undeliverable:
      return "undeliverable";
    case NoticeStatus::deferred:
      return "deferred";
  }
  return "";
}

std::optional<std::vector<Notice>> read_notices(std::string_view body, std::string& problem) {
  std::vector<Notice> notices;
  std::size_t number = 0;
  while (!body.empty()) {
    const std::string_view line = body.substr(0, body.find('\n'));
    body.remove_prefix(std::min(body.size(), line.size() + 1));
    number++;
    if (line.find_first_not_of(" \r\t") == std::string_view::npos) continue;
    rapidjson::Document document;
    // Iterative: recursive parsing of thousands of nested brackets would overflow the stack.
    document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(line.data(),
                                                                                           line.size());
    const std::string reason = document.HasParseError() ? "is not JSON" : notice_problem(document);
    if (!reason.empty()) {
      problem = "line " + std::to_string(number) + " " + reason;
      return std::nullopt;
    }
    Notice notice;
    notice.id.assign(document["id"].GetString(), document["id"].GetStringLength());
    notice.status = document["status"] == "deferred" ? NoticeStatus::deferred : NoticeStatus::undeliverable;
    if (const auto again = document.FindMember("again_ms");
        again != document.MemberEnd() && !again->value.IsNull())
      notice.again_ms = again->value.GetInt64();
    notices.push_back(std::move(notice));
  }
  return notices;
}

void Finals::Close::operator()(sqlite3* database) const { sqlite3_close(database); }
void Finals::Close::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

// One execution of a prepared statement; bound texts must outlive it.
class Finals::Run {
 public:
  explicit Run(const Statement& s) : statement_(s.get()) {}
  ~Run() { sqlite3_reset(statement_), sqlite3_clear_bindings(statement_); }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;
  void bind(int index, std::int64_t number) { sqlite3_bind_int64(statement_, index, number); }
  void bind(int index, std::string_view text) {
    sqlite3_bind_text(statement_, index, text.data(), static_cast<int>(text.size()), SQLITE_STATIC);
  }
  int step() { return sqlite3_step(statement_); }
  std::int64_t number(int index) const { return sqlite3_column_int64(statement_, index); }
  StoredNotice row() const {
    StoredNotice stored;
    const auto text = [this](int index) {
      const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, index));
      return bytes == nullptr
                 ? std::string()
                 : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_, index)));
    };
    stored.notice.id = text(0);
    stored.notice.status = text(1) == "deferred" ? NoticeStatus::deferred : NoticeStatus::undeliverable;
    if (sqlite3_column_type(statement_, 2) != SQLITE_NULL) stored.notice.again_ms = number(2);
    stored.received_ms = number(3);
    stored.repeats = number(4);
    return stored;
  }

 private:
  sqlite3_stmt* statement_;
};

Finals::Finals(const std::string& path, const Options& options) : path_(path), options_(options) {
  // SQLite gives the write-ahead log the mode of the file.
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0) throw std::runtime_error(path + ": can't be opened: " + std::strerror(errno));
  ::close(fd);
  sqlite3* database = nullptr;
  const int opened =
      sqlite3_open_v2(path.c_str(), &database, SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(database);
  if (opened != SQLITE_OK) throw std::runtime_error(path + ": can't be opened: " + sqlite3_errstr(opened));
  sqlite3_busy_timeout(database, kBusyTimeoutMs);
  execute_or_throw("PRAGMA journal_mode=WAL");
  execute_or_throw("PRAGMA synchronous=FULL");
  execute_or_throw("PRAGMA journal_size_limit=4194304");
  execute_or_throw(
      "CREATE TABLE IF NOT EXISTS finals(id TEXT PRIMARY KEY NOT NULL, status TEXT NOT NULL, again_ms "
      "INTEGER,"
      " received_ms INTEGER NOT NULL, repeats INTEGER NOT NULL)");
  execute_or_throw("CREATE INDEX IF NOT EXISTS finals_received ON finals(received_ms)");
  insert_ = prepare(
      "INSERT INTO finals(id,status,again_ms,received_ms,repeats) VALUES(?1,?2,?3,?4,0)"
      " ON CONFLICT(id) DO UPDATE SET repeats=repeats+1 RETURNING repeats");
  oldest_ = prepare("SELECT received_ms FROM finals ORDER BY received_ms, rowid LIMIT 1 OFFSET ?1");
  delete_ = prepare(
      "DELETE FROM finals WHERE rowid IN (SELECT rowid FROM finals WHERE received_ms < ?1"
      " ORDER BY received_ms, rowid LIMIT ?2)");
  find_ = prepare("SELECT id,status,again_ms,received_ms,repeats FROM finals WHERE id=?1");
  newest_ = prepare(
      "SELECT id,status,again_ms,received_ms,repeats FROM finals ORDER BY received_ms DESC, rowid DESC LIMIT "
      "?1");
  const Statement counted = prepare("SELECT count(*) FROM finals");
  Run run(counted);
  if (run.step() == SQLITE_ROW) count_ = run.number(0);
  set_max_bytes(options.max_bytes);
}
Finals::~Finals() = default;

int Finals::execute(const char* sql) { return sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr); }
void Finals::execute_or_throw(const char* sql) {
  if (execute(sql) == SQLITE_OK) return;
  throw std::runtime_error(path_ + ": can't be used: " + sqlite3_errmsg(db_.get()) +
                           "; free disk space, or move the file away: a new one is created");
}
Finals::Statement Finals::prepare(const char* sql) {
  sqlite3_stmt* s = nullptr;
  if (sqlite3_prepare_v3(db_.get(), sql, -1, SQLITE_PREPARE_PERSISTENT, &s, nullptr) != SQLITE_OK)
    throw std::runtime_error(path_ + ": is not a notice database: " + sqlite3_errmsg(db_.get()) +
                             "; move it away: a new one is created");
  return Statement(s);
}

void Finals::set_max_bytes(std::int64_t max_bytes) {
  std::int64_t size = 4096;
  {
    const Statement page = prepare("PRAGMA page_size");
    Run run(page);
    if (run.step() == SQLITE_ROW) size = run.number(0);
  }
  constexpr std::int64_t kMaxPages = 4294967294;  // the maximum of SQLite
  const std::int64_t pages = max_bytes > 0 ? std::max<std::int64_t>(1, max_bytes / size) : kMaxPages;
  execute(("PRAGMA max_page_count=" + std::to_string(pages)).c_str());
}

int Finals::insert_all(std::span<const Notice> notices, std::int64_t now_ms, std::int64_t& added) {
  for (const auto& notice : notices) {
    Run run(insert_);
    run.bind(1, notice.id), run.bind(2, std::string_view(status_name(notice.status))), run.bind(4, now_ms);
    if (notice.again_ms) run.bind(3, *notice.again_ms);
    int code = run.step();
    if (code == SQLITE_ROW) {
      added += run.number(0) == 0;
      code = run.step();
    }
    if (code != SQLITE_DONE) return code;
  }
  return SQLITE_OK;
}

int Finals::delete_oldest(std::int64_t rows, std::int64_t& deleted) {
  Run run(delete_);
  run.bind(1, INT64_MAX), run.bind(2, rows);
  const int code = run.step();
  if (code != SQLITE_DONE) return code;
  deleted += sqlite3_changes64(db_.get());
  return SQLITE_OK;
}

void Finals::rollback() {
  // If the disk was full, SQLite may have rolled back already.
  if (sqlite3_get_autocommit(db_.get()) == 0) execute("ROLLBACK");
}

Finals::StoreResult Finals::store(std::span<const Notice> notices, std::int64_t now_ms) {
  error_.clear();
  if (notices.empty()) return StoreResult::yes;
  std::int64_t added = 0, deleted = 0;
  int code = execute("BEGIN IMMEDIATE");
  if (code == SQLITE_OK) code = insert_all(notices, now_ms, added);
  if (const std::int64_t excess = count_ + added - options_.max_notices; code == SQLITE_OK && excess > 0)
    code = delete_oldest(std::min(excess, added + kMaxDeletedRows), deleted);
  if (code == SQLITE_OK) code = execute("COMMIT");
  if (code == SQLITE_OK) {
    count_ += added - deleted;
    return StoreResult::yes;
  }
  error_ = path_ + ": " + sqlite3_errmsg(db_.get());
  rollback();
  return (code & 0xff) == SQLITE_FULL ? StoreResult::full : StoreResult::failed;
}

std::size_t Finals::prune(std::int64_t now_ms, std::size_t max_rows) {
  const std::int64_t before = now_ms - options_.keep_ms;
  const auto max_deleted = static_cast<std::int64_t>(max_rows);
  const std::int64_t excess = std::min(count_ - options_.max_notices, max_deleted);
  {
    // Writes nothing and takes no lock if there is nothing to delete.
    Run first(oldest_);
    first.bind(1, 0);
    const bool aged = first.step() == SQLITE_ROW && first.number(0) < before;
    if (!aged && excess <= 0) return 0;
  }
  Run run(delete_);
  run.bind(1, excess > 0 ? INT64_MAX : before), run.bind(2, excess > 0 ? excess : max_deleted);
  if (run.step() != SQLITE_DONE) return 0;
  const auto deleted = sqlite3_changes64(db_.get());
  count_ -= deleted;
  return static_cast<std::size_t>(deleted);
}

std::optional<StoredNotice> Finals::find(const std::string& id) {
  Run run(find_);
  run.bind(1, std::string_view(id));
  if (run.step() != SQLITE_ROW) return std::nullopt;
  return run.row();
}

std::vector<StoredNotice> Finals::newest(std::size_t max_notices) {
  std::vector<StoredNotice> all;
  Run run(newest_);
  run.bind(1, static_cast<std::int64_t>(max_notices));
  while (run.step() == SQLITE_ROW) all.push_back(run.row());
  return all;
}

}  // namespace heronvane::fleet

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

constexpr std::size_t kMostId = 256;
constexpr std::int64_t kMostAgain = 1'000'000'000'000;  // ms
constexpr int kBusyMs = 50;                             // that another process' lock may hold up the loop
constexpr std::int64_t kMostDropped = 1000;             // besides as many as were added, in one transaction

std::string fault_of(const rapidjson::Document& v) {
  if (!v.IsObject()) return "is no object";
  const auto id = v.FindMember("id"), status = v.FindMember("status"), again = v.FindMember("again_ms");
  if (id == v.MemberEnd() || !id->value.IsString()) return "has no id";
  const std::string_view text(id->value.GetString(), id->value.GetStringLength());
  const auto control = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
  if (text.empty() || text.size() > kMostId || std::any_of(text.begin(), text.end(), control))
    return "has an id that is empty, too long or holds control characters";
  if (status == v.MemberEnd() || !status->value.IsString()) return "has no status";
  if (status->value != "undeliverable" && status->value != "deferred") return "has an unknown status";
  if (again == v.MemberEnd() || again->value.IsNull()) return "";
  if (!again->value.IsInt64() || again->value.GetInt64() < 0 || again->value.GetInt64() > kMostAgain)
    return "has an again_ms that is no number of milliseconds";
  return "";
}

}  // namespace

const char* word(FinalStatus status) {
  switch (status) {
    case FinalStatus::undeliverable:
      return "undeliverable";
    case FinalStatus::deferred:
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
    rapidjson::Document v;
    // Not by recursion, which thousands of open brackets would take past the stack's end.
    v.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(line.data(), line.size());
    const std::string fault = v.HasParseError() ? "is no JSON" : fault_of(v);
    if (!fault.empty()) {
      problem = "line " + std::to_string(number) + " " + fault;
      return std::nullopt;
    }
    Notice n;
    n.id.assign(v["id"].GetString(), v["id"].GetStringLength());
    n.status = v["status"] == "deferred" ? FinalStatus::deferred : FinalStatus::undeliverable;
    if (const auto again = v.FindMember("again_ms"); again != v.MemberEnd() && !again->value.IsNull())
      n.again_ms = again->value.GetInt64();
    notices.push_back(std::move(n));
  }
  return notices;
}

void Finals::Close::operator()(sqlite3* db) const { sqlite3_close(db); }
void Finals::Close::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

// One run of a prepared statement; what it binds must outlast it.
class Finals::Run {
 public:
  explicit Run(const Statement& s) : s_(s.get()) {}
  ~Run() { sqlite3_reset(s_), sqlite3_clear_bindings(s_); }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;
  void bind(int at, std::int64_t n) { sqlite3_bind_int64(s_, at, n); }
  void bind(int at, std::string_view text) {
    sqlite3_bind_text(s_, at, text.data(), static_cast<int>(text.size()), SQLITE_STATIC);
  }
  int step() { return sqlite3_step(s_); }
  std::int64_t number(int at) const { return sqlite3_column_int64(s_, at); }
  Final row() const {
    Final f;
    const auto text = [this](int at) {
      const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(s_, at));
      return bytes == nullptr ? std::string()
                              : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(s_, at)));
    };
    f.notice.id = text(0);
    f.notice.status = text(1) == "deferred" ? FinalStatus::deferred : FinalStatus::undeliverable;
    if (sqlite3_column_type(s_, 2) != SQLITE_NULL) f.notice.again_ms = number(2);
    f.received_ms = number(3);
    f.repeats = number(4);
    return f;
  }

 private:
  sqlite3_stmt* s_;
};

Finals::Finals(const std::string& path, const Options& options) : path_(path), options_(options) {
  // SQLite gives its log the file's mode.
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0) throw std::runtime_error(path + ": can't be opened: " + std::strerror(errno));
  ::close(fd);
  sqlite3* db = nullptr;
  const int opened = sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(db);
  if (opened != SQLITE_OK) throw std::runtime_error(path + ": can't be opened: " + sqlite3_errstr(opened));
  sqlite3_busy_timeout(db, kBusyMs);
  must("PRAGMA journal_mode=WAL");
  must("PRAGMA synchronous=FULL");
  must("PRAGMA journal_size_limit=4194304");
  must(
      "CREATE TABLE IF NOT EXISTS finals(id TEXT PRIMARY KEY NOT NULL, status TEXT NOT NULL, again_ms "
      "INTEGER,"
      " received_ms INTEGER NOT NULL, repeats INTEGER NOT NULL)");
  must("CREATE INDEX IF NOT EXISTS finals_received ON finals(received_ms)");
  insert_ = prepare(
      "INSERT INTO finals(id,status,again_ms,received_ms,repeats) VALUES(?1,?2,?3,?4,0)"
      " ON CONFLICT(id) DO UPDATE SET repeats=repeats+1 RETURNING repeats");
  oldest_ = prepare("SELECT received_ms FROM finals ORDER BY received_ms, rowid LIMIT 1 OFFSET ?1");
  drop_ = prepare(
      "DELETE FROM finals WHERE rowid IN (SELECT rowid FROM finals WHERE received_ms < ?1"
      " ORDER BY received_ms, rowid LIMIT ?2)");
  find_ = prepare("SELECT id,status,again_ms,received_ms,repeats FROM finals WHERE id=?1");
  newest_ = prepare(
      "SELECT id,status,again_ms,received_ms,repeats FROM finals ORDER BY received_ms DESC, rowid DESC LIMIT "
      "?1");
  const Statement counted = prepare("SELECT count(*) FROM finals");
  Run r(counted);
  if (r.step() == SQLITE_ROW) count_ = r.number(0);
  limit_bytes(options.most_bytes);
}
Finals::~Finals() = default;

int Finals::run(const char* sql) { return sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr); }
void Finals::must(const char* sql) {
  if (run(sql) == SQLITE_OK) return;
  throw std::runtime_error(path_ + ": can't be used: " + sqlite3_errmsg(db_.get()) +
                           "; make room, or move the file away: a new one is begun");
}
Finals::Statement Finals::prepare(const char* sql) {
  sqlite3_stmt* s = nullptr;
  if (sqlite3_prepare_v3(db_.get(), sql, -1, SQLITE_PREPARE_PERSISTENT, &s, nullptr) != SQLITE_OK)
    throw std::runtime_error(path_ + ": is no file of notices: " + sqlite3_errmsg(db_.get()) +
                             "; move it away: a new one is begun");
  return Statement(s);
}

void Finals::limit_bytes(std::int64_t most_bytes) {
  std::int64_t size = 4096;
  {
    const Statement page = prepare("PRAGMA page_size");
    Run r(page);
    if (r.step() == SQLITE_ROW) size = r.number(0);
  }
  constexpr std::int64_t kMostPages = 4294967294;  // SQLite's own
  const std::int64_t pages = most_bytes > 0 ? std::max<std::int64_t>(1, most_bytes / size) : kMostPages;
  run(("PRAGMA max_page_count=" + std::to_string(pages)).c_str());
}

int Finals::put(std::span<const Notice> notices, std::int64_t now_ms, std::int64_t& added) {
  for (const auto& n : notices) {
    Run r(insert_);
    r.bind(1, n.id), r.bind(2, std::string_view(word(n.status))), r.bind(4, now_ms);
    if (n.again_ms) r.bind(3, *n.again_ms);
    int code = r.step();
    if (code == SQLITE_ROW) {
      added += r.number(0) == 0;
      code = r.step();
    }
    if (code != SQLITE_DONE) return code;
  }
  return SQLITE_OK;
}

int Finals::drop_oldest(std::int64_t rows, std::int64_t& gone) {
  Run r(drop_);
  r.bind(1, INT64_MAX), r.bind(2, rows);
  const int code = r.step();
  if (code != SQLITE_DONE) return code;
  gone += sqlite3_changes64(db_.get());
  return SQLITE_OK;
}

void Finals::undo() {
  // Where the disk is full SQLite may have done it already.
  if (sqlite3_get_autocommit(db_.get()) == 0) run("ROLLBACK");
}

Finals::Stored Finals::store(std::span<const Notice> notices, std::int64_t now_ms) {
  trouble_.clear();
  if (notices.empty()) return Stored::yes;
  std::int64_t added = 0, gone = 0;
  int code = run("BEGIN IMMEDIATE");
  if (code == SQLITE_OK) code = put(notices, now_ms, added);
  if (const std::int64_t over = count_ + added - options_.most; code == SQLITE_OK && over > 0)
    code = drop_oldest(std::min(over, added + kMostDropped), gone);
  if (code == SQLITE_OK) code = run("COMMIT");
  if (code == SQLITE_OK) {
    count_ += added - gone;
    return Stored::yes;
  }
  trouble_ = path_ + ": " + sqlite3_errmsg(db_.get());
  undo();
  return (code & 0xff) == SQLITE_FULL ? Stored::full : Stored::failed;
}

std::size_t Finals::prune(std::int64_t now_ms, std::size_t most_rows) {
  const std::int64_t before = now_ms - options_.keep_ms;
  const auto most = static_cast<std::int64_t>(most_rows);
  const std::int64_t over = std::min(count_ - options_.most, most);
  {
    // Nothing is written, and no lock taken, while nothing is due.
    Run first(oldest_);
    first.bind(1, 0);
    const bool aged = first.step() == SQLITE_ROW && first.number(0) < before;
    if (!aged && over <= 0) return 0;
  }
  Run r(drop_);
  r.bind(1, over > 0 ? INT64_MAX : before), r.bind(2, over > 0 ? over : most);
  if (r.step() != SQLITE_DONE) return 0;
  const auto gone = sqlite3_changes64(db_.get());
  count_ -= gone;
  return static_cast<std::size_t>(gone);
}

std::optional<Final> Finals::find(const std::string& id) {
  Run r(find_);
  r.bind(1, std::string_view(id));
  if (r.step() != SQLITE_ROW) return std::nullopt;
  return r.row();
}

std::vector<Final> Finals::newest(std::size_t most) {
  std::vector<Final> all;
  Run r(newest_);
  r.bind(1, static_cast<std::int64_t>(most));
  while (r.step() == SQLITE_ROW) all.push_back(r.row());
  return all;
}

}  // namespace heronvane::fleet

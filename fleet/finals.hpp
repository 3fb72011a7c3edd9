// Stores the notices by which relays end messages that were not delivered, in one SQLite file. Not
// thread-safe; one process owns the file. Calls block until the disk has answered.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace heronvane::fleet {

enum class NoticeStatus { undeliverable, deferred };
const char* status_name(NoticeStatus status);

// The final answer that a relay gives for a message that it did not deliver.
struct Notice {
  std::string id;  // 1 to 256 bytes of UTF-8 without control characters
  NoticeStatus status = NoticeStatus::undeliverable;
  std::optional<std::int64_t> again_ms;  // 0 or more; absent if the relay gave none
  bool operator==(const Notice&) const = default;
};

// A notice as it is stored.
struct StoredNotice {
  Notice notice;                 // as first received
  std::int64_t received_ms = 0;  // Unix time of the first receipt
  std::int64_t repeats = 0;      // how often it was received again
};

// Parses JSON lines; empty lines are skipped. If a line is malformed, returns nothing and sets `problem` to
// the line's number and the reason.
std::optional<std::vector<Notice>> read_notices(std::string_view body, std::string& problem);

// The stored notices. Notices beyond the limits of age and number are deleted, oldest first.
class Finals {
 public:
  struct Options {
    std::int64_t keep_ms = 7LL * 24 * 3600 * 1000;
    std::int64_t max_notices = 1'000'000;  // more are deleted
    std::int64_t max_bytes = 0;            // of the file without its write-ahead log; 0: no limit
  };
  enum class StoreResult { yes, full, failed };

  // Opens or creates the file (mode 0600). Throws std::runtime_error, with advice in its text, if it can't.
  explicit Finals(const std::string& path) : Finals(path, Options()) {}
  Finals(const std::string& path, const Options& options);
  ~Finals();
  Finals(const Finals&) = delete;
  Finals& operator=(const Finals&) = delete;

  // Stores all notices in one transaction, or none. Returns `yes` once they would survive a power loss,
  // `full` if the disk or the file's limit is exhausted.
  StoreResult store(std::span<const Notice> notices, std::int64_t now_ms);
  // Deletes notices beyond the limits of age and number, oldest first, at most `max_rows`; returns how many.
  std::size_t prune(std::int64_t now_ms, std::size_t max_rows = 500);
  void set_max_bytes(std::int64_t max_bytes);  // sets Options::max_bytes

  std::optional<StoredNotice> find(const std::string& id);
  std::vector<StoredNotice> newest(std::size_t max_notices);  // newest first
  std::int64_t count() const { return count_; }
  const std::string& error() const { return error_; }  // of the last store; "" if it succeeded

 private:
  struct Close {
    void operator()(sqlite3* db) const;
    void operator()(sqlite3_stmt* statement) const;
  };
  using Statement = std::unique_ptr<sqlite3_stmt, Close>;
  class Run;
  int execute(const char* sql);
  void execute_or_throw(const char* sql);
  Statement prepare(const char* sql);
  int insert_all(std::span<const Notice> notices, std::int64_t now_ms, std::int64_t& added);
  int delete_oldest(std::int64_t rows, std::int64_t& deleted);
  void rollback();

  std::string path_;
  Options options_;
  std::unique_ptr<sqlite3, Close> db_;
  Statement insert_, oldest_, delete_, find_, newest_;
  std::int64_t count_ = 0;
  std::string error_;
};

}  // namespace heronvane::fleet

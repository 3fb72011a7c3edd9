// The notices by which relays end messages that were not delivered, as the platform keeps them: one SQLite
// file. One owner, one thread; calls block for as long as the disk takes.
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

enum class FinalStatus { undeliverable, deferred };
const char* word(FinalStatus status);

struct Notice {
  std::string id;  // 1 to 256 bytes of UTF-8 without control characters
  FinalStatus status = FinalStatus::undeliverable;
  std::optional<std::int64_t> again_ms;  // 0 or more, where one was told
  bool operator==(const Notice&) const = default;
};

struct Final {
  Notice notice;                 // as it came first
  std::int64_t received_ms = 0;  // Unix time, when it came first
  std::int64_t repeats = 0;      // how often it came again
};

// Reads JSON lines; empty ones say nothing. Nothing where a line can't be read: `problem` names it.
std::optional<std::vector<Notice>> read_notices(std::string_view body, std::string& problem);

class Finals {
 public:
  struct Options {
    std::int64_t keep_ms = 7LL * 24 * 3600 * 1000;
    std::int64_t most = 1'000'000;  // notices; past it the oldest go
    std::int64_t most_bytes = 0;    // of the file without its log; 0: as the disk has room
  };
  enum class Stored { yes, full, failed };

  // Opens or creates the file (mode 0600). Throws std::runtime_error saying what to do where it can't.
  explicit Finals(const std::string& path) : Finals(path, Options()) {}
  Finals(const std::string& path, const Options& options);
  ~Finals();
  Finals(const Finals&) = delete;
  Finals& operator=(const Finals&) = delete;

  // Stores all of them in one transaction, or none. `yes` only once they last over a power loss.
  Stored store(std::span<const Notice> notices, std::int64_t now_ms);
  // Takes out what is over age or number, oldest first, at most `most_rows`; returns how many went.
  std::size_t prune(std::int64_t now_ms, std::size_t most_rows = 500);
  void limit_bytes(std::int64_t most_bytes);  // as Options::most_bytes

  std::optional<Final> find(const std::string& id);
  std::vector<Final> newest(std::size_t most);  // newest first
  std::int64_t count() const { return count_; }
  const std::string& trouble() const { return trouble_; }  // of the last store; "" where it went well

 private:
  struct Close {
    void operator()(sqlite3* db) const;
    void operator()(sqlite3_stmt* statement) const;
  };
  using Statement = std::unique_ptr<sqlite3_stmt, Close>;
  class Run;
  int run(const char* sql);
  void must(const char* sql);
  Statement prepare(const char* sql);
  int put(std::span<const Notice> notices, std::int64_t now_ms, std::int64_t& added);
  int drop_oldest(std::int64_t rows, std::int64_t& gone);
  void undo();

  std::string path_;
  Options options_;
  std::unique_ptr<sqlite3, Close> db_;
  Statement insert_, oldest_, drop_, find_, newest_;
  std::int64_t count_ = 0;
  std::string trouble_;
};

}  // namespace heronvane::fleet

// Does the same work on SQLite as a relay would: one connection that owns the file, prepared statements, one
// transaction per round, WAL.
#pragma once

#include <sqlite3.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "store_side.hpp"
#include "work.hpp"

namespace heronvane::bench {

enum class Synchronous { off, normal, full };
std::string to_string(Synchronous s);

// Where attempts are stored.
enum class Attempts {
  table,    // in a table of their own: any number per message, each with its outcome
  columns,  // in the message's row, without an outcome if the message ends in the same round: the least work
            // possible on SQLite
};

class SqliteSide {
 public:
  SqliteSide(const std::filesystem::path& folder, Synchronous synchronous, Attempts attempts, Rounds rounds);

  void round(std::size_t messages, Phase* phase = nullptr);
  Phase run(std::size_t messages, double seconds);

  // The messages held, and the remembered ids with the time until which they are remembered.
  struct Found {
    std::map<MessageId, Held> held;
    std::unordered_map<std::string, Microseconds> remembered;
  };
  Found read();

 private:
  struct CloseDatabase {
    void operator()(sqlite3* db) const { sqlite3_close(db); }
  };
  struct Finalize {
    void operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }
  };
  using Statement = std::unique_ptr<sqlite3_stmt, Finalize>;
  struct Open {
    MessageId number = 0;
    std::string id;
    Microseconds deadline = 0;
  };

  void execute(const char* sql);
  Statement prepare(const char* sql);
  void step(const Statement& statement);
  void require(int result, int wanted);
  void take(MessageId number, const Message& m, Microseconds sent);
  void end(const Open& one);
  void forget();

  Rounds rounds_;
  Attempts attempts_;
  Microseconds now_ = 1'000'000;
  std::unique_ptr<sqlite3, CloseDatabase> db_;
  Statement begin_, commit_, take_, sent_, outcome_, drop_attempts_, drop_, remember_, forget_;
  std::deque<std::vector<Open>> open_;
  std::uint64_t next_ = 1, forgot_at_ = 0;
};

}  // namespace heronvane::bench

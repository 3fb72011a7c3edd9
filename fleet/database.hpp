// The agent's persistent state, in an SQLite file. Used by one thread.
//
// Each record is one transaction, durable (WAL, synchronous FULL) once save() has returned no error. On a
// full or failing disk save() returns an error and changes nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "decider.hpp"
#include "process.hpp"

struct sqlite3;

namespace heronvane::fleet {

class DatabaseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct DatabaseOptions {
  int max_pages = 0;            // largest file size, in pages of 4,096 bytes; 0: no limit
  int operations_kept = 1'000;  // ended operations
  int fleets_kept = 100;        // newest fleets; older ones stay while an instance needs them
  int history_kept = 20'000;    // newest lines
};

struct HistoryLine {
  Microseconds at = 0;
  std::string subject;  // "operation 7", "instance n0"
  std::string text;
};

class Database {
 public:
  using ReadFleet = std::function<FleetSpec(const std::string& text)>;

  // Creates the file if missing. Throws DatabaseError: not a database, a newer schema version, damaged, or
  // not writable.
  explicit Database(const std::string& file, DatabaseOptions options = {});
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Writes the record in one transaction. `processes`: by instance name, the process of each row whose run is
  // alive. Returns an empty string once the record is durable, else the error; then nothing was written.
  std::string save(Microseconds now, const action::Record& record,
                   const std::map<std::string, ProcessId>& processes);

  // Reads the state; `read` parses the text of the last fleet. Throws DatabaseError and what `read` throws.
  Restored restore(const ReadFleet& read);
  // The last saved process of each instance whose run was alive, by instance name.
  std::map<std::string, ProcessId> processes();
  // The text of the fleet in force at that generation; nullopt if there was none or it was deleted.
  std::optional<std::string> fleet_at(Generation generation);
  // The highest index that the platform has published; 0: none.
  std::int64_t platform_index();
  bool save_platform_index(std::int64_t index);  // false: not written
  // Newest first.
  std::vector<HistoryLine> history(int limit);

  // Largest file size, in pages; 0: no limit.
  void limit_pages(int most);

 private:
  class Statement;
  struct Close {
    void operator()(sqlite3* db) const;
  };

  void execute(const char* sql);
  void migrate();
  void write(Microseconds now, const action::Record& record,
             const std::map<std::string, ProcessId>& processes);
  void write_operation(Microseconds now, const Operation& operation);
  void write_instance(Microseconds now, const InstanceRow& row,
                      const std::map<std::string, ProcessId>& processes);
  void add_history(Microseconds now, const std::string& subject, const std::string& text);
  void prune();

  DatabaseOptions options_;
  std::unique_ptr<sqlite3, Close> db_;
};

}  // namespace heronvane::fleet

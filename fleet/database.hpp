// What the agent must still know after it was killed: an SQLite file. One thread uses it.
//
// Each record is one transaction that lasts (WAL, synchronous FULL) once save() has returned no error. A full
// or broken disk is told as an error and changes nothing; only opening throws.
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
  int max_pages = 0;            // of the file, each 4,096 bytes; 0: no bound
  int operations_kept = 1'000;  // that ended
  int fleets_kept = 100;        // versions of the fleet that no instance needs
  int history_kept = 20'000;    // lines
};

struct HistoryLine {
  Microseconds at = 0;
  std::string subject;  // "operation 7", "instance n0"
  std::string text;
};

class Database {
 public:
  using ReadFleet = std::function<FleetSpec(const std::string& text)>;

  // Makes the file where there is none. Throws DatabaseError: no database, one of a newer version, damaged,
  // or it can't be written.
  explicit Database(const std::string& file, DatabaseOptions options = {});
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Writes all of it or nothing. `processes`: by name, of rows whose run stands, who they are. Empty: it
  // lasts; else why not.
  std::string save(Microseconds now, const action::Record& record,
                   const std::map<std::string, ProcessId>& processes);

  // Throws DatabaseError, and what `read` throws.
  Restored restore(const ReadFleet& read);
  // As last saved: who the process of each instance's run was.
  std::map<std::string, ProcessId> processes();
  // The fleet that was in force at that generation, as applied; nothing where it is none or no longer kept.
  std::optional<std::string> fleet_at(Generation generation);
  // The highest index that the platform told; 0: none yet.
  std::int64_t platform_index();
  bool save_platform_index(std::int64_t index);  // false: it does not last
  // Newest first.
  std::vector<HistoryLine> history(int limit);

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

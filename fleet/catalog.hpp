// The published list of endpoints, its index and its history of changes. Does no I/O. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace heronvane::fleet {

enum class Status { ready, draining, gone };  // gone: removed; only among changes

struct Endpoint {
  std::string name, address, zone, type;  // address: "127.0.0.1:8081"; zone, type: may be empty
  std::int64_t group = 0;
  Status status = Status::ready;
  double weight = 1.0;
  std::int64_t since_ms = 0;  // Unix time of its last start; 0: long ago
  bool operator==(const Endpoint&) const = default;
};

class Catalog {
 public:
  // A new list and its difference from the current one.
  struct Update {
    std::int64_t index = 0;  // of the catalog once the update is applied
    std::map<std::string, Endpoint> list;
    std::vector<Endpoint> changes;                                  // by name; removed ones with Status::gone
    std::size_t added = 0, changed = 0, draining = 0, removed = 0;  // draining: newly so
  };

  // `index` is the highest index ever published, as the caller stored it; 0 if there was none. The history
  // before this object is unknown, so the first list gets a new index and every follower gets it whole.
  // `max_history`: the number of changed entries kept.
  explicit Catalog(std::int64_t index = 0, std::size_t max_history = 4096);

  // Returns the update to this list, in which names are unique and no status is gone. Its index is the
  // current one if nothing changes, else one more. The caller must store that index durably before it applies
  // the update: an index published again for another list would hide changes from followers.
  Update compare(std::vector<Endpoint> list) const;
  // Applies an update that compare() returned after the last apply().
  void apply(Update update);

  bool published() const { return published_; }  // whether a list was ever applied
  std::int64_t index() const { return index_; }
  std::size_t size() const { return list_.size(); }

  // The whole list as one JSON line of the discovery protocol, with its line feed.
  std::string snapshot() const;
  // Whether `index` was published and all changes after it are still in the history.
  bool has_history_since(std::int64_t index) const { return index >= base_ && index <= index_; }
  // The changes after `index` as one JSON line, possibly without entries; the whole list if
  // has_history_since() is false.
  std::string changes_since(std::int64_t index) const;

 private:
  struct Change {
    std::int64_t index;
    std::vector<Endpoint> entries;
  };
  std::int64_t index_, base_;  // base_: the oldest index that changes_since() can start from
  std::size_t max_history_, history_entries_ = 0;
  bool published_ = false;
  std::map<std::string, Endpoint> list_;
  std::deque<Change> history_;
};

}  // namespace heronvane::fleet

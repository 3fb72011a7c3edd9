// The list of endpoints that relays are told, its index and its history of changes. No input or output here.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace heronvane::fleet {

enum class Status { ready, draining, gone };  // gone: among changes only

struct Endpoint {
  std::string name, address, zone, type;  // address: "127.0.0.1:8081"; zone and type may be empty
  std::int64_t group = 0;
  Status status = Status::ready;
  double weight = 1.0;
  std::int64_t since_ms = 0;  // Unix time when it last started; 0: long ago
  bool operator==(const Endpoint&) const = default;
};

class Catalog {
 public:
  // What a new list changes.
  struct Update {
    std::int64_t index = 0;  // the catalog's, once applied
    std::map<std::string, Endpoint> list;
    std::vector<Endpoint> changes;                               // by name; those that went with status gone
    std::size_t added = 0, changed = 0, draining = 0, gone = 0;  // draining: of those that newly drain
  };

  // `index` is the highest that was ever told, as the caller kept it; 0 where none was. Without a history a
  // follower can't be told what changed since, so that the first list has an index of its own and everyone is
  // told all of it. `most_history`: changed entries kept.
  explicit Catalog(std::int64_t index = 0, std::size_t most_history = 4096);

  // The update to this list, which names no endpoint twice and none as gone. Its index is the present one
  // where nothing changes, and otherwise one more. The caller keeps that index durably before it applies the
  // update: an index that was told once and is told again for another list hides changes from followers.
  Update compare(std::vector<Endpoint> list) const;
  // Takes the update in; it must stem from compare() since the last apply().
  void apply(Update update);

  bool told() const { return told_; }  // a list was applied: before that there is nothing to answer
  std::int64_t index() const { return index_; }
  std::size_t size() const { return list_.size(); }

  // One JSON line in the protocol's form, with its line feed.
  std::string whole() const;
  // Whether history reaches back to `index`, and it was told.
  bool reaches(std::int64_t index) const { return index >= base_ && index <= index_; }
  // What changed after `index` (nothing: no entries); the whole list where reaches() says no.
  std::string since(std::int64_t index) const;

 private:
  struct Change {
    std::int64_t index;
    std::vector<Endpoint> entries;
  };
  std::int64_t index_, base_;  // base_: the oldest index that since() can start from
  std::size_t most_history_, history_entries_ = 0;
  bool told_ = false;
  std::map<std::string, Endpoint> list_;
  std::deque<Change> history_;
};

}  // namespace heronvane::fleet

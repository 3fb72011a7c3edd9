#include "catalog.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <set>
#include <string_view>

namespace heronvane::fleet {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const char* word(Status status) {
  switch (status) {
    case Status::ready:
      return "ready";
    case Status::draining:
      return "draining";
    case Status::gone:
      return "gone";
  }
  return "";
}

void text(Writer& w, const char* key, const std::string& value) {
  w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void entry(Writer& w, const Endpoint& e) {
  w.StartObject();
  text(w, "name", e.name), text(w, "address", e.address);
  text(w, "zone", e.zone), text(w, "type", e.type);
  w.Key("group"), w.Int64(e.group);
  w.Key("status"), w.String(word(e.status));
  w.Key("weight"), w.Double(e.weight);
  w.Key("since_ms"), w.Int64(e.since_ms);
  w.EndObject();
}

template <class Entries>
std::string line(std::int64_t index, bool whole, Entries entries) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("index"), w.Int64(index);
  w.Key("snapshot"), w.Bool(whole);
  w.Key("endpoints"), w.StartArray();
  entries(w);
  w.EndArray(), w.EndObject();
  buffer.Put('\n');
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

Catalog::Catalog(std::int64_t index, std::size_t most_history)
    : index_(index), base_(index), most_history_(most_history) {}

Catalog::Update Catalog::compare(std::vector<Endpoint> list) const {
  Update u;
  for (auto& e : list) {
    std::string name = e.name;
    u.list.emplace(std::move(name), std::move(e));
  }
  const auto changed = [&](const Endpoint& e, Status before) {
    u.draining += e.status == Status::draining && before != Status::draining;
    u.changes.push_back(e);
  };
  auto was = list_.begin();
  auto is = u.list.begin();
  while (was != list_.end() || is != u.list.end()) {
    if (is == u.list.end() || (was != list_.end() && was->first < is->first)) {
      u.changes.push_back(was->second);
      u.changes.back().status = Status::gone;
      u.gone++, ++was;
    } else if (was == list_.end() || is->first < was->first) {
      changed(is->second, Status::gone);
      u.added++, ++is;
    } else {
      if (!(was->second == is->second)) changed(is->second, was->second.status), u.changed++;
      ++was, ++is;
    }
  }
  u.index = told_ && u.changes.empty() ? index_ : index_ + 1;
  return u;
}

void Catalog::apply(Update update) {
  if (update.index == index_) return;
  if (!told_) base_ = update.index;
  index_ = update.index;
  list_ = std::move(update.list);
  if (told_) {
    history_entries_ += update.changes.size();
    history_.push_back({index_, std::move(update.changes)});
  }
  told_ = true;
  while (history_entries_ > most_history_) {
    base_ = history_.front().index;
    history_entries_ -= history_.front().entries.size();
    history_.pop_front();
  }
}

std::string Catalog::whole() const {
  return line(index_, true, [this](Writer& w) {
    for (const auto& [name, e] : list_) entry(w, e);
  });
}

std::string Catalog::since(std::int64_t index) const {
  if (!reaches(index)) return whole();
  // Of several changes to one endpoint the last holds.
  std::map<std::string_view, const Endpoint*> last;
  for (auto change = history_.rbegin(); change != history_.rend() && change->index > index; ++change)
    for (const auto& e : change->entries) last.emplace(e.name, &e);
  return line(index_, false, [&](Writer& w) {
    for (const auto& [name, e] : last) entry(w, *e);
  });
}

}  // namespace heronvane::fleet

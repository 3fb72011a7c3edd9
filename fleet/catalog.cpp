#include "catalog.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <set>
#include <string_view>

namespace heronvane::fleet {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const char* status_name(Status status) {
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

void write_text(Writer& writer, const char* key, const std::string& value) {
  writer.Key(key), writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_endpoint(Writer& writer, const Endpoint& endpoint) {
  writer.StartObject();
  write_text(writer, "name", endpoint.name), write_text(writer, "address", endpoint.address);
  write_text(writer, "zone", endpoint.zone), write_text(writer, "type", endpoint.type);
  writer.Key("group"), writer.Int64(endpoint.group);
  writer.Key("status"), writer.String(status_name(endpoint.status));
  writer.Key("weight"), writer.Double(endpoint.weight);
  writer.Key("since_ms"), writer.Int64(endpoint.since_ms);
  writer.EndObject();
}

template <class Entries>
std::string to_line(std::int64_t index, bool snapshot, Entries entries) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("index"), writer.Int64(index);
  writer.Key("snapshot"), writer.Bool(snapshot);
  writer.Key("endpoints"), writer.StartArray();
  entries(writer);
  writer.EndArray(), writer.EndObject();
  buffer.Put('\n');
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

Catalog::Catalog(std::int64_t index, std::size_t max_history)
    : index_(index), base_(index), max_history_(max_history) {}

Catalog::Update Catalog::compare(std::vector<Endpoint> list) const {
  Update update;
  for (auto& endpoint : list) {
    std::string name = endpoint.name;
    update.list.emplace(std::move(name), std::move(endpoint));
  }
  const auto changed = [&](const Endpoint& endpoint, Status before) {
    update.draining += endpoint.status == Status::draining && before != Status::draining;
    update.changes.push_back(endpoint);
  };
  auto previous = list_.begin();
  auto current = update.list.begin();
  while (previous != list_.end() || current != update.list.end()) {
    if (current == update.list.end() || (previous != list_.end() && previous->first < current->first)) {
      update.changes.push_back(previous->second);
      update.changes.back().status = Status::gone;
      update.removed++, ++previous;
    } else if (previous == list_.end() || current->first < previous->first) {
      changed(current->second, Status::gone);
      update.added++, ++current;
    } else {
      if (!(previous->second == current->second))
        changed(current->second, previous->second.status), update.changed++;
      ++previous, ++current;
    }
  }
  update.index = published_ && update.changes.empty() ? index_ : index_ + 1;
  return update;
}

void Catalog::apply(Update update) {
  if (update.index == index_) return;
  if (!published_) base_ = update.index;
  index_ = update.index;
  list_ = std::move(update.list);
  if (published_) {
    history_entries_ += update.changes.size();
    history_.push_back({index_, std::move(update.changes)});
  }
  published_ = true;
  while (history_entries_ > max_history_) {
    base_ = history_.front().index;
    history_entries_ -= history_.front().entries.size();
    history_.pop_front();
  }
}

std::string Catalog::snapshot() const {
  return to_line(index_, true, [this](Writer& writer) {
    for (const auto& [name, endpoint] : list_) write_endpoint(writer, endpoint);
  });
}

std::string Catalog::changes_since(std::int64_t index) const {
  if (!has_history_since(index)) return snapshot();
  // Only the last of several changes to one endpoint is sent.
  std::map<std::string_view, const Endpoint*> last;
  for (auto change = history_.rbegin(); change != history_.rend() && change->index > index; ++change)
    for (const auto& endpoint : change->entries) last.emplace(endpoint.name, &endpoint);
  return to_line(index_, false, [&](Writer& writer) {
    for (const auto& [name, endpoint] : last) write_endpoint(writer, *endpoint);
  });
}

}  // namespace heronvane::fleet

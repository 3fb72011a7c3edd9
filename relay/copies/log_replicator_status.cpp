// Status of log replication as JSON.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "log_replicator.hpp"

namespace heronvane::copies {

std::string LogReplicator::status_json() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    json.Key(key), json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto number = [&](const char* key, std::uint64_t value) { json.Key(key), json.Uint64(value); };
  static constexpr const char* kPhaseNames[] = {"choosing holders", "asking holders", "owning"};
  json.StartObject();
  text("phase", kPhaseNames[static_cast<int>(phase_)]);
  json.Key("ready"), json.Bool(ready_);
  json.Key("short"), json.Bool(replicas_short_);
  number("shorts", shortages_);
  number("log", log_.incarnation), number("incarnation", self_.incarnation);
  number("epoch", leader_ ? leader_->epoch().number : highest_used_epoch_);
  number("last", last_), number("stands", leader_ ? leader_->durable() : 0);
  number("waiting", uncommitted_.size());
  // Counts connected replicas that have every committed entry; the status reports when there are too few.
  std::size_t complete_replicas = 0;
  json.Key("holders"), json.StartArray();
  const auto replicas = leader_ ? leader_->replicas() : config_.replicas;
  for (const auto& replica : replicas) {
    json.StartObject();
    text("name", replica.name);
    json.Key("connected"), json.Bool(connected(replica));
    const Position lag = leader_ ? leader_->lag(replica) : 0;
    complete_replicas += leader_ && connected(replica) && lag <= uncommitted_.size();
    number("lag", lag);
    json.Key("snapshot"), json.Bool(leader_ && leader_->needs_snapshot(replica));
    if (const auto health = replica_health_.find(replica.name);
        health != replica_health_.end() && !health->second.error.empty())
      text("trouble", health->second.error);
    json.EndObject();
  }
  json.EndArray();
  number("copies", complete_replicas);
  number("wanted", static_cast<std::uint64_t>(options_.settings.holders));
  json.Key("under_copied"),
      json.Bool(complete_replicas < static_cast<std::size_t>(options_.settings.holders));
  json.Key("changing"), json.Bool(leader_ && leader_->changing());
  json.Key("held_for_others"), json.StartArray();
  for (const auto& replica_log : replica_logs_.all()) {
    json.StartObject();
    text("name", replica_log.log.name);
    number("log", replica_log.log.incarnation), number("epoch", replica_log.state.promised.number),
        number("last", replica_log.state.last);
    number("messages", replica_log.messages), number("bytes", replica_log.bytes);
    json.Key("heard_ms_ago"), json.Int64((steady() - replica_log.last_contact) / 1000);
    if (replica_log.state.moved) text("moved_to", replica_log.state.moved->into.name);
    if (!replica_log.error.empty()) text("trouble", replica_log.error);
    json.EndObject();
  }
  json.EndArray();
  number("taken_over", takeover_.completed());
  text("taking_over", takeover_.describe_progress());
  const auto counts = connections_->counts();
  number("strangers", counts.rejected_hellos), number("unreadable", counts.malformed_frames);
  number("sent_bytes", counts.sent_bytes), number("received_bytes", counts.received_bytes);
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace heronvane::copies

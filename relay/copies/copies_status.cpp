// Status of log replication as JSON.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "copies.hpp"

namespace heronvane::copies {

std::string LogReplicator::status_json() const {
  rapidjson::StringBuffer in_flight;
  rapidjson::Writer<rapidjson::StringBuffer> json(in_flight);
  const auto text = [&](const char* key, const std::string& v) {
    json.Key(key), json.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  };
  const auto number = [&](const char* key, std::uint64_t v) { json.Key(key), json.Uint64(v); };
  static constexpr const char* kPhaseNames[] = {"choosing holders", "asking holders", "owning"};
  json.StartObject();
  text("phase", kPhaseNames[static_cast<int>(phase_)]);
  json.Key("ready"), json.Bool(ready_);
  json.Key("short"), json.Bool(short_);
  number("shorts", shortages_);
  number("log", log_.incarnation), number("incarnation", self_.incarnation);
  number("epoch", leader_ ? leader_->epoch().number : highest_used_epoch_);
  number("last", last_), number("stands", leader_ ? leader_->durable() : 0);
  number("waiting", uncommitted_.size());
  // Counts connected replicas that have every committed entry; the status reports when there are too few.
  std::size_t whole_copies = 0;
  json.Key("holders"), json.StartArray();
  const auto replicas = leader_ ? leader_->replicas() : config_.replicas;
  for (const auto& h : replicas) {
    json.StartObject();
    text("name", h.name);
    json.Key("connected"), json.Bool(connected(h));
    const Position lag = leader_ ? leader_->lag(h) : 0;
    whole_copies += leader_ && connected(h) && lag <= uncommitted_.size();
    number("lag", lag);
    json.Key("snapshot"), json.Bool(leader_ && leader_->needs_snapshot(h));
    if (const auto it = replica_health_.find(h.name);
        it != replica_health_.end() && !it->second.error.empty())
      text("trouble", it->second.error);
    json.EndObject();
  }
  json.EndArray();
  number("copies", whole_copies);
  number("wanted", static_cast<std::uint64_t>(options_.settings.holders));
  json.Key("under_copied"), json.Bool(whole_copies < static_cast<std::size_t>(options_.settings.holders));
  json.Key("changing"), json.Bool(leader_ && leader_->changing());
  json.Key("held_for_others"), json.StartArray();
  for (const auto& s : replica_logs_.all()) {
    json.StartObject();
    text("name", s.log.name);
    number("log", s.log.incarnation), number("epoch", s.state.promised.number), number("last", s.state.last);
    number("messages", s.messages), number("bytes", s.bytes);
    json.Key("heard_ms_ago"), json.Int64((steady() - s.last_contact) / 1000);
    if (s.state.moved) text("moved_to", s.state.moved->into.name);
    if (!s.error.empty()) text("trouble", s.error);
    json.EndObject();
  }
  json.EndArray();
  number("taken_over", takeover_.completed());
  text("taking_over", takeover_.describe_progress());
  const auto counts = connections_->counts();
  number("strangers", counts.rejected_hellos), number("unreadable", counts.malformed_frames);
  number("sent_bytes", counts.sent_bytes), number("received_bytes", counts.received_bytes);
  json.EndObject();
  return {in_flight.GetString(), in_flight.GetSize()};
}

}  // namespace heronvane::copies

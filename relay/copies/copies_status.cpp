// What copies tell of themselves, as JSON.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "copies.hpp"

namespace heronvane::copies {

std::string Copies::status_json() const {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto text = [&](const char* key, const std::string& v) {
    json.Key(key), json.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  };
  const auto number = [&](const char* key, std::uint64_t v) { json.Key(key), json.Uint64(v); };
  static constexpr const char* kPhases[] = {"choosing holders", "asking holders", "owning"};
  json.StartObject();
  text("phase", kPhases[static_cast<int>(phase_)]);
  json.Key("ready"), json.Bool(ready_);
  json.Key("short"), json.Bool(short_);
  number("shorts", shorts_);
  number("log", log_.incarnation), number("incarnation", self_.incarnation);
  number("epoch", owner_ ? owner_->epoch().number : used_epoch_);
  number("last", last_), number("stands", owner_ ? owner_->durable() : 0);
  number("waiting", waiting_.size());
  // A holder that has all; fewer than were asked for is told.
  std::size_t whole_copies = 0;
  json.Key("holders"), json.StartArray();
  const auto holders = owner_ ? owner_->holders() : config_.holders;
  for (const auto& h : holders) {
    json.StartObject();
    text("name", h.name);
    json.Key("connected"), json.Bool(connected(h));
    const Position lag = owner_ ? owner_->lag(h) : 0;
    whole_copies += owner_ && connected(h) && lag <= waiting_.size();
    number("lag", lag);
    json.Key("snapshot"), json.Bool(owner_ && owner_->needs_snapshot(h));
    if (const auto it = views_.find(h.name); it != views_.end() && !it->second.trouble.empty())
      text("trouble", it->second.trouble);
    json.EndObject();
  }
  json.EndArray();
  number("copies", whole_copies);
  number("wanted", static_cast<std::uint64_t>(options_.settings.holders));
  json.Key("under_copied"), json.Bool(whole_copies < static_cast<std::size_t>(options_.settings.holders));
  json.Key("changing"), json.Bool(owner_ && owner_->changing());
  json.Key("held_for_others"), json.StartArray();
  for (const auto& s : shelves_.all()) {
    json.StartObject();
    text("name", s.log.name);
    number("log", s.log.incarnation), number("epoch", s.state.promised.number), number("last", s.state.last);
    number("messages", s.messages), number("bytes", s.bytes);
    json.Key("heard_ms_ago"), json.Int64((steady() - s.heard) / 1000);
    if (s.state.moved) text("moved_to", s.state.moved->into.name);
    if (!s.trouble.empty()) text("trouble", s.trouble);
    json.EndObject();
  }
  json.EndArray();
  number("taken_over", takeover_.done());
  text("taking_over", takeover_.doing());
  const auto counts = streams_->counts();
  number("strangers", counts.strangers), number("unreadable", counts.unreadable);
  number("sent_bytes", counts.sent_bytes), number("received_bytes", counts.received_bytes);
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

}  // namespace heronvane::copies

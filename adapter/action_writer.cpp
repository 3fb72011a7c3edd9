#include "action_writer.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string_view>
#include <variant>

namespace heronvane::dispatch::adapter {
namespace {

constexpr std::string_view kBatchEnd = "{\"kind\":\"OK\"}\n";

// One line: a JSON object that begins with its kind and the instance.
class Line {
 public:
  Line(const char* kind, const std::string& instance) : writer_(buffer_) {
    writer_.StartObject();
    writer_.Key("kind");
    writer_.String(kind);
    text("Who", instance);
  }

  Line& request(MessageId id) {
    writer_.Key("Rid");
    writer_.Uint64(id);
    return *this;
  }
  Line& number(const char* key, std::int64_t value) {
    writer_.Key(key);
    writer_.Int64(value);
    return *this;
  }
  Line& token(const char* key, std::uint64_t value) {
    writer_.Key(key);
    writer_.Uint64(value);
    return *this;
  }
  Line& flag(const char* key, bool value) {
    writer_.Key(key);
    writer_.Bool(value);
    return *this;
  }
  Line& text(const char* key, const std::string& value) {
    writer_.Key(key);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }

  void append_to(std::string& lines) {
    writer_.EndObject();
    lines.append(buffer_.GetString(), buffer_.GetSize());
    lines.push_back('\n');
  }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

class ActionWriter {
 public:
  ActionWriter(const std::string& instance, std::string& lines) : instance_(instance), lines_(lines) {}

  void operator()(const action::Send& typed_action) {
    Line("PLACE", instance_)
        .request(typed_action.id)
        .text("Endpoint", typed_action.endpoint)
        .number("GiveUpAfter", typed_action.timeout)
        .append_to(lines_);
  }
  void operator()(const action::Reject& typed_action) {
    Line("BUSY", instance_)
        .request(typed_action.id)
        .number("ComeBack", typed_action.retry_after)
        .append_to(lines_);
  }
  void operator()(const action::Fail& typed_action) {
    Line("END_FAILED", instance_).request(typed_action.id).append_to(lines_);
  }
  void operator()(const action::Cancel& typed_action) {
    Line("ABANDON", instance_)
        .request(typed_action.id)
        .number("SendNo", typed_action.attempt)
        .append_to(lines_);
  }
  void operator()(const action::CloseIdle& typed_action) {
    Line("CLOSE", instance_).text("Endpoint", typed_action.endpoint).append_to(lines_);
  }
  void operator()(const action::SetTimer& typed_action) {
    Line("SLEEP", instance_)
        .number("After", typed_action.after)
        .token("Tag", typed_action.token)
        .append_to(lines_);
  }
  void operator()(const action::PollEndpointList& /*action*/) {
    Line("QUERY_ALL", instance_).append_to(lines_);
  }
  void operator()(const action::Subscribe& typed_action) {
    Line("FOLLOW", instance_).flag("Active", typed_action.on).append_to(lines_);
  }
  void operator()(const action::CheckHealth& typed_action) {
    Line("SOUND_OUT", instance_).text("Endpoint", typed_action.endpoint).append_to(lines_);
  }
  void operator()(const action::SendGossip& typed_action) {
    Line("BROADCAST_TO", instance_)
        .number("Whom", typed_action.peer)
        .text("Body", typed_action.body)
        .append_to(lines_);
  }
  void operator()(const action::Log& typed_action) {
    Line("PRINT", instance_).text("Msg", typed_action.text).append_to(lines_);
  }

 private:
  const std::string& instance_;
  std::string& lines_;
};

}  // namespace

void write_action(const Action& action, const std::string& instance, std::string& lines) {
  std::visit(ActionWriter(instance, lines), action);
}

void write_fatal(const std::string& reason, const std::string& instance, std::string& lines) {
  Line("FATAL", instance).text("Msg", reason).append_to(lines);
}

void write_batch_end(std::string& lines) { lines += kBatchEnd; }

}  // namespace heronvane::dispatch::adapter

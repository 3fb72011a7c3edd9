#include "codec.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "action_writer.hpp"

namespace heronvane::dispatch::adapter {
namespace {

// Messages that are no events of an instance.
constexpr const char* kBatchBegin = "ROUND";
constexpr const char* kBatchEnd = "YOUR_TURN";
constexpr const char* kStart = "NEW_INSTANCE";
constexpr const char* kStop = "POWER_OFF";
constexpr const char* kRoster = "POOL";
constexpr const char* kAccepted = "ACCEPTED";

rapidjson::Document parse(const std::string& line) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError()) {
    throw_malformed("column " + std::to_string(document.GetErrorOffset() + 1),
                    rapidjson::GetParseError_En(document.GetParseError()));
  }
  return document;
}

}  // namespace

bool Codec::handle_line(const std::string& line, std::string& reply) {
  const rapidjson::Document message = parse(line);
  as_object(message, "message");
  const std::string kind = required_field(message, "kind", "message", as_string);
  if (kind == kBatchBegin) {
    if (in_batch_) throw_malformed(kind, "the round before has not ended");
    now_ = required_field(message, "Clock", kind, as_timestamp);
    in_batch_ = true;
    return false;
  }
  if (!in_batch_) throw_malformed(kind, "no ROUND came before");
  if (kind != kBatchEnd) {
    handle_message(kind, message);
    return false;
  }
  in_batch_ = false;
  write_reply(reply);
  return true;
}

void Codec::handle_message(const std::string& kind, const Value& message) {
  if (kind == kStart) return start_instance(message, kind);
  if (kind == kStop) return stop_instance(message, kind);
  if (kind == kRoster) return read_roster(message, kind, rosters_);
  Instance& instance = acting_instance(message, kind);
  // Only streams need the moment at which an attempt is accepted, and no class streams.
  if (kind == kAccepted) return;
  instance.events.push_back(read_event(kind, message, instance.names, rosters_));
}

Codec::DispatcherOrFailure Codec::make_dispatcher(const Settings& settings, std::uint64_t seed) {
  try {
    return Dispatcher(settings, seed);
  } catch (const std::exception& error) {
    return FailedStart{error.what()};
  }
}

void Codec::start_instance(const Value& message, const std::string& path) {
  const std::string name = required_field(message, "Who", path, as_string);
  const std::uint64_t seed = required_field(message, "RngSeed", path, as_uint64);
  ParsedSettings parsed = read_settings(required_member(message, "Setup", path), path + ".Setup");
  Instance instance{std::move(parsed.names), make_dispatcher(parsed.settings, seed), {}};
  instances_.insert_or_assign(name, std::move(instance));
  acting_instance(message, path);
}

void Codec::stop_instance(const Value& message, const std::string& path) {
  acting_instance(message, path);
  const std::string name = required_field(message, "Who", path, as_string);
  instances_.erase(name);
  std::erase(acting_, name);
}

Codec::Instance& Codec::acting_instance(const Value& message, const std::string& path) {
  const std::string name = required_field(message, "Who", path, as_string);
  const auto instance = instances_.find(name);
  if (instance == instances_.end()) {
    throw_malformed(path + ".Who", "instance '" + name + "' was never started");
  }
  if (std::find(acting_.begin(), acting_.end(), name) == acting_.end()) acting_.push_back(name);
  return instance->second;
}

void Codec::write_reply(std::string& reply) {
  reply.clear();
  for (const std::string& name : acting_) write_actions(name, instances_.at(name), reply);
  acting_.clear();
  write_batch_end(reply);
}

void Codec::write_actions(const std::string& name, Instance& instance, std::string& reply) const {
  if (const auto* const failed = std::get_if<FailedStart>(&instance.dispatcher)) {
    write_fatal(failed->reason, name, reply);
  } else {
    try {
      std::vector<Action> actions;
      std::get<Dispatcher>(instance.dispatcher).handle(now_, instance.events, actions);
      for (const Action& action : actions) write_action(action, name, reply);
    } catch (const std::exception& error) {
      write_fatal(error.what(), name, reply);
    }
  }
  instance.events.clear();
}

}  // namespace heronvane::dispatch::adapter

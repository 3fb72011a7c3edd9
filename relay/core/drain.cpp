#include "core/drain.hpp"

#include <algorithm>
#include <charconv>

namespace heronvane {
namespace {

const std::string kDrain = "drain", kFence = "fence";
const std::string kFile = "drained", kTemporaryFile = "drained.tmp";

std::optional<Fence> parse_fence(const std::string& text) {
  Fence fence = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fence);
  if (error != std::errc() || end != text.data() + text.size() || fence < 0) return std::nullopt;
  return fence;
}

}  // namespace

std::set<std::string> drain_facts() { return {kDrain, kFence}; }

DrainState read_drain(const std::map<std::string, std::string>& facts) {
  DrainState state;
  if (const auto it = facts.find(kFence); it != facts.end())
    state.fence = parse_fence(it->second).value_or(0);
  if (const auto it = facts.find(kDrain); it != facts.end())
    state.drain = parse_fence(it->second).value_or(state.fence);
  if (state.drain) state.fence = std::max(state.fence, *state.drain);
  return state;
}

bool keep_drain(const DrainState& state, const KeepFact& keep) {
  return keep(kFence, state.fence > 0 ? std::to_string(state.fence) : std::string()) &&
         keep(kDrain, state.drain ? std::to_string(*state.drain) : std::string());
}

std::error_code write_drained(store::Disk& folder, Fence fence, const std::string& run) {
  folder.remove(kTemporaryFile);
  store::FileId file = -1;
  if (const auto error = folder.open(kTemporaryFile, store::Disk::Access::create, file)) return error;
  const std::string text = R"({"fence":)" + std::to_string(fence) + R"(,"run":")" + run + "\"}\n";
  std::size_t done = 0;
  auto error = folder.write(file, 0, text, done);
  if (!error) error = folder.sync(file);
  folder.close(file);
  if (!error) error = folder.rename(kTemporaryFile, kFile);
  if (error) {
    folder.remove(kTemporaryFile);
    return error;
  }
  folder.sync_folder();
  return {};
}

void remove_drained(store::Disk& folder) {
  folder.remove(kFile);
  folder.remove(kTemporaryFile);
}

}  // namespace heronvane

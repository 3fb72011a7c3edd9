#include "core/drain.hpp"

#include <algorithm>
#include <charconv>

namespace heronvane {
namespace {

const std::string kDrain = "drain", kFence = "fence";
const std::string kFile = "drained", kUnfinished = "drained.tmp";

std::optional<Fence> number(const std::string& text) {
  Fence v = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || v < 0) return std::nullopt;
  return v;
}

}  // namespace

std::set<std::string> drain_facts() { return {kDrain, kFence}; }

DrainState read_drain(const std::map<std::string, std::string>& facts) {
  DrainState s;
  if (const auto it = facts.find(kFence); it != facts.end()) s.fence = number(it->second).value_or(0);
  if (const auto it = facts.find(kDrain); it != facts.end()) s.drain = number(it->second).value_or(s.fence);
  if (s.drain) s.fence = std::max(s.fence, *s.drain);
  return s;
}

bool keep_drain(const DrainState& s, const KeepFact& keep) {
  return keep(kFence, s.fence > 0 ? std::to_string(s.fence) : std::string()) &&
         keep(kDrain, s.drain ? std::to_string(*s.drain) : std::string());
}

std::error_code write_drained(store::Disk& folder, Fence fence, const std::string& run) {
  folder.remove(kUnfinished);
  store::FileId file = -1;
  if (const auto bad = folder.open(kUnfinished, store::Disk::Access::create, file)) return bad;
  const std::string text = R"({"fence":)" + std::to_string(fence) + R"(,"run":")" + run + "\"}\n";
  std::size_t done = 0;
  auto bad = folder.write(file, 0, text, done);
  if (!bad) bad = folder.sync(file);
  folder.close(file);
  if (!bad) bad = folder.rename(kUnfinished, kFile);
  if (bad) {
    folder.remove(kUnfinished);
    return bad;
  }
  folder.sync_folder();
  return {};
}

void remove_drained(store::Disk& folder) {
  folder.remove(kFile);
  folder.remove(kUnfinished);
}

}  // namespace heronvane

// The drain of a relay, and the fence that orders who may ask for it, as they outlast the process. No clock
// here.
//
// Fences ascend with an agent's operations: a request under a lower one than the highest seen comes from an
// operation that was overtaken.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "store/disk.hpp"

namespace heronvane {

// The fencing token of an operator's operation: one that is lower than the highest seen is refused.
using Fence = std::int64_t;
// Operations' ids go on from the highest fence seen: a slip of the hand must not leave them no room, nor a
// number that JSON's readers can't tell from the next.
inline constexpr Fence kMaxFence = Fence{1} << 52;

struct DrainState {
  Fence fence = 0;             // the highest seen
  std::optional<Fence> drain;  // draining, asked for under this one
  bool operator==(const DrainState&) const = default;
};

// The facts' keys: what endpoints left behind must not keep a relay from being drained.
std::set<std::string> drain_facts();

// From the store's facts `drain` and `fence`. A drain that can't be read is one.
DrainState read_drain(const std::map<std::string, std::string>& facts);

// Keeps a value by its key over restarts, an empty one drops it; false where there is no room.
using KeepFact = std::function<bool(const std::string& key, const std::string& value)>;
bool keep_drain(const DrainState& state, const KeepFact& keep);

// The file `drained`, whole or not at all: {"fence":N,"run":"..."}.
std::error_code write_drained(store::Disk& folder, Fence fence, const std::string& run);
// Removes it, and what a kill left of one that was being written.
void remove_drained(store::Disk& folder);

}  // namespace heronvane

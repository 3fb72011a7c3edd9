// The stored state of a relay's drain, and of the fence that orders the operations that may change it.
//
// Fences increase with an agent's operations: a request with a lower fence than the highest seen comes from
// an operation that a later one has replaced.
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

// The fencing token of an operator's operation; refused if it is lower than the highest seen.
using Fence = std::int64_t;
// The ids of operations continue from the highest fence seen. The limit keeps a mistyped fence from
// exhausting them, and from exceeding the integers that JSON readers represent exactly.
inline constexpr Fence kMaxFence = Fence{1} << 52;

struct DrainState {
  Fence fence = 0;             // the highest seen
  std::optional<Fence> drain;  // the fence of the drain in force; empty: none
  bool operator==(const DrainState&) const = default;
};

// The keys of the drain's facts in the store. They are vital: stored endpoint states must not use up the
// capacity for them.
std::set<std::string> drain_facts();

// Reads the state from the store's facts `drain` and `fence`. A malformed `drain` counts as a drain.
DrainState read_drain(const std::map<std::string, std::string>& facts);

// Stores a value under a key over restarts; an empty value removes the key. Returns false if the store has no
// capacity.
using KeepFact = std::function<bool(const std::string& key, const std::string& value)>;
bool keep_drain(const DrainState& state, const KeepFact& keep);

// Writes the file `drained`, {"fence":N,"run":"..."}, by an atomic rename.
std::error_code write_drained(store::Disk& folder, Fence fence, const std::string& run);
// Removes the file `drained`, and a temporary file that a killed process left.
void remove_drained(store::Disk& folder);

}  // namespace heronvane

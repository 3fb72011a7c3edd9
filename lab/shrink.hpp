// Which faults of a failing run are needed for it to fail (delta debugging: Zeller and Hildebrandt,
// "Simplifying and Isolating Failure-Inducing Input", 2002). No I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace heronvane::lab {

// `fails` plays a run with only these faults. Returns a set that still failed and of which, as far as was
// tried, none can be left out: ddmin with complements. `all` itself is taken to fail.
inline std::vector<std::size_t> shrink(std::vector<std::size_t> all,
                                       const std::function<bool(const std::vector<std::size_t>&)>& fails) {
  std::size_t parts = 2;
  while (all.size() >= 2) {
    const std::size_t size = (all.size() + parts - 1) / parts;
    bool smaller = false;
    for (std::size_t from = 0; from < all.size() && !smaller; from += size) {
      std::vector<std::size_t> rest;
      for (std::size_t i = 0; i < all.size(); i++)
        if (i < from || i >= from + size) rest.push_back(all[i]);
      if (rest.empty() || !fails(rest)) continue;
      all = std::move(rest);
      parts = parts > 2 ? parts - 1 : 2;
      smaller = true;
    }
    if (smaller) continue;
    if (size == 1) break;
    parts = std::min(all.size(), 2 * parts);
  }
  return all;
}

}  // namespace heronvane::lab

// The partner list: the endpoints as the operator writes them in a file. Does no I/O.
//
//   {"endpoints":[{"name":"s-1","address":"10.1.0.18:8081","zone":"a","type":"small","group":7,
//                  "status":"ready","weight":1.0,"since_ms":0}]}
//
// name, address and group are required; zone, type, status ("ready"), weight (1.0) and since_ms (0) are
// optional. The members index and snapshot beside endpoints are ignored, so that a list served by the
// platform can be used as a partner list.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "catalog.hpp"

namespace heronvane::fleet {

inline constexpr std::size_t kMaxPartners = 100'000;
inline constexpr std::size_t kMaxPartnersBytes = 64'000'000;

struct PartnerProblem {
  std::size_t line = 0;      // from 1; 0: the file as a whole
  std::string field;         // "endpoints[3].address"; empty: the JSON text itself
  std::string what;          // what is wrong
  std::string hint;          // what to do
  std::string text() const;  // on one line
};

struct PartnerList {
  std::vector<Endpoint> endpoints;       // in the order of the file; empty if there are problems
  std::vector<PartnerProblem> problems;  // in the order of the file; at most 20
  bool ok() const { return problems.empty(); }
  // The problems on one line; "" if there are none.
  std::string error() const;
};

// Parses a list. Rejects entries that relays would reject: one such entry makes a relay ignore the whole
// list.
PartnerList read_partners(std::string_view text);

}  // namespace heronvane::fleet

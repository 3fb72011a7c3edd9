// The partner list: the endpoints as their operator writes them down. No input or output here.
//
//   {"endpoints":[{"name":"s-1","address":"10.1.0.18:8081","zone":"a","type":"small","group":7,
//                  "status":"ready","weight":1.0,"since_ms":0}]}
//
// name, address and group must stand; zone, type, status ("ready"), weight (1.0) and since_ms (0) may be left
// out. The members index and snapshot beside endpoints say nothing, so that a list that the platform told can
// be taken as it is.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "catalog.hpp"

namespace heronvane::fleet {

inline constexpr std::size_t kMostPartners = 100'000;
inline constexpr std::size_t kMostPartnersBytes = 64'000'000;

struct PartnerProblem {
  std::size_t line = 0;      // from 1; 0: of the file as a whole
  std::string field;         // "endpoints[3].address"; empty: of the text as JSON
  std::string what;          // what is wrong
  std::string hint;          // what to do
  std::string text() const;  // all of it on one line
};

struct PartnerList {
  std::vector<Endpoint> endpoints;       // in the file's order; empty where there are problems
  std::vector<PartnerProblem> problems;  // in the file's order, the first 20
  bool ok() const { return problems.empty(); }
  // The problems on one line, "" where there are none.
  std::string trouble() const;
};

// Reads a list. What relays would refuse is refused here, where one entry would cost them the whole list.
PartnerList read_partners(std::string_view text);

}  // namespace heronvane::fleet

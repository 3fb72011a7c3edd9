// What discovery said last of the endpoints that the configuration knows, kept over a restart: until the next
// life is told the list, an endpoint that was told to drain gets nothing new.
#pragma once

#include <map>

#include "cedarplank/dispatcher.hpp"
#include "members.hpp"
#include "store/store.hpp"

namespace heronvane {

using cedarplank::EndpointId;

// `known` with what an earlier life was told later, without those that are gone. What was kept of endpoints
// that are not known any more is dropped.
MemberList last_told(MemberList known, store::Store& store);

// Keeps it for the next life where it is not what `known` says. Of `endpoints`, as of the list of that index;
// one that is not in it is gone. Best effort: where facts have no room nothing is kept.
void keep_told(const MemberList& known, const std::map<EndpointId, cedarplank::Endpoint>& endpoints,
               std::int64_t index, store::Store& store);

}  // namespace heronvane

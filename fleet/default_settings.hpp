// The relays' settings object if the operator gives none: two classes, of which pay-and-order is not
// idempotent, and two kinds of destination. Must equal deploy/settings.example.json.
#pragma once

namespace heronvane::fleet {

inline constexpr const char* kDefaultSettings =
    R"({"Classes":[{"Name":"load-status","Points":1.0,"LateWorth":0.0,"Target":1000000,"Deadline":6000000,)"
    R"("Idempotency":"read_like","Window":5000000},{"Name":"pay-and-order","Points":3.0,"LateWorth":0.3,)"
    R"("Target":2000000,"Deadline":24000000,"Idempotency":"non_idempotent","Window":5000000}],)"
    R"("FamilyInfo":{"Workers":8,"BundleMax":[20,1],"RoutesApart":[true,false],"Decay":"halves"},)"
    R"("HostTypes":["big","small"],"Discovery":"subscribe","GroupSize":1,"Tick":5000,)"
    R"("Limits":{"OpenCap":400,"MaxAttempts":8,"Cancelling":true,"ConnIdle":5000000,)"
    R"("ConnectTimeout":1500000,"MaxRetryAfter":2000000},)"
    R"("Rules":{"AnswerSlack":20000,"DrainGrace":1000000,"MustAskIn":10000000}})";

}  // namespace heronvane::fleet

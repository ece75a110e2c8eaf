#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "own-answer",
     .Promise = "A caller gets the whole answer to its own request, once.",
     .Broken = internal::Mutant::AcceptAnyQuery,
     .Run = [](ProofContext &Context) {
       proveInTraffic(Context, TrafficPromise::OwnAnswer,
                      "every part of a result was run for that query");
     }});

} // namespace

} // namespace carawaypond::proof

#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "own-answer",
     .Property = "A caller gets the whole answer to its own request, once.",
     .Mutation = internal::Mutant::AcceptAnyQuery,
     .Run = [](ProofContext &Context) {
       proveTrafficProperty(Context, TrafficProperty::OwnAnswer,
                            "every part of a result was run for that query");
     }});

} // namespace

} // namespace carawaypond::proof

#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "one-snapshot",
     .Property = "Every answer comes from one snapshot of the index.",
     .Mutation = internal::Mutant::MixVersions,
     .Run = [](ProofContext &Context) {
       proveTrafficProperty(
           Context, TrafficProperty::OneSnapshot,
           "every part of a result was run at the result's version");
     }});

} // namespace

} // namespace carawaypond::proof

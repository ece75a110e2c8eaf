#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "one-snapshot",
     .Promise = "Every answer comes from one snapshot of the index.",
     .Broken = internal::Mutant::MixVersions,
     .Run = [](ProofContext &Context) {
       proveInTraffic(Context, TrafficPromise::OneSnapshot,
                      "every part of a result was run at the result's version");
     }});

} // namespace

} // namespace carawaypond::proof

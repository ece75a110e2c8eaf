#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "not-run",
     .Promise = "What was refused as not run did not run; what is not "
                "repeatable runs at most once.",
     .Broken = internal::Mutant::DoubtIsNotRun,
     .Run = [](ProofContext &Context) {
       proveInTraffic(Context, TrafficPromise::NotRun,
                      "nothing runs that was reported as not run, or twice");
     }});

} // namespace

} // namespace carawaypond::proof

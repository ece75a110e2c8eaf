#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "true-coverage",
     .Promise = "The coverage reported with an answer is true.",
     .Broken = internal::Mutant::CoverageFromAnswers,
     .Run = [](ProofContext &Context) {
       proveInTraffic(Context, TrafficPromise::TrueCoverage,
                      "answered and missing shards are the layout's shards");
     }});

} // namespace

} // namespace carawaypond::proof

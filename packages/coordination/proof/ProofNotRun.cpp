#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered = registerProof(
    {.Name = "not-run",
     .Property = "What was refused as not run did not run; what is not "
                 "repeatable runs at most once.",
     .Mutation = internal::Mutant::DoubtIsNotRun,
     .Run = [](ProofContext &Context) {
       proveTrafficProperty(
           Context, TrafficProperty::NotRun,
           "nothing runs that was reported as not run, or twice");
     }});

} // namespace

} // namespace carawaypond::proof

#include "ProofRegistry.h"
#include "TrafficProof.h"

namespace carawaypond::proof {

namespace {

[[maybe_unused]] const bool Registered =
    registerProof({.Name = "true-coverage",
                   .Property = "The coverage reported with an answer is true.",
                   .Mutation = internal::Mutant::CoverageFromAnswers,
                   .Run = [](ProofContext &Context) {
                     proveTrafficProperty(
                         Context, TrafficProperty::TrueCoverage,
                         "answered and missing shards are the layout's shards");
                   }});

} // namespace

} // namespace carawaypond::proof

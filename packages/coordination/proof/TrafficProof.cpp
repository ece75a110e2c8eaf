#include "TrafficProof.h"

#include "Step.h"
#include "TrafficWorld.h"

#include <vector>

namespace carawaypond::proof {

namespace {

rc::Gen<OwnershipUnit> ownershipUnits() {
  return rc::gen::element<OwnershipUnit>(OwnerOfShard{}, OwnerOfReplica{},
                                         DirectSending{});
}

} // namespace

void proveInTraffic(ProofContext &Context, TrafficPromise Promise,
                    const std::string &Description) {
  Context.forAll(Description, [&Context, Promise] {
    std::vector<Step> Steps = *steps();
    TrafficWorld World(Promise, *ownershipUnits());
    for (const Step &Next : Steps)
      World.apply(Next);
    World.drain();
    Context.countEvents(World.events());
    for (const auto &[Kind, Count] : World.checker().outcomes())
      Context.countCases(Kind, Count);
    for (const auto &[Kind, Count] : World.counters())
      Context.countCases(Kind, Count);
    const std::vector<std::string> &Violations = World.checker().violations();
    if (!Violations.empty())
      RC_FAIL(Violations.front());
  });
}

} // namespace carawaypond::proof

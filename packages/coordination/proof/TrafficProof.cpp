#include "TrafficProof.h"

#include "Step.h"
#include "TrafficModel.h"

#include <vector>

namespace carawaypond::proof {

namespace {

rc::Gen<OwnershipUnit> ownershipUnits() {
  return rc::gen::element<OwnershipUnit>(OwnerOfShard{}, OwnerOfReplica{},
                                         DirectSending{});
}

} // namespace

void proveTrafficProperty(ProofContext &Context, TrafficProperty Property,
                          const std::string &Description) {
  Context.forAll(Description, [&Context, Property] {
    std::vector<Step> Steps = *steps();
    TrafficModel Model(Property, *ownershipUnits());
    for (const Step &Next : Steps)
      Model.apply(Next);
    Model.drain();
    Context.countEvents(Model.events());
    for (const auto &[Kind, Count] : Model.checker().outcomes())
      Context.countCases(Kind, Count);
    for (const auto &[Kind, Count] : Model.counters())
      Context.countCases(Kind, Count);
    const std::vector<std::string> &Violations = Model.checker().violations();
    if (!Violations.empty())
      RC_FAIL(Violations.front());
  });
}

} // namespace carawaypond::proof

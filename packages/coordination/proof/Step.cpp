#include "Step.h"

#include <cstddef>

namespace carawaypond::proof {

namespace {

constexpr std::uint32_t PickEnd = 1U << 16U;

rc::Gen<StepKind> stepKinds() {
  return rc::gen::weightedElement<StepKind>({
      {6, StepKind::NewQuery},        {40, StepKind::Deliver},
      {3, StepKind::DeliverTwice},    {3, StepKind::Lose},
      {1, StepKind::FailToConnect},   {3, StepKind::Misroute},
      {16, StepKind::RunToEnd},       {2, StepKind::AnswerOtherVersion},
      {1, StepKind::FailRun},         {1, StepKind::Shed},
      {4, StepKind::Advance},         {4, StepKind::Tick},
      {4, StepKind::PublishVersion},  {5, StepKind::ServerCatchesUp},
      {2, StepKind::ServerWithdraws}, {1, StepKind::Repartition},
      {5, StepKind::ReportStatus},    {1, StepKind::ServerLeaves},
      {1, StepKind::ServerFails},     {2, StepKind::ServerReturns},
      {1, StepKind::CallerCancels},
  });
}

} // namespace

rc::Gen<std::vector<Step>> steps() {
  rc::Gen<Step> One = rc::gen::apply(
      [](StepKind Kind, std::uint32_t Pick) {
        return Step{.Kind = Kind, .Pick = Pick};
      },
      stepKinds(), rc::gen::inRange<std::uint32_t>(0, PickEnd));
  return rc::gen::container<std::vector<Step>>(std::move(One));
}

} // namespace carawaypond::proof

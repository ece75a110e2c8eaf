#include "coordination/routing/WeightedPicker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

using namespace carawaypond;

TEST_CASE(
    "any series of picks follows the weights within one request per service") {
  bool Held = rc::check([] {
    auto Parts = *rc::gen::inRange(1, 5);
    auto Picks = *rc::gen::inRange(1, 300);
    double Start = *rc::gen::inRange(0, 100) / 100.0;
    WeightedTarget Target;
    double Sum = 0;
    for (int I = 0; I < Parts; ++I) {
      double Weight = *rc::gen::inRange(1, 20);
      Sum += Weight;
      Target.Services.push_back(
          {.Service = ServiceName(std::to_string(I)), .Weight = Weight});
    }
    WeightedPicker Picker(Start);
    std::map<std::string, int> Counts;
    for (int I = 0; I < Picks; ++I)
      ++Counts[Picker.pick(Target).value()];
    for (const WeightedService &Each : Target.Services) {
      double Due = Picks * Each.Weight / Sum;
      RC_ASSERT(std::abs(Counts[Each.Service.value()] - Due) <=
                static_cast<double>(Parts));
    }
  });
  CHECK(Held);
}

TEST_CASE("a service of weight 0 gets no requests") {
  WeightedTarget Target;
  Target.Services = {{.Service = ServiceName("a"), .Weight = 0},
                     {.Service = ServiceName("b"), .Weight = 2}};
  WeightedPicker Picker(0.5);
  for (int I = 0; I < 20; ++I)
    CHECK(Picker.pick(Target) == ServiceName("b"));
}

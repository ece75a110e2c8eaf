#include "coordination/budget/ExtraLoadBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace carawaypond;

TEST_CASE("extra load never exceeds the ratio of the primaries and the burst") {
  CHECK(rc::check([](const std::vector<bool> &Spends) {
    constexpr double Ratio = 0.05;
    constexpr double Burst = 3;
    ExtraLoadBudget Budget({.Ratio = Ratio, .Burst = Burst});
    for (bool Spend : Spends) {
      if (Spend)
        (void)Budget.trySpend();
      else
        Budget.countPrimary();
    }
    double Allowed = Ratio * static_cast<double>(Budget.primaries()) + Burst;
    RC_ASSERT(static_cast<double>(Budget.extras()) <= Allowed + 1e-6);
  }));
}

TEST_CASE("a hundred primaries earn five extras at five per cent") {
  ExtraLoadBudget Budget({.Ratio = 0.05, .Burst = 10});
  while (Budget.trySpend()) {
  }
  for (int I = 0; I < 101; ++I)
    Budget.countPrimary();
  int Extras = 0;
  while (Budget.trySpend())
    ++Extras;
  CHECK(Extras == 5);
}

#include "coordination/budget/ExtraLoadBudget.h"

#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

namespace {

constexpr double RoundingError = 1e-3; // tokens

} // namespace

ExtraLoadBudget::ExtraLoadBudget(ExtraLoadOptions Options)
    : m_Options(Options), m_Tokens(Options.Burst), m_Earned(Options.Burst) {}

void ExtraLoadBudget::countPrimary() {
  ++m_Primaries;
  m_Earned += m_Options.Ratio;
  m_Tokens = std::min(m_Options.Burst, m_Tokens + m_Options.Ratio);
}

bool ExtraLoadBudget::trySpend() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  ++m_Extras;
  CARAWAYPOND_INVARIANT(static_cast<double>(m_Extras) <=
                            m_Earned + RoundingError,
                        "extra load exceeds what the primaries earned");
  return true;
}

void ExtraLoadBudget::reconfigure(ExtraLoadOptions Options) {
  m_Options = Options;
  m_Tokens = std::min(m_Tokens, Options.Burst);
}

} // namespace carawaypond

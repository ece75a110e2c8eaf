#include "daemon/traffic/ServiceRuntime.h"

namespace carawaypond::daemon {

namespace {

/// Stands for "no budget" where the policy asks for none.
constexpr ExtraLoadOptions Unbounded{.Ratio = 1000.0, .Burst = 1e9};

ExtraLoadOptions budgetOf(const ServiceConfig &Config,
                          const PolicySettings &Policy) {
  if (!Policy.Budget)
    return Unbounded;
  return {.Ratio = Config.ExtraLoadRatio, .Burst = Config.ExtraLoadBurst};
}

std::vector<ClassShare> sharesOf(const ServiceConfig &Config) {
  std::vector<ClassShare> Shares;
  for (const CallerClass &Class : Config.Classes)
    Shares.push_back({.Name = Class.Name, .Share = Class.Share});
  return Shares;
}

AdmissionOptions admissionOf(const ServiceConfig &Config) {
  return {.ConcurrentQueries = Config.Limits.ConcurrentQueries,
          .Classes = sharesOf(Config)};
}

IndexObject indexOf(const ServiceView &View) {
  return View.Index ? *View.Index : IndexObject{};
}

} // namespace

ServiceRuntime::ServiceRuntime(const ServiceView &View,
                               const PolicySettings &Policy)
    : m_Stored(View.Stored), m_Admission(admissionOf(View.Stored->Content)),
      m_Pinner(indexOf(View)),
      m_CoordinatorBudget(budgetOf(View.Stored->Content, Policy)),
      m_OwnerBudget(budgetOf(View.Stored->Content, Policy)) {}

std::vector<ClassShare> ServiceRuntime::shares() const {
  return sharesOf(config());
}

void ServiceRuntime::apply(const ServiceView &View,
                           const PolicySettings &Policy) {
  if (View.Index && View.Index->ObjectVersion > index().ObjectVersion)
    m_Pinner.setIndex(*View.Index);
  if (View.Stored == m_Stored)
    return;
  m_Stored = View.Stored;
  m_Admission.reconfigure(admissionOf(config()));
  m_CoordinatorBudget.reconfigure(budgetOf(config(), Policy));
  m_OwnerBudget.reconfigure(budgetOf(config(), Policy));
}

} // namespace carawaypond::daemon

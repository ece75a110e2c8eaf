#include "daemon/traffic/ServiceRuntime.h"

namespace carawaypond::daemon {

namespace {

/// A budget that is never exhausted, used when the policy disables budgets.
constexpr ExtraLoadOptions Unbounded{.Ratio = 1000.0, .Burst = 1e9};

/// A primary subrequest is counted by its coordinator and by its owner, so the
/// two parts add up to the service's ratio.
constexpr double CoordinatorPart = 0.2;
constexpr double OwnerPart = 1 - CoordinatorPart;

ExtraLoadOptions budgetOf(const ServiceConfig &Config,
                          const PolicySettings &Policy, double Part) {
  if (!Policy.Budget)
    return Unbounded;
  return {.Ratio = Config.ExtraLoadRatio * Part,
          .Burst = Config.ExtraLoadBurst * Part};
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
      m_CoordinatorBudget(
          budgetOf(View.Stored->Content, Policy, CoordinatorPart)) {}

ServiceQueueOptions
ServiceRuntime::queueOptions(const PolicySettings &Policy) const {
  return {.Classes = sharesOf(config()),
          .ExtraLoad = budgetOf(config(), Policy, OwnerPart),
          .HedgeQuantile = config().HedgeQuantile,
          .Hedge = Policy.Hedge};
}

void ServiceRuntime::apply(const ServiceView &View,
                           const PolicySettings &Policy) {
  if (View.Index && View.Index->ObjectVersion > index().ObjectVersion)
    m_Pinner.setIndex(*View.Index);
  if (View.Stored == m_Stored)
    return;
  m_Stored = View.Stored;
  m_Admission.reconfigure(admissionOf(config()));
  m_CoordinatorBudget.reconfigure(budgetOf(config(), Policy, CoordinatorPart));
}

} // namespace carawaypond::daemon

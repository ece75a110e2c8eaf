#include "coordination/configuration/StoreReadScheduler.h"

#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

StoreReadScheduler::StoreReadScheduler(StoreReadSchedulerOptions Options)
    : m_Options(Options), m_Random(Options.Seed),
      m_Backoff(Options.RetryFloor) {}

std::vector<StoreReadAction>
StoreReadScheduler::tick(bool IsWatcher, std::size_t LiveVms,
                         std::optional<TimePoint> Upstream, TimePoint Now) {
  std::vector<StoreReadAction> Actions;
  bool MayRead = IsWatcher || isUpstreamSilent(Upstream, Now);
  if (!MayRead) {
    m_NextList.reset();
    return Actions;
  }
  m_Probing = !IsWatcher;
  Duration Spread = m_Options.ProbeSpacing * static_cast<int>(LiveVms);
  if (!m_NextList)
    m_NextList = Now + (m_Probing ? jittered(Spread) : Duration(0));
  if (!m_Listing && Now >= *m_NextList) {
    m_Listing = true;
    m_NextList = Now + std::max<Duration>(m_Options.ListPeriod,
                                          m_Probing ? Spread : Duration(0));
    Actions.emplace_back(ListObjects{});
  }
  if (IsWatcher && m_MayWatch && !m_Watching) {
    m_Watching = true;
    Actions.emplace_back(
        WatchObjects{.After = m_Revision, .Timeout = m_Options.WatchTimeout});
  }
  return Actions;
}

void StoreReadScheduler::onList(std::optional<std::uint64_t> Revision,
                                TimePoint Now) {
  CARAWAYPOND_INVARIANT(m_Listing, "end of a list call that was not started");
  m_Listing = false;
  m_Reachable = Revision.has_value();
  if (Revision) {
    m_Revision = std::max(m_Revision, *Revision);
    m_MayWatch = true;
    m_Backoff = m_Options.RetryFloor;
    return;
  }
  TimePoint Retry = Now + jittered(m_Backoff);
  m_NextList = m_Probing ? std::max(m_NextList.value_or(Retry), Retry) : Retry;
  m_Backoff = std::min<Duration>(2 * m_Backoff, m_Options.RetryCeiling);
}

void StoreReadScheduler::onWatch(std::optional<std::uint64_t> Revision,
                                 TimePoint) {
  CARAWAYPOND_INVARIANT(m_Watching, "end of a watch that was not started");
  m_Watching = false;
  m_MayWatch = Revision.has_value();
  if (Revision)
    m_Revision = std::max(m_Revision, *Revision);
}

Duration StoreReadScheduler::jittered(Duration Around) {
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(Around * Factor(m_Random));
}

bool StoreReadScheduler::isUpstreamSilent(std::optional<TimePoint> Upstream,
                                          TimePoint Now) const {
  return !Upstream || Now - *Upstream > m_Options.Silence;
}

} // namespace carawaypond

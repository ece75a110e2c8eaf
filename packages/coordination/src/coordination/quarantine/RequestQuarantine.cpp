#include "coordination/quarantine/RequestQuarantine.h"

#include "coordination/membership/MessageTransit.h"

#include <algorithm>
#include <tuple>

namespace carawaypond {

namespace {

/// How long other VMs are told that a content was cleared.
constexpr Milliseconds ClearedReportTime{3'000};

Milliseconds ageOf(TimePoint At, TimePoint Now) {
  auto Age = std::chrono::duration_cast<Milliseconds>(Now - At);
  return std::max(Age, Milliseconds(0));
}

} // namespace

std::size_t RequestQuarantine::causes(const Known &Of) const {
  std::size_t Count = 0;
  const Crash *Before = nullptr;
  for (const Crash &Each : Of.Crashes) {
    bool IsSameCause = Before != nullptr && Each.Request != Before->Request &&
                       Each.At - Before->At <= m_Options.SameCause;
    if (!IsSameCause)
      ++Count;
    Before = &Each;
  }
  return Count;
}

std::optional<TimePoint> RequestQuarantine::heldUntil(const Known &Of) const {
  std::size_t Causes = causes(Of);
  if (Causes < m_Options.MinCrashes)
    return std::nullopt;
  Milliseconds Length = m_Options.FirstLength;
  for (std::size_t I = m_Options.MinCrashes; I < Causes; ++I)
    Length = std::min(Length * 2, m_Options.MaxLength);
  return Of.Crashes.back().At + Length;
}

bool RequestQuarantine::holds(ContentHash Content, TimePoint Now) const {
  auto Found = m_Contents.find(Content);
  if (Found == m_Contents.end())
    return false;
  auto Until = heldUntil(Found->second);
  return Until && Now < *Until;
}

std::size_t RequestQuarantine::count(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Contents.begin(), m_Contents.end(),
                    [&](const auto &E) { return holds(E.first, Now); }));
}

std::vector<QuarantineReport> RequestQuarantine::reports(std::size_t Max,
                                                         TimePoint Now) const {
  struct Ranked {
    std::size_t Causes = 0;
    TimePoint Latest;
    const ContentHash *Content = nullptr;
    const Known *Of = nullptr;
  };
  std::vector<Ranked> All;
  for (const auto &[Content, Each] : m_Contents) {
    bool IsCleared = Each.Crashes.empty();
    if (IsCleared && Now - *Each.SurvivedAt > ClearedReportTime)
      continue;
    TimePoint Latest = IsCleared ? *Each.SurvivedAt : Each.Crashes.back().At;
    All.push_back({causes(Each), Latest, &Content, &Each});
  }
  std::sort(All.begin(), All.end(), [](const Ranked &A, const Ranked &B) {
    return std::tie(A.Causes, A.Latest) > std::tie(B.Causes, B.Latest);
  });
  All.resize(std::min(All.size(), Max));
  std::vector<QuarantineReport> Reports;
  for (const Ranked &Each : All) {
    QuarantineReport Told{.Content = *Each.Content};
    for (const Crash &Made : Each.Of->Crashes)
      Told.Crashes.push_back({.Replica = Made.Replica,
                              .Request = Made.Request,
                              .Age = ageOf(Made.At, Now)});
    if (Each.Of->SurvivedAt)
      Told.SurvivedAge = ageOf(*Each.Of->SurvivedAt, Now);
    Reports.push_back(std::move(Told));
  }
  return Reports;
}

bool RequestQuarantine::isLess(const Known &Left, const Known &Right) const {
  std::size_t LeftCauses = causes(Left);
  std::size_t RightCauses = causes(Right);
  if (LeftCauses != RightCauses || LeftCauses == 0)
    return LeftCauses < RightCauses;
  return Left.Crashes.back().At < Right.Crashes.back().At;
}

bool RequestQuarantine::dropOne(TimePoint Now) {
  auto Least = std::min_element(m_Contents.begin(), m_Contents.end(),
                                [this](const auto &A, const auto &B) {
                                  return isLess(A.second, B.second);
                                });
  if (holds(Least->first, Now))
    return false;
  m_Contents.erase(Least);
  return true;
}

RequestQuarantine::Known *RequestQuarantine::entry(ContentHash Content,
                                                   TimePoint Now) {
  auto Found = m_Contents.find(Content);
  if (Found != m_Contents.end())
    return &Found->second;
  if (m_Contents.size() >= m_Options.MaxContents && !dropOne(Now))
    return nullptr;
  return &m_Contents[Content];
}

void RequestQuarantine::clear(Known &Of, TimePoint SurvivedAt) const {
  Of.SurvivedAt = std::max(Of.SurvivedAt.value_or(SurvivedAt), SurvivedAt);
  std::erase_if(Of.Crashes,
                [&](const Crash &Each) { return Each.At <= *Of.SurvivedAt; });
}

void RequestQuarantine::add(Known &To, Crash Added) const {
  if (To.SurvivedAt && Added.At <= *To.SurvivedAt)
    return;
  auto Same = std::find_if(
      To.Crashes.begin(), To.Crashes.end(),
      [&](const Crash &Each) { return Each.Replica == Added.Replica; });
  // Reports that are repeated make it look later.
  if (Same != To.Crashes.end() && Same->At <= Added.At)
    return;
  if (Same != To.Crashes.end())
    To.Crashes.erase(Same);
  auto After =
      std::find_if(To.Crashes.begin(), To.Crashes.end(),
                   [&](const Crash &Each) { return Added.At < Each.At; });
  To.Crashes.insert(After, Added);
  if (To.Crashes.size() > m_Options.MaxCrashes)
    To.Crashes.erase(To.Crashes.begin());
}

bool RequestQuarantine::onCrash(ContentHash Content, ReplicaHash Replica,
                                RequestHash Request, TimePoint At,
                                TimePoint Now) {
  Known *Into = entry(Content, Now);
  if (Into == nullptr)
    return false;
  bool WasHeld = holds(Content, Now);
  add(*Into, {.Replica = Replica, .Request = Request, .At = At});
  return !WasHeld && holds(Content, Now);
}

void RequestQuarantine::onSurvived(ContentHash Content, TimePoint At) {
  auto Found = m_Contents.find(Content);
  if (Found != m_Contents.end())
    clear(Found->second, At);
}

void RequestQuarantine::onReport(const QuarantineReport &Told, TimePoint Now) {
  if (Told.Crashes.empty() && !m_Contents.contains(Told.Content))
    return;
  Known *Into = entry(Told.Content, Now);
  if (Into == nullptr)
    return;
  if (Told.SurvivedAge)
    clear(*Into, Now - *Told.SurvivedAge - MaxMessageTransit);
  for (const ReplicaCrash &Each : Told.Crashes)
    if (Each.Age <= m_Options.Retention)
      add(*Into, {.Replica = Each.Replica,
                  .Request = Each.Request,
                  .At = Now - Each.Age});
  expire(Now);
}

void RequestQuarantine::expire(TimePoint Now) {
  for (auto &[Content, Each] : m_Contents)
    std::erase_if(Each.Crashes, [&](const Crash &Made) {
      return Now - Made.At > m_Options.Retention;
    });
  std::erase_if(m_Contents, [Now](const auto &Entry) {
    const Known &Each = Entry.second;
    bool IsReported =
        Each.SurvivedAt && Now - *Each.SurvivedAt <= ClearedReportTime;
    return Each.Crashes.empty() && !IsReported;
  });
}

} // namespace carawaypond

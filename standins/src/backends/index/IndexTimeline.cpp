#include "backends/index/IndexTimeline.h"

#include "backends/deployment/ServicePlan.h"

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

IndexTimeline::IndexTimeline(IndexObject Index, VersionOptions Options)
    : m_Index(std::move(Index)), m_Options(Options), m_Newest(Options.First),
      m_PublishedLayout(m_Index.Layouts.back().Layout) {}

bool IndexTimeline::isWithdrawn(IndexVersion Version) const {
  return m_Withdrawn.contains(Version);
}

const IndexLayout *IndexTimeline::layoutOf(IndexVersion Version) const {
  const IndexLayout *Found = nullptr;
  for (const IndexLayout &Layout : m_Index.Layouts)
    if (Layout.FromVersion <= Version)
      Found = &Layout;
  return Found;
}

std::optional<IndexVersion>
IndexTimeline::endOf(const IndexLayout &Layout) const {
  for (const IndexLayout &Later : m_Index.Layouts)
    if (Later.Layout > Layout.Layout)
      return Later.FromVersion;
  return std::nullopt;
}

bool IndexTimeline::advance() {
  IndexVersion Next(m_Newest.value() + 1);
  const IndexLayout *Layout = layoutOf(Next);
  if (!Layout || Layout->Layout > m_PublishedLayout)
    return false;
  m_Newest = Next;
  return true;
}

std::uint64_t IndexTimeline::repartition(std::uint32_t Shards,
                                         std::uint32_t Replicas,
                                         std::uint64_t After) {
  dropUnservedLayouts();
  const IndexLayout &Last = m_Index.Layouts.back();
  std::uint64_t Base = std::max(m_Newest.value(), Last.FromVersion.value());
  std::uint64_t Number = Last.Layout + 1;
  m_Index.Layouts.push_back(
      {.Layout = Number,
       .FromVersion = IndexVersion(Base + std::max<std::uint64_t>(After, 1)),
       .Shards = spreadShards(m_Index.Servers, Shards, Replicas)});
  return Number;
}

void IndexTimeline::confirmPublished(std::uint64_t Layout) {
  m_PublishedLayout = std::max(m_PublishedLayout, Layout);
}

void IndexTimeline::setServerAddress(const ServerName &Server,
                                     std::string Address) {
  if (ServerInfo *Info = findServer(Server))
    Info->Address = std::move(Address);
}

void IndexTimeline::setServerLeaving(const ServerName &Server, bool Leaving) {
  if (ServerInfo *Info = findServer(Server))
    Info->Leaving = Leaving;
}

void IndexTimeline::dropUnservedLayouts() {
  std::uint64_t Span = m_Options.Kept + m_Options.MaxLag;
  std::vector<IndexLayout> &Layouts = m_Index.Layouts;
  while (Layouts.size() > 1 &&
         Layouts[1].FromVersion.value() + Span <= m_Newest.value())
    Layouts.erase(Layouts.begin());
}

ServerInfo *IndexTimeline::findServer(const ServerName &Server) {
  auto Found =
      std::find_if(m_Index.Servers.begin(), m_Index.Servers.end(),
                   [&](const ServerInfo &S) { return S.Name == Server; });
  return Found == m_Index.Servers.end() ? nullptr : &*Found;
}

} // namespace carawaypond::standins

#pragma once

#include "backends/deployment/VersionOptions.h"
#include "coordination/model/IndexObject.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawaypond::standins {

/// @brief An index over time: its newest version, its layouts and its servers.
/// A layout is served only after the platform has been told of it.
class IndexTimeline {
public:
  IndexTimeline(IndexObject Index, VersionOptions Options);

  [[nodiscard]] const IndexObject &index() const { return m_Index; }
  [[nodiscard]] const VersionOptions &options() const { return m_Options; }
  [[nodiscard]] IndexVersion newest() const { return m_Newest; }
  [[nodiscard]] bool isWithdrawn(IndexVersion Version) const;
  /// @return The layout that holds for @p Version, or nullptr.
  [[nodiscard]] const IndexLayout *layoutOf(IndexVersion Version) const;
  /// @return The first version after @p Layout, if a later layout exists.
  [[nodiscard]] std::optional<IndexVersion>
  endOf(const IndexLayout &Layout) const;

  /// @brief Makes the next version, unless it needs a layout that the platform
  /// has not been told of.
  /// @return Whether there is a new version.
  bool advance();
  /// @brief No replica serves @p Version any more.
  void withdraw(IndexVersion Version) { m_Withdrawn.insert(Version); }
  /// @brief Adds a layout of @p Shards that holds from @p After versions above
  /// the newest one or the newest planned layout.
  /// @return The new layout's number.
  std::uint64_t repartition(std::uint32_t Shards, std::uint32_t Replicas,
                            std::uint64_t After);
  /// @brief The platform now knows all layouts up to @p Layout.
  void confirmPublished(std::uint64_t Layout);
  void setServerAddress(const ServerName &Server, std::string Address);
  void setServerLeaving(const ServerName &Server, bool Leaving);
  void setEvery(Milliseconds Every) { m_Options.Every = Every; }
  void setMaxLag(std::uint64_t MaxLag) { m_Options.MaxLag = MaxLag; }

private:
  void dropUnservedLayouts();
  ServerInfo *findServer(const ServerName &Server);

  IndexObject m_Index;
  VersionOptions m_Options;
  IndexVersion m_Newest;
  std::uint64_t m_PublishedLayout;
  std::set<IndexVersion> m_Withdrawn;
};

} // namespace carawaypond::standins

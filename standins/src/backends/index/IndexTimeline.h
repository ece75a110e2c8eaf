#pragma once

#include "backends/deployment/VersionOptions.h"
#include "coordination/model/IndexObject.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawaypond::standins {

/// @brief An index and its history: newest version, layouts and servers.
/// A layout is served only after it has been published to the platform.
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

  /// @brief Creates the next version unless its layout has not been published
  /// to the platform yet.
  /// @return Whether a version was created.
  bool advance();
  /// @brief Stops all replicas from serving @p Version.
  void withdraw(IndexVersion Version) { m_Withdrawn.insert(Version); }
  /// @brief Adds a layout of @p Shards that holds from @p After versions above
  /// the newest one or the newest planned layout.
  /// @return The new layout's number.
  std::uint64_t repartition(std::uint32_t Shards, std::uint32_t Replicas,
                            std::uint64_t After);
  /// @brief Records that all layouts up to @p Layout have been published.
  void confirmPublished(std::uint64_t Layout);
  void setServerAddress(const ServerName &Server, std::string Address);
  void setServerLeaving(const ServerName &Server, bool Leaving);
  void setInterval(Milliseconds Interval) { m_Options.Every = Interval; }
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

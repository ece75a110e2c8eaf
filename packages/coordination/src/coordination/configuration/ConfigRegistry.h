#pragma once

#include "coordination/membership/Digest.h"
#include "coordination/model/StoredService.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace carawaypond {

/// @brief Result of ConfigRegistry::take().
enum class TakeResult {
  Newer,    ///< The configuration is in use now.
  NotNewer, ///< That version or a higher one was held.
  Full,     ///< The maximum number of services is reached.
};

/// @brief The newest known configuration of each service. A service's version
/// never decreases. A deletion is a version of its own.
class ConfigRegistry {
public:
  using Entry = std::shared_ptr<const StoredService>;

  static constexpr std::size_t DefaultMaxServices = 16384;
  static constexpr std::size_t MaxListedInDigest = 128;
  static constexpr std::size_t MaxRecentInDigest = 8;

  explicit ConfigRegistry(std::size_t MaxServices = DefaultMaxServices)
      : m_MaxServices(MaxServices) {}

  /// @return The configuration, which may be a deletion, or nullptr.
  [[nodiscard]] Entry find(const ServiceName &Name) const;
  /// @return The version held, or 0.
  [[nodiscard]] ConfigVersion versionOf(const ServiceName &Name) const;
  /// @return Every configuration that is not deleted, ordered by name.
  [[nodiscard]] std::vector<Entry> services() const;
  /// @return Every version held, including deletions.
  [[nodiscard]] std::vector<HeldConfigVersion> versions() const;
  /// @return Up to @p Max configurations that are newer than in @p Theirs or
  /// absent from it. If fewer than @p Max are returned, they are all.
  [[nodiscard]] std::vector<Entry>
  newerThan(const std::vector<HeldConfigVersion> &Theirs,
            std::size_t Max) const;
  [[nodiscard]] std::uint64_t fingerprint() const { return m_Fingerprint; }
  /// @return Services of which the digest lists a higher version than held
  /// here.
  [[nodiscard]] std::vector<ServiceName> lacking(const Digest &Heard) const;
  /// @return Whether this VM holds everything that the digest's sender held:
  /// either the fingerprints are equal, or the digest lists all versions and
  /// none of them is newer.
  [[nodiscard]] bool covers(const Digest &Heard) const;
  /// @return Whether the sender may hold newer versions that its digest does
  /// not list, so that its complete versions() must be requested.
  [[nodiscard]] bool needsWholeList(const Digest &Heard) const;

  /// @brief Stores a configuration if its version is higher than the one held.
  TakeResult take(StoredService New);
  /// @brief Adds the count, the fingerprint and versions to a digest.
  /// @param Full Whether to list further versions besides the latest changes.
  void fill(Digest &Out, bool Full);

private:
  void listRotating(Digest &Out);

  std::size_t m_MaxServices;
  std::map<ServiceName, Entry> m_Entries;
  std::vector<ServiceName> m_Recent; ///< Most recent change first.
  std::uint64_t m_Fingerprint = 0;
  ServiceName m_Cursor;
};

} // namespace carawaypond

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

/// @brief What ConfigBook::take() did.
enum class Taken {
  Newer,    ///< The configuration is in force now.
  NotNewer, ///< The book held that version or a higher one.
  Full,     ///< A new service beyond the book's bound.
};

/// @brief The configurations that this VM holds. A version never goes down,
/// and a deletion is a version like any other.
class ConfigBook {
public:
  using Entry = std::shared_ptr<const StoredService>;

  static constexpr std::size_t DefaultMaxServices = 16384;
  static constexpr std::size_t MaxListedInDigest = 128;
  static constexpr std::size_t MaxRecentInDigest = 8;

  explicit ConfigBook(std::size_t MaxServices = DefaultMaxServices)
      : m_MaxServices(MaxServices) {}

  /// @return The configuration, deleted or not; nullptr when none is held.
  [[nodiscard]] Entry find(const ServiceName &Name) const;
  /// @return The version held, 0 when none is.
  [[nodiscard]] ConfigVersion versionOf(const ServiceName &Name) const;
  /// @return Every configuration that is not deleted, by name.
  [[nodiscard]] std::vector<Entry> services() const;
  /// @return Every version held, deletions too.
  [[nodiscard]] std::vector<ConfigHeld> versions() const;
  /// @return Up to @p Max configurations that are newer than @p Theirs, or of
  /// which Theirs knows nothing. Fewer than Max are all that there are.
  [[nodiscard]] std::vector<Entry>
  newerThan(const std::vector<ConfigHeld> &Theirs, std::size_t Max) const;
  [[nodiscard]] std::uint64_t fingerprint() const { return m_Fingerprint; }
  /// @return Services of which the digest's sender holds a higher version.
  [[nodiscard]] std::vector<ServiceName> lacking(const Digest &Heard) const;
  /// @return Whether this book holds all that the digest's sender held: the
  /// fingerprints agree, or the digest lists everything and nothing is newer.
  [[nodiscard]] bool covers(const Digest &Heard) const;
  /// @return Whether the digest's sender holds something that its digest does
  /// not show; its whole versions() must be asked for.
  [[nodiscard]] bool needsWholeList(const Digest &Heard) const;

  /// @brief Takes a configuration if its version is higher.
  Taken take(StoredService New);
  /// @brief Adds count, fingerprint and versions to a digest.
  /// @param Full Whether to list more than the latest changes.
  void fill(Digest &Out, bool Full);

private:
  void listRotating(Digest &Out);

  std::size_t m_MaxServices;
  std::map<ServiceName, Entry> m_Entries;
  std::vector<ServiceName> m_Recent; ///< Newest change first.
  std::uint64_t m_Fingerprint = 0;
  ServiceName m_Cursor;
};

} // namespace carawaypond

#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace carawaypond {

/// @brief Options of ServerDrains.
struct ServerDrainsOptions {
  VmName Self;
  Incarnation IncarnationNumber; ///< Orders the statuses of restarted VMs.
  Milliseconds Hold{30000};      ///< Lifetime of a status unless repeated.
  Milliseconds Recent{5000};     ///< Age up to which each digest has it.
  std::size_t MaxServers = 16384;
  std::size_t StatusesPerDigest = 64;
};

/// @brief Tracks which backend servers are leaving. A drain status of a single
/// VM is enough and takes effect at once. It ends only if the VM that observed
/// it revokes it or when it expires.
class ServerDrains {
public:
  explicit ServerDrains(ServerDrainsOptions Options);

  /// @return Whether the server is leaving and gets no new work.
  [[nodiscard]] bool isDraining(const ServerName &Server, TimePoint Now) const;
  /// @return All servers that are leaving.
  [[nodiscard]] std::vector<ServerName> draining(TimePoint Now) const;

  /// @brief Records an observation of this VM: from a status, the header of an
  /// answer, a refusal, or the state in the index object.
  void observe(const ServerName &Server, bool Leaving, TimePoint Now);
  /// @brief Merges the drain statuses of another VM's digest.
  void take(const std::vector<DrainSign> &Signs, TimePoint Now);
  /// @brief Adds drain statuses to a digest.
  /// @param Full Whether to add statuses older than Recent too.
  void fill(Digest &Out, bool Full, TimePoint Now);
  /// @brief Drops expired statuses.
  void tick(TimePoint Now);

private:
  /// A DrainSign with its time on this VM's clock.
  struct DrainStatus {
    VmName Origin;
    std::uint64_t Sequence = 0;
    TimePoint ObservedAt;
    bool Leaving = true;
  };
  using DrainStatuses =
      std::vector<DrainStatus>; ///< Newest last, one per origin.

  static constexpr std::size_t MaxOrigins = 4; // per server

  /// @return Whether an observation of this VM differs from its previous one,
  /// or renews it before it expires.
  [[nodiscard]] bool mustPublish(const ServerName &Server, bool Leaving,
                                 TimePoint Now) const;
  void merge(const ServerName &Server, DrainStatus New);
  [[nodiscard]] bool isFresh(const DrainStatus &Known, TimePoint Now) const;

  ServerDrainsOptions m_Options;
  std::uint64_t m_NextSequence;
  std::map<ServerName, DrainStatuses> m_Servers;
  ServerName m_Cursor;
};

} // namespace carawaypond

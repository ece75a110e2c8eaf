#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace carawaypond {

/// @brief Bounds of ServerDrains.
struct ServerDrainsOptions {
  VmName Self;
  Incarnation Life;          ///< Signs of a later life count as later.
  Milliseconds Hold{30000};  ///< A sign that nobody repeats expires.
  Milliseconds Recent{5000}; ///< Signs that go into every digest.
  std::size_t MaxServers = 16384;
  std::size_t SignsPerDigest = 64;
};

/// @brief Which backend servers are leaving. One sign of one VM is enough and
/// counts at once; only the VM that observed it withdraws it, or its age.
class ServerDrains {
public:
  explicit ServerDrains(ServerDrainsOptions Options);

  /// @return Whether the server gets no new work.
  [[nodiscard]] bool isDraining(const ServerName &Server, TimePoint Now) const;
  /// @return All that are leaving.
  [[nodiscard]] std::vector<ServerName> draining(TimePoint Now) const;

  /// @brief Takes what this VM itself observed: a status, an answer's header
  /// or refusal, or the index object's state.
  void observe(const ServerName &Server, bool Leaving, TimePoint Now);
  /// @brief Takes signs from another VM's digest.
  void take(const std::vector<DrainSign> &Signs, TimePoint Now);
  /// @brief Adds signs to a digest.
  /// @param Full Whether to add older signs too.
  void fill(Digest &Out, bool Full, TimePoint Now);
  /// @brief Drops what has expired.
  void tick(TimePoint Now);

private:
  struct Sign {
    VmName Origin;
    std::uint64_t Sequence = 0;
    TimePoint ObservedAt;
    bool Leaving = true;
  };
  using Signs = std::vector<Sign>; ///< Youngest last, one of each origin.

  static constexpr std::size_t MaxOrigins = 4; // for each server

  /// Whether an observation says more than the last own one.
  [[nodiscard]] bool isWorthTelling(const ServerName &Server, bool Leaving,
                                    TimePoint Now) const;
  void merge(const ServerName &Server, Sign New);
  [[nodiscard]] bool isFresh(const Sign &Known, TimePoint Now) const;

  ServerDrainsOptions m_Options;
  std::uint64_t m_NextSequence;
  std::map<ServerName, Signs> m_Servers;
  ServerName m_Cursor;
};

} // namespace carawaypond

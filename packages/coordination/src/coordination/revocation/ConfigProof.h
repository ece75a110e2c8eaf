#pragma once

#include "core/time/BootClock.h"

#include <algorithm>
#include <optional>

namespace carawaypond {

/// @brief Knows as of when the configuration in force was proved to be the
/// newest one, and for how long its keys may be trusted.
///
/// Handles VMs that are partitioned off, frozen or just started: such a VM
/// can't learn that a key was revoked. A proof is dated by the start of the
/// call that showed the newest version, so that no delay of an answer makes it
/// look younger than it is.
class ConfigProof {
public:
  /// Share of the bound for which a proof is trusted. The rest covers a watch
  /// of the store that misses changes for a second.
  static constexpr double TrustedShare = 0.7;

  /// @param Bound Maximum time from the acknowledgement of a revocation to the
  /// last request that may run with the key; nothing if there is no bound.
  explicit ConfigProof(std::optional<Milliseconds> Bound) : m_Bound(Bound) {}

  /// @return The time for which a proof is trusted; nothing if there is no
  /// bound.
  [[nodiscard]] std::optional<Milliseconds> lifetime() const {
    if (!m_Bound)
      return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(*m_Bound * TrustedShare);
  }
  /// @return As of when the configuration was the newest; nothing if that was
  /// never proved.
  [[nodiscard]] std::optional<BootTime> asOf() const { return m_AsOf; }
  /// @return The age of the proof; nothing if there is none.
  [[nodiscard]] std::optional<Milliseconds> age(BootTime Now) const {
    if (!m_AsOf)
      return std::nullopt;
    return std::chrono::ceil<Milliseconds>(Now - *m_AsOf);
  }
  /// @return Whether keys of the configuration in force give access.
  [[nodiscard]] bool areKeysTrusted(BootTime Now) const {
    return !m_Bound || (m_AsOf && Now < *m_AsOf + *lifetime());
  }

  /// @brief Records that the configuration in force was the newest at @p AsOf.
  void prove(BootTime AsOf) { m_AsOf = std::max(m_AsOf.value_or(AsOf), AsOf); }

private:
  std::optional<Milliseconds> m_Bound;
  std::optional<BootTime> m_AsOf;
};

} // namespace carawaypond

#pragma once

#include "coordination/configuration/ConfigRegistry.h"
#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace carawaypond {

/// @brief Tracks on which live VMs one version of a service's configuration is
/// in force. One object serves one query and receives the digests of the VMs
/// that were asked.
class RolloutStatus {
public:
  /// @param Live The VMs to ask.
  RolloutStatus(ServiceName Service, ConfigVersion Version,
                const std::vector<VmName> &Live);

  [[nodiscard]] std::size_t vms() const { return m_Vms; }
  [[nodiscard]] std::size_t inForce() const { return m_Vms - m_Waiting.size(); }
  /// @return VMs that have not confirmed that version or a higher one.
  [[nodiscard]] std::vector<VmName> waiting() const;

  /// @brief Evaluates the digest of a VM that was asked.
  /// @param Own This VM's configurations. The sender of a digest with the same
  /// fingerprint holds the same ones.
  void onDigest(const Digest &Heard, const ConfigRegistry &Own);
  /// @brief Evaluates the configurations of this VM itself.
  void onOwn(const VmName &Self, const ConfigRegistry &Own);

private:
  ServiceName m_Service;
  ConfigVersion m_Version;
  std::size_t m_Vms;
  std::set<VmName> m_Waiting;
};

} // namespace carawaypond

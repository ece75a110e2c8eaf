#pragma once

#include "coordination/configuration/ConfigBook.h"
#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace carawaypond {

/// @brief On which live VMs one version of a service is in force. It is made
/// for one question and fed with the digests of VMs that were asked.
class ForceCheck {
public:
  /// @param Live The VMs to ask.
  ForceCheck(ServiceName Service, ConfigVersion Version,
             const std::vector<VmName> &Live);

  [[nodiscard]] std::size_t vms() const { return m_Vms; }
  [[nodiscard]] std::size_t inForce() const { return m_Vms - m_Waiting.size(); }
  /// @return VMs that have not confirmed that version or a higher one.
  [[nodiscard]] std::vector<VmName> waiting() const;

  /// @brief Takes the digest of @p Vm.
  /// @param Own This VM's book: a digest with the same fingerprint holds all
  /// that the book holds.
  void onDigest(const Digest &Heard, const ConfigBook &Own);
  /// @brief Takes what this VM itself holds.
  void onOwn(const VmName &Self, const ConfigBook &Own);

private:
  ServiceName m_Service;
  ConfigVersion m_Version;
  std::size_t m_Vms;
  std::set<VmName> m_Waiting;
};

} // namespace carawaypond

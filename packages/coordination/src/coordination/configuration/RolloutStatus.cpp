#include "coordination/configuration/RolloutStatus.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

RolloutStatus::RolloutStatus(ServiceName Service, ConfigVersion Version,
                             const std::vector<VmName> &Live)
    : m_Service(std::move(Service)), m_Version(Version), m_Vms(0),
      m_Waiting(Live.begin(), Live.end()) {
  m_Vms = m_Waiting.size();
}

std::vector<VmName> RolloutStatus::waiting() const {
  return {m_Waiting.begin(), m_Waiting.end()};
}

void RolloutStatus::onDigest(const Digest &Heard, const ConfigRegistry &Own) {
  bool IsSameBook = Heard.ConfigCount == Own.versions().size() &&
                    Heard.ConfigFingerprint == Own.fingerprint();
  bool HoldsOwn = IsSameBook && Own.versionOf(m_Service) >= m_Version;
  bool IsListed = std::any_of(Heard.Configs.begin(), Heard.Configs.end(),
                              [&](const HeldConfigVersion &Held) {
                                return Held.Service == m_Service &&
                                       Held.Version >= m_Version;
                              });
  if (HoldsOwn || IsListed)
    m_Waiting.erase(Heard.Sender.Name);
}

void RolloutStatus::onOwn(const VmName &Self, const ConfigRegistry &Own) {
  if (Own.versionOf(m_Service) >= m_Version)
    m_Waiting.erase(Self);
}

} // namespace carawaypond

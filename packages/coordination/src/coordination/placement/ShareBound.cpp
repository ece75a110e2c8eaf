#include "coordination/placement/ShareBound.h"

#include <algorithm>

namespace carawaypond {

bool ShareBound::allows(const ServerName &Id) const {
  auto Known = m_Credits.find(Id);
  return Known == m_Credits.end() || Known->second >= 1;
}

double &ShareBound::credit(const ServerName &Of) {
  return m_Credits.try_emplace(Of, InitialCredit).first->second;
}

void ShareBound::onSent(const ServerName &To,
                        const std::vector<ServerName> &Comparable,
                        const ShareBoundOptions &Options) {
  for (const ServerName &Each : Comparable) {
    double Share = Options.MaxRatio / static_cast<double>(Comparable.size());
    double &Credit = credit(Each);
    Credit = std::min(Options.MaxCredit, Credit + Share);
  }
  double &Paid = credit(To);
  Paid = std::max(-Options.MaxCredit, Paid - 1);
}

} // namespace carawaypond

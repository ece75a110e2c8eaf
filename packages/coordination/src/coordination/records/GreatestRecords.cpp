#include "coordination/records/GreatestRecords.h"

#include <algorithm>
#include <functional>

namespace carawaypond {

void GreatestRecords::add(std::string_view Records) {
  std::size_t Count = Records.size() / RecordBytes;
  m_Records.reserve(m_Records.size() + Count);
  for (std::size_t I = 0; I < Count; ++I)
    m_Records.push_back(Records.substr(I * RecordBytes, RecordBytes));
}

std::string GreatestRecords::take() {
  std::size_t Count = std::min(m_Wanted, m_Records.size());
  auto Middle = m_Records.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(m_Records.begin(), Middle, m_Records.end(),
                    std::greater<>());
  std::string Merged;
  Merged.reserve(Count * RecordBytes);
  for (std::size_t I = 0; I < Count; ++I)
    Merged.append(m_Records[I]);
  return Merged;
}

} // namespace carawaypond

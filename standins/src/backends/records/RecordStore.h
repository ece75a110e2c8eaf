#pragma once

#include "backends/deployment/RecordKind.h"
#include "backends/records/RecordQuery.h"
#include "backends/records/RecordSet.h"
#include "backends/records/SearchRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::standins {

/// @brief A service's records, identical in every process. A record is in
/// exactly one shard of every layout.
class RecordStore {
public:
  static constexpr std::uint32_t RecordCount = 256;

  RecordStore(std::string Service, RecordKind Kind);

  /// @return The matching records; each names its shard, layout and version.
  [[nodiscard]] RecordSet search(const RecordQuery &Query) const;

private:
  [[nodiscard]] RecordSet echo(const RecordQuery &Query) const;

  std::string m_Service;
  std::vector<SearchRecord> m_Records;
};

} // namespace carawaypond::standins

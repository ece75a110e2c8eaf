#include "MemoryCosts.h"

#include "FleetContent.h"

#include "coordination/configuration/ConfigRegistry.h"
#include "coordination/drain/ServerDrains.h"
#include "coordination/membership/Membership.h"
#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "daemon/control/IndexRegistry.h"
#include "daemon/control/VersionTable.h"

#include <cstddef>
#include <ostream>
#include <string>

#include <malloc.h>

namespace carawaypond::bench {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::size_t Sizes[] = {100, 1000, 10'000};
constexpr std::size_t ReplicasPerIndex = 100;

std::size_t heapBytes() {
  struct mallinfo2 Info = ::mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// Measures the heap bytes held by the state that @p Build returns.
template <typename BuildState>
void report(std::ostream &Out, const std::string &Kind, std::size_t Count,
            BuildState Build) {
  std::size_t Before = heapBytes();
  auto State = Build(Count);
  std::size_t Bytes = heapBytes() - Before;
  Out << R"({"measure": "memory", "kind": ")" << Kind << R"(", "count": )"
      << Count << R"(, "bytes": )" << Bytes << "}" << std::endl;
}

Membership buildMembership(std::size_t Count) {
  Membership Members({.Self = makeVm(0, Count)});
  for (std::size_t I = 0; I < Count; ++I)
    Members.onRequest({.Sender = makeVm(0, I)}, Start);
  return Members;
}

ConfigRegistry buildConfigs(std::size_t Count) {
  ConfigRegistry Book;
  for (std::size_t I = 0; I < Count; ++I)
    static_cast<void>(Book.take(makeService(I, MaxSubmissionHistory)));
  return Book;
}

daemon::IndexRegistry buildIndexes(std::size_t Count) {
  daemon::IndexRegistry Book;
  for (std::size_t I = 0; I < Count / ReplicasPerIndex; ++I)
    static_cast<void>(Book.take(makeIndex(I, ReplicasPerIndex)));
  return Book;
}

daemon::VersionTable buildVersions(std::size_t Count) {
  daemon::VersionTable Table;
  for (std::size_t I = 0; I < Count / ReplicasPerIndex; ++I)
    static_cast<void>(Table.take(makeVersions(I, ReplicasPerIndex, 1), Start));
  return Table;
}

/// The traffic thread's copy of the versions that replicas serve.
ReplicaVersionTracker buildBoard(std::size_t Count) {
  ReplicaVersionTracker Board;
  for (std::size_t I = 0; I < Count / ReplicasPerIndex; ++I)
    for (const auto &Row : makeVersions(I, ReplicasPerIndex, 1))
      Board.noteStatus(Row.Replica, Start);
  return Board;
}

ServerDrains buildDrains(std::size_t Count) {
  ServerDrains Drains(
      {.Self = VmName("vm-1"), .IncarnationNumber = Incarnation(1)});
  for (std::size_t I = 0; I < Count; ++I)
    Drains.observe(ServerName("search-server-" + std::to_string(I)), true,
                   Start);
  return Drains;
}

} // namespace

void measureMemory(std::ostream &Out) {
  for (std::size_t Count : Sizes) {
    report(Out, "vm_record", Count, buildMembership);
    report(Out, "config", Count, buildConfigs);
    report(Out, "index_replica", Count, buildIndexes);
    report(Out, "version_row", Count, buildVersions);
    report(Out, "board_row", Count, buildBoard);
    report(Out, "drain_sign", Count, buildDrains);
  }
}

} // namespace carawaypond::bench

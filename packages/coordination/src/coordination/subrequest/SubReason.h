#pragma once

#include <optional>
#include <string_view>

namespace carawaypond {

/// @brief Why a subrequest has no answer, or a query no complete one.
enum class SubReason {
  Timeout,        ///< The deadline passed while it was outstanding.
  Deadline,       ///< The deadline passed before it was sent or started.
  Overloaded,     ///< A limit was reached, or it would miss its deadline.
  Shed,           ///< The backend server shed load.
  Draining,       ///< The backend server is leaving.
  Cold,           ///< The backend server has not warmed up.
  Cancelled,      ///< The coordinator cancelled it.
  VersionGone,    ///< The pinned version is no longer served.
  VersionUnknown, ///< The pinned version is not served yet.
  WrongLayout,    ///< The replica has no such layout.
  ShardUnknown,   ///< The replica does not hold the shard.
  WrongVersion,   ///< An answer came for another version, and was dropped.
  Failed,         ///< The backend server failed while it ran.
  NotConnected,   ///< No connection could be made; nothing was sent.
  ConnectionLost, ///< The connection broke after something was sent.
  NoReplica,      ///< No usable replica of the shard is known.
  NoOwner,        ///< No VM that owns the shard could be reached.
  NoSnapshot,     ///< No index version is served by every shard.
};

/// @return The name used on the wire, such as "version_gone".
[[nodiscard]] std::string_view wireNameOf(SubReason Reason);

/// @return The reason with that name on the wire, if there is one.
[[nodiscard]] std::optional<SubReason> parseSubReason(std::string_view Word);

/// @return Whether the replica refused because of the pinned version or layout,
/// so that the query may succeed on another snapshot.
[[nodiscard]] bool isAboutVersion(SubReason Reason);

} // namespace carawaypond

#pragma once

namespace carawaypond {

class SnapshotPinner;
class VersionBoard;
enum class ServerState;
enum class Serves;
struct PinnedShard;
struct PinnedSnapshot;

} // namespace carawaypond

#pragma once

namespace carawaypond {

class SnapshotPinner;
class ReplicaVersionTracker;
enum class ServerState;
enum class Serves;
struct PinnedShard;
struct PinnedSnapshot;

} // namespace carawaypond

#pragma once

namespace carawaypond {

enum class ReplicaState;
struct ReplicaRegistryOptions;
struct ReplicaRecord;
class ReplicaRegistry;

} // namespace carawaypond

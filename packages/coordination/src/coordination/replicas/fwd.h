#pragma once

namespace carawaypond {

enum class ReplicaEvidence;
enum class ReplicaState;
struct ContactAge;
struct ContactSpan;
struct KnownReplica;
struct RemovedReplica;
struct ReplicaDelta;
struct ReplicaList;
struct ReplicaRecord;
struct ReplicaRegistryOptions;
struct ReplicaTransition;
class ReplicaRegistry;
class StoreContact;

} // namespace carawaypond

#pragma once

namespace carawaypond {

class ClassScheduler;
class OwnerQueues;
class ReplicaSelector;
class ReplicaSetQueue;
class ServerSlots;
struct CancelAttempt;
struct ClassShare;
struct CompleteSubrequest;
struct ReplicaSetQueueOptions;
struct SendAttempt;
struct ServerRefusal;
struct ServiceQueueOptions;

} // namespace carawaypond

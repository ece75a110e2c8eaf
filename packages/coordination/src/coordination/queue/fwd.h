#pragma once

namespace carawaypond {

class ClassScheduler;
class ReplicaSetQueue;
class ServerSlots;
struct CancelAttempt;
struct ClassShare;
struct CompleteSubrequest;
struct ReplicaSetQueueOptions;
struct SendAttempt;
struct ServerRefusal;

} // namespace carawaypond

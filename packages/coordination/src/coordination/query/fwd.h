#pragma once

namespace carawaypond {

class QueryRun;
struct CancelSubrequest;
struct FinishQuery;
struct MissingShard;
struct Query;
struct QueryComplete;
struct QueryFinalState;
struct QueryNotRun;
struct QueryPartial;
struct QueryUnknown;
struct SendSubrequest;
struct ShardAnswer;

namespace internal {

class SendTracker;
enum class SendState;
struct SendRecord;

} // namespace internal

} // namespace carawaypond

#pragma once

namespace carawaypond {

enum class AttemptReason;
enum class FailureReason;
struct AnswerParts;
struct RelayReply;
struct RefuseRequest;
struct FailRequest;
struct RunOptions;
struct StartAttempt;
class RequestRun;

} // namespace carawaypond

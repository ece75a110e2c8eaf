#pragma once

namespace carawaypond {

enum class RefusalReason;
class EventRate;
class RetryAdvice;
struct RetryAdviceOptions;

} // namespace carawaypond

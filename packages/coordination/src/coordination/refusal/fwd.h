#pragma once

namespace carawaypond {

enum class RefusalReason;
class RetryAdvice;
struct RetryAdviceOptions;

} // namespace carawaypond

#pragma once

namespace carawaypond {

enum class ErrorCode;
struct Error;

} // namespace carawaypond

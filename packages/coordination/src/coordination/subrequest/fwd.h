#pragma once

namespace carawaypond {

enum class SubReason;
struct SubAnswered;
struct SubInDoubt;
struct SubNotRun;
struct SubVersionGone;
struct Subrequest;
template <typename Id> class IdGenerator;

} // namespace carawaypond

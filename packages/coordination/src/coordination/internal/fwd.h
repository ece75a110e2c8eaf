#pragma once

namespace carawaypond::internal {

enum class Mutant;

} // namespace carawaypond::internal

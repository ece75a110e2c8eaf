#pragma once

namespace carawaypond {

template <typename Tag, typename Rep> class StrongId;

} // namespace carawaypond

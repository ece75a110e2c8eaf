#pragma once

namespace carawaypond {

class StoreRevision;
template <typename Tag, typename Rep> class StrongId;

} // namespace carawaypond

#pragma once

namespace carawaypond {

struct WallMillis;

} // namespace carawaypond

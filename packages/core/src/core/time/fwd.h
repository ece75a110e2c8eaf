#pragma once

namespace carawaypond {

struct BootClock;
struct WallMillis;

} // namespace carawaypond

#pragma once

namespace carawaypond {

struct LoadedVm;
struct VmTrackerOptions;
struct VmLoad;
class StoreReaderSelector;
class VmTracker;

} // namespace carawaypond

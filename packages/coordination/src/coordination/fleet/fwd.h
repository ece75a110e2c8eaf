#pragma once

namespace carawaypond {

struct LoadedVm;
struct StoredVmRecord;
struct VmRecordCleanerOptions;
struct VmTrackerOptions;
struct VmLoad;
class StoreReaderSelector;
class VmRecordCleaner;
class VmTracker;

} // namespace carawaypond

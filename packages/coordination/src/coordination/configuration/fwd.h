#pragma once

namespace carawaypond {

class ConfigRegistry;
class RolloutStatus;
class StoreReadScheduler;
class SubmissionPlan;
class WatchPlan;
enum class TakeResult;
struct StoreReadSchedulerOptions;
struct StoredObject;
struct Submission;
struct WatchPlanOptions;

} // namespace carawaypond

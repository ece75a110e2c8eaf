#pragma once

namespace carawaypond {

class ConfigBook;
class ForceCheck;
class StoreFeed;
class SubmissionPlan;
class WatchPlan;
enum class TakeResult;
struct StoreFeedOptions;
struct StoredObject;
struct Submission;
struct WatchPlanOptions;

} // namespace carawaypond

#pragma once

namespace carawaypond::standins {

class IndexTimeline;
class ReplicaWindow;
struct Refusal;

} // namespace carawaypond::standins

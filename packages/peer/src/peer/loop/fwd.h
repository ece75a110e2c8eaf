#pragma once

namespace carawaypond::peer {

class NodeLoop;
class TaskQueue;
struct LoopContext;
struct PeerCounters;

} // namespace carawaypond::peer

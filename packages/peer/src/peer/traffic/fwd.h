#pragma once

namespace carawaypond::peer {

class FrameChannel;
class TrafficLink;
class TrafficNode;
class TrafficSession;
struct TrafficContext;

} // namespace carawaypond::peer

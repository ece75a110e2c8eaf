#pragma once

namespace carawaypond {

class ControlNode;
struct ConfigFetch;
struct ControlNodeOptions;
struct ControlTick;

} // namespace carawaypond

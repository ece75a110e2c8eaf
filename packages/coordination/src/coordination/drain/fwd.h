#pragma once

#include <cstdint>

namespace carawaypond {

class SendGate;
class ServerDrains;
class VmDrain;
enum class VmDrainAction;
enum class VmPhase : std::uint8_t;
struct ServerDrainsOptions;
struct VmDrainOptions;

} // namespace carawaypond

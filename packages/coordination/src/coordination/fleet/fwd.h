#pragma once

namespace carawaypond {

struct VmBoardOptions;
struct VmEntry;
class VmBoard;

} // namespace carawaypond

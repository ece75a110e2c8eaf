#pragma once

namespace carawaypond {

struct LoadedVm;
struct VmBoardOptions;
struct VmLoad;
class ReaderChoice;
class VmBoard;

} // namespace carawaypond

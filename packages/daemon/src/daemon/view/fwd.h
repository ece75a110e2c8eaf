#pragma once

namespace carawaypond::daemon {

class ViewHolder;
struct ControlView;
struct ServiceView;
struct VmView;

} // namespace carawaypond::daemon

#include "daemon/view/ControlView.h"

#include <algorithm>

namespace carawaypond::daemon {

const VmView *ControlView::findVm(const VmName &Name) const {
  auto Found = std::find_if(Vms.begin(), Vms.end(),
                            [&](const VmView &Vm) { return Vm.Name == Name; });
  return Found == Vms.end() ? nullptr : &*Found;
}

} // namespace carawaypond::daemon

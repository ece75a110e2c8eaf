#pragma once

namespace carawaypond::platform {

class ObjectClient;
class VmListClient;
struct CallCounts;
struct ListedVm;
struct Object;
struct ObjectList;

} // namespace carawaypond::platform

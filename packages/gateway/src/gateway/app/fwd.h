#pragma once

namespace carawaypond::gateway {

class Gateway;

} // namespace carawaypond::gateway

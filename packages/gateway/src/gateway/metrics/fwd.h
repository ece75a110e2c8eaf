#pragma once

namespace carawaypond::gateway {

class LatencyBook;

} // namespace carawaypond::gateway

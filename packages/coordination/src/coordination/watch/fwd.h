#pragma once

namespace carawaypond {

class WatchCursor;

} // namespace carawaypond

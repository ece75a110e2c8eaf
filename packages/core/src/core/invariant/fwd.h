#pragma once

namespace carawaypond {

class InvariantCounter;

} // namespace carawaypond

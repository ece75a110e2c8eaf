#pragma once

namespace carawaypond {

class ConfigProof;

} // namespace carawaypond

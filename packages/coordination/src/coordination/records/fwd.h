#pragma once

namespace carawaypond {

class GreatestRecords;

} // namespace carawaypond

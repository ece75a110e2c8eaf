#pragma once

namespace carawaypond {

class ExtraLoadBudget;
struct ExtraLoadOptions;

} // namespace carawaypond

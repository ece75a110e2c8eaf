#pragma once

namespace carawaypond {

class ArrivalBudget;
class ExtraLoadBudget;
struct ArrivalBudgetOptions;
struct ExtraLoadOptions;

} // namespace carawaypond

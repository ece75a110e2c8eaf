#pragma once

namespace carawaypond {

class ArrivalBudget;
class TokenBucket;
class ExtraLoadBudget;
struct ArrivalBudgetOptions;
struct ExtraLoadOptions;

} // namespace carawaypond

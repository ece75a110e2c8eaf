#pragma once

namespace carawaypond {

class ArrivalBudget;
class RotatingTokens;
class TokenBucket;
class ExtraLoadBudget;
struct ArrivalBudgetOptions;
struct ExtraLoadOptions;
struct VmTurn;

} // namespace carawaypond

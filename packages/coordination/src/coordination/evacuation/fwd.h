#pragma once

namespace carawaypond {

struct EvacuatedCentre;
struct EvacuationChange;
struct EvacuationList;
class EvacuationRegistry;

} // namespace carawaypond

#pragma once

namespace carawaypond::standins {

class RecordStore;
struct RecordQuery;
struct RecordSet;
struct SearchRecord;

} // namespace carawaypond::standins

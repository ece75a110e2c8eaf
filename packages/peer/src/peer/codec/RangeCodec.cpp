#include "peer/codec/RangeCodec.h"

namespace carawaypond::peer {

void writeRanges(const std::vector<VersionRange> &Ranges,
                 WireRanges::Builder Out) {
  capnp::uint Next = 0;
  for (const VersionRange &Range : Ranges) {
    wire::VersionRange::Builder Item = Out[Next++];
    Item.setLayout(Range.Layout);
    Item.setOldest(Range.Oldest.value());
    Item.setNewest(Range.Newest.value());
  }
}

std::vector<VersionRange> readRanges(WireRanges::Reader In) {
  std::vector<VersionRange> Ranges;
  Ranges.reserve(In.size());
  for (wire::VersionRange::Reader Range : In)
    Ranges.push_back({.Layout = Range.getLayout(),
                      .Oldest = IndexVersion(Range.getOldest()),
                      .Newest = IndexVersion(Range.getNewest())});
  return Ranges;
}

} // namespace carawaypond::peer

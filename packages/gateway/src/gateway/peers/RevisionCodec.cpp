#include "gateway/peers/RevisionCodec.h"

#include <nlohmann/json.hpp>

namespace carawaypond::gateway {

namespace {

constexpr const char *EraSuffix = "_era";

} // namespace

void addRevision(nlohmann::json &Body, const std::string &Key,
                 StoreRevision Revision) {
  Body[Key] = Revision.number();
  if (Revision.era() > StoreEra(0))
    Body[Key + EraSuffix] = Revision.era().value();
}

StoreRevision readRevision(JsonReader &Reader, const std::string &Key) {
  StoreEra Era(Reader.integerOr(Key + EraSuffix, 0, UINT64_MAX, 0));
  return StoreRevision(Reader.integer(Key, 0, UINT64_MAX), Era);
}

} // namespace carawaypond::gateway

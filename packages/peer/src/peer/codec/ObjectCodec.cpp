#include "peer/codec/ObjectCodec.h"

#include "peer/codec/Bytes.h"

namespace carawaypond::peer {

namespace {

/// Encoded size of an object without its name and JSON text; includes pointers
/// and padding.
constexpr std::size_t ObjectOverheadBytes = 64;

} // namespace

void writeNames(const std::vector<std::string> &Names, WireNames::Builder Out) {
  capnp::uint Next = 0;
  for (const std::string &Name : Names)
    Out.set(Next++, toText(Name));
}

std::vector<std::string> readNames(WireNames::Reader In) {
  std::vector<std::string> Names;
  Names.reserve(In.size());
  for (capnp::Text::Reader Name : In)
    Names.push_back(toString(Name));
  return Names;
}

std::size_t countThatFit(const std::vector<StoredObject> &Objects,
                         std::size_t MaxBytes) {
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  for (const StoredObject &Object : Objects) {
    Bytes += ObjectOverheadBytes + Object.Name.size() + Object.Json.size();
    if (Bytes > MaxBytes)
      break;
    ++Count;
  }
  return Count;
}

void writeObjects(const std::vector<StoredObject> &Objects,
                  WireObjects::Builder Out) {
  for (capnp::uint Next = 0; Next < Out.size(); ++Next) {
    wire::StoredObject::Builder Item = Out[Next];
    Item.setName(toText(Objects[Next].Name));
    Item.setVersion(Objects[Next].Version);
    Item.setJson(toData(Objects[Next].Json));
  }
}

std::vector<StoredObject> readObjects(WireObjects::Reader In) {
  std::vector<StoredObject> Objects;
  Objects.reserve(In.size());
  for (wire::StoredObject::Reader Item : In)
    Objects.push_back({.Name = toString(Item.getName()),
                       .Version = Item.getVersion(),
                       .Json = toString(Item.getJson())});
  return Objects;
}

} // namespace carawaypond::peer

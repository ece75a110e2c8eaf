#include "platform/ObjectCodec.h"

#include <nlohmann/json.hpp>

namespace carawaypond::platform::internal {

using Json = nlohmann::json;

namespace {

/// @brief Parses @p Body and applies @p Read, whose exceptions for a missing
/// or mistyped field become Malformed.
template <typename T, typename Reader>
Result<T> parseWith(const std::string &Body, const std::string &What,
                    Reader Read) {
  try {
    return Read(Json::parse(Body));
  } catch (const Json::exception &Thrown) {
    return failure(ErrorCode::Malformed, What + ": " + Thrown.what());
  }
}

/// @brief Reads an unsigned number; a negative one is an error, so that it does
/// not wrap around.
std::uint64_t readCounter(const Json &Object, const char *Key) {
  const Json &Value = Object.at(Key);
  if (!Value.is_number_unsigned())
    throw Json::type_error::create(
        302, std::string(Key) + " must be an unsigned integer", &Object);
  return Value.get<std::uint64_t>();
}

Object readObject(const Json &From) {
  return {.Kind = From.at("kind").get<std::string>(),
          .Name = From.at("name").get<std::string>(),
          .Version = readCounter(From, "version"),
          .Value = From.at("value").dump()};
}

ObjectList readObjectList(const Json &From) {
  ObjectList Read;
  Read.Revision = readCounter(From, "revision");
  for (const Json &Item : From.at("objects"))
    Read.Objects.push_back(readObject(Item));
  return Read;
}

ListedVm readVm(const Json &From) {
  return {.Name = VmName(From.at("name").get<std::string>()),
          .Centre = DataCentre(From.at("data_centre").get<std::string>()),
          .Address = From.at("address").get<std::string>(),
          .Leaving = From.at("state").get<std::string>() != "live"};
}

std::vector<ListedVm> readVmList(const Json &From) {
  std::vector<ListedVm> Read;
  for (const Json &Item : From.at("vms"))
    Read.push_back(readVm(Item));
  return Read;
}

} // namespace

Result<Object> parseObject(const std::string &Body, const std::string &What) {
  return parseWith<Object>(Body, What, readObject);
}

Result<ObjectList> parseObjectList(const std::string &Body,
                                   const std::string &What) {
  return parseWith<ObjectList>(Body, What, readObjectList);
}

Result<std::vector<ListedVm>> parseVmList(const std::string &Body,
                                          const std::string &What) {
  return parseWith<std::vector<ListedVm>>(Body, What, readVmList);
}

std::optional<std::uint64_t> parseCurrentVersion(const std::string &Body) {
  auto Version =
      parseWith<std::uint64_t>(Body, "conflict", [](const Json &From) {
        return readCounter(From, "version");
      });
  if (!Version)
    return std::nullopt;
  return Version.value();
}

} // namespace carawaypond::platform::internal

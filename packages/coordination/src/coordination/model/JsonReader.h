#pragma once

#include "core/outcome/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypond {

/// @brief Reads fields of a JSON object and records the first error with its
/// JSON path. After an error, reading continues and returns defaults, so that a
/// parser needs only one check at its end.
class JsonReader {
public:
  /// @brief Whether errors quote the value that is wrong.
  enum class Quoting { Values, TypesOnly };

  /// @param Quoted TypesOnly if a value may hold a secret.
  JsonReader(const nlohmann::json &Object, std::string Path,
             Quoting Quoted = Quoting::Values);

  /// @return The first error, if any.
  [[nodiscard]] const std::optional<Error> &error() const { return m_Error; }
  /// @return The JSON path of the field @p Key.
  [[nodiscard]] std::string pathOf(std::string_view Key) const;
  [[nodiscard]] bool has(std::string_view Key) const;

  /// @brief Reads a string of @p MinLength to @p MaxLength bytes.
  std::string string(std::string_view Key, std::size_t MinLength = 1,
                     std::size_t MaxLength = 253);
  /// @brief Reads an integer within [@p Min, @p Max].
  std::uint64_t integer(std::string_view Key, std::uint64_t Min,
                        std::uint64_t Max);
  std::uint64_t integerOr(std::string_view Key, std::uint64_t Min,
                          std::uint64_t Max, std::uint64_t Default);
  /// @brief Reads a number within [@p Min, @p Max].
  double numberOr(std::string_view Key, double Min, double Max, double Default);
  bool booleanOr(std::string_view Key, bool Default);
  /// @return The array, or an empty one in case of an error.
  const nlohmann::json &array(std::string_view Key);
  /// @return The object, or an empty one in case of an error.
  const nlohmann::json &object(std::string_view Key);

  /// @brief Records an error if there is a key outside @p Known.
  void allowOnly(std::initializer_list<std::string_view> Known);
  /// @brief Records an error at @p Key unless there is one already.
  void fail(std::string_view Key, const std::string &What);
  /// @brief Copies the error of a nested reader unless there is one already.
  void adopt(const JsonReader &Nested);

private:
  [[nodiscard]] const nlohmann::json *find(std::string_view Key) const;

  const nlohmann::json &m_Object;
  std::string m_Path;
  Quoting m_Quoting;
  std::optional<Error> m_Error;
};

} // namespace carawaypond

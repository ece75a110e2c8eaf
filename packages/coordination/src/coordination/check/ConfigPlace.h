#pragma once

#include <cstddef>
#include <optional>

namespace carawaypond {

/// @brief A part of a configuration.
enum class ConfigSection { Document, Routes, Services, Limits, Workspaces };

/// @brief A field of a configuration or of one of its entries.
enum class ConfigField {
  Whole, ///< The entry, or the section if no entry is given.
  Version,
  Prefix,
  Objective,
  Service,
  Split, ///< Services that share a route's requests by weight.
  Shards,
  LeastShare,
  Burst,
  Keys,
};

/// @brief A place in a configuration, without the names of its encoding.
struct ConfigPlace {
  ConfigSection Section = ConfigSection::Document;
  std::optional<std::size_t> Entry; ///< Position in the section.
  ConfigField Field = ConfigField::Whole;
  std::optional<std::size_t> Item; ///< Position in a field that is a list.

  friend bool operator==(const ConfigPlace &, const ConfigPlace &) = default;
};

} // namespace carawaypond

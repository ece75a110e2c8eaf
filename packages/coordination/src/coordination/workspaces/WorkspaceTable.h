#pragma once

#include "coordination/workspaces/Workspace.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief A workspace and the keys of its callers, as they are configured.
struct WorkspaceKeys {
  Workspace Owner;
  std::vector<std::string> Keys;
};

/// @brief A key that gives no access, and why. The key itself is a secret.
struct IgnoredKey {
  WorkspaceName Owner;
  std::size_t Entry = 0; ///< Position of the workspace in the configuration.
  std::string Why;
};

namespace internal {

/// @brief Hash with a secret seed, so that callers can't search for keys that
/// collide.
struct KeyHash {
  using is_transparent = void;

  std::uint64_t Seed = 0;

  std::size_t operator()(std::string_view Key) const;
};

/// @brief Equality that takes the same time wherever two keys differ.
struct KeyEqual {
  using is_transparent = void;

  bool operator()(std::string_view Left, std::string_view Right) const;
};

} // namespace internal

/// @brief The workspaces of one configuration version. Immutable.
class WorkspaceTable {
public:
  using KeyCounts = std::unordered_map<WorkspaceName, std::size_t>;

  /// @brief Creates the table of a configuration that has no workspaces: all
  /// requests are served without a key.
  WorkspaceTable() = default;
  /// @brief Creates the table of a configuration that has workspaces.
  ///
  /// A key of two workspaces gives access to neither, as it does not say who
  /// calls. A workspace whose name is taken already is left out.
  explicit WorkspaceTable(std::vector<WorkspaceKeys> Entries);

  /// @return Whether requests need a key.
  [[nodiscard]] bool areKeysRequired() const { return m_AreKeysRequired; }
  [[nodiscard]] const std::vector<Workspace> &workspaces() const {
    return m_Workspaces;
  }
  [[nodiscard]] const std::vector<IgnoredKey> &ignoredKeys() const {
    return m_Ignored;
  }
  /// @return The position in the configuration of each of workspaces().
  [[nodiscard]] const std::vector<std::size_t> &entries() const {
    return m_Entries;
  }
  /// @return For each workspace that has any, the number of its keys that are
  /// not keys of the same workspace in @p Other.
  [[nodiscard]] KeyCounts countKeysNotIn(const WorkspaceTable &Other) const;
  /// @return Whether a workspace has a quota.
  [[nodiscard]] bool hasQuotas() const;
  /// @return The workspace that holds @p Key, or null.
  [[nodiscard]] const Workspace *findByKey(std::string_view Key) const;
  /// @return The workspace, or null.
  [[nodiscard]] const Workspace *find(const WorkspaceName &Name) const;

private:
  void add(WorkspaceKeys Configured, std::size_t Entry);
  void addKey(std::string Key, std::size_t Index);
  void ignore(std::size_t Index, std::string Why);

  /// Index of a key that stands under two workspaces.
  static constexpr std::size_t Ambiguous = SIZE_MAX;

  bool m_AreKeysRequired = false;
  std::vector<Workspace> m_Workspaces;
  std::vector<std::size_t> m_Entries;
  std::unordered_map<WorkspaceName, std::size_t> m_ByName;
  std::unordered_map<std::string, std::size_t, internal::KeyHash,
                     internal::KeyEqual>
      m_ByKey;
  std::vector<IgnoredKey> m_Ignored;
};

} // namespace carawaypond

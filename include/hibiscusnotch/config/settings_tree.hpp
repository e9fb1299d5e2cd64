/// @file
/// @brief A YAML tree whose nodes know their file and line, and its merging.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscusnotch::config {

/// @brief One error in a settings file.
struct SettingsError
{
  std::string file;
  int line = 0;
  std::string key;
  std::string value;
  std::string expected;
};

/// @brief "FILE:LINE: KEY: got "VALUE", expected ...".
std::string
ToString(const SettingsError& aError);

struct SettingsNode;

struct Scalar
{
  std::string text;
};
struct MapEntry;
/// @brief The entries, in the order of the file.
struct Map
{
  std::vector<MapEntry> entries;
};
struct List
{
  std::vector<SettingsNode> items;
};

/// @brief One node with its place in the file.
struct SettingsNode
{
  std::variant<Scalar, Map, List> content;
  std::string file;
  int line = 0;

  const SettingsNode* Find(const std::string& aKey) const;
};

struct MapEntry
{
  std::string key;
  SettingsNode tree;
};

/// @brief Parses a YAML file; reports syntax errors and duplicate keys.
std::optional<SettingsNode>
ReadYamlFile(const std::string& aFile, std::vector<SettingsError>& aErrors);

/// @brief Parses YAML text; errors name the given file.
std::optional<SettingsNode>
ParseYaml(const std::string& aText,
          const std::string& aFile,
          std::vector<SettingsError>& aErrors);

/// @brief Merges an overlay into a base.
///
/// Maps are merged by key. Lists whose items have an `id` are merged by id, and
/// items with new ids are appended. Any other list or scalar replaces the
/// base's.
SettingsNode
MergeOverlay(SettingsNode aBase, const SettingsNode& aOverlay);

} // namespace hibiscusnotch::config

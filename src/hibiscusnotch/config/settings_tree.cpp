#include "hibiscusnotch/config/settings_tree.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace hibiscusnotch::config {

namespace {

constexpr int kMaxDepth = 32;

class YamlReader
{
public:
  YamlReader(std::string aFile, std::vector<SettingsError>& aErrors)
    : file_(std::move(aFile))
    , errors_(aErrors)
  {
  }

  SettingsNode Read(const YAML::Node& aNode, int aDepth)
  {
    SettingsNode tree{ Scalar{}, file_, aNode.Mark().line + 1 };
    if (aDepth > kMaxDepth) {
      errors_.push_back(
        SettingsError{ file_, tree.line, "", "", "at most 32 nested levels" });
      return tree;
    }
    if (aNode.IsMap()) {
      tree.content = ReadMap(aNode, aDepth);
    } else if (aNode.IsSequence()) {
      List list;
      for (const YAML::Node& item : aNode) {
        list.items.push_back(Read(item, aDepth + 1));
      }
      tree.content = std::move(list);
    } else if (aNode.IsScalar()) {
      tree.content = Scalar{ aNode.Scalar() };
    }
    return tree;
  }

private:
  Map ReadMap(const YAML::Node& aNode, int aDepth)
  {
    Map map;
    std::set<std::string> knownKeys;
    for (const auto& entry : aNode) {
      if (!entry.first.IsScalar()) {
        errors_.push_back(SettingsError{
          file_, entry.first.Mark().line + 1, "", "", "a scalar key" });
        continue;
      }
      const std::string key = entry.first.Scalar();
      if (!knownKeys.insert(key).second) {
        errors_.push_back(SettingsError{ file_,
                                         entry.first.Mark().line + 1,
                                         key,
                                         "",
                                         "a key that is not repeated" });
        continue;
      }
      map.entries.push_back(MapEntry{ key, Read(entry.second, aDepth + 1) });
    }
    return map;
  }

  std::string file_;
  std::vector<SettingsError>& errors_;
};

/// The item's `id`, or null if it has none.
const std::string*
IdOf(const SettingsNode& aItem)
{
  const SettingsNode* id = aItem.Find("id");
  if (!id) {
    return nullptr;
  }
  const auto* scalar = std::get_if<Scalar>(&id->content);
  return scalar ? &scalar->text : nullptr;
}

bool
MergesById(const List& aList)
{
  return !aList.items.empty() && std::all_of(aList.items.begin(),
                                             aList.items.end(),
                                             [](const SettingsNode& aItem) {
                                               return IdOf(aItem) != nullptr;
                                             });
}

void
MergeMaps(Map& aBase, const Map& aOverlay)
{
  for (const MapEntry& entry : aOverlay.entries) {
    const auto found = std::find_if(
      aBase.entries.begin(),
      aBase.entries.end(),
      [&entry](const MapEntry& aEntry) { return aEntry.key == entry.key; });
    if (found == aBase.entries.end()) {
      aBase.entries.push_back(entry);
    } else {
      found->tree = MergeOverlay(std::move(found->tree), entry.tree);
    }
  }
}

void
MergeLists(List& aBase, const List& aOverlay)
{
  for (const SettingsNode& item : aOverlay.items) {
    const std::string& id = *IdOf(item);
    const auto found = std::find_if(
      aBase.items.begin(), aBase.items.end(), [&id](const SettingsNode& aItem) {
        return *IdOf(aItem) == id;
      });
    if (found == aBase.items.end()) {
      aBase.items.push_back(item);
    } else {
      *found = MergeOverlay(std::move(*found), item);
    }
  }
}

} // namespace

std::string
ToString(const SettingsError& aError)
{
  return aError.file + ":" + std::to_string(aError.line) + ": " +
         (aError.key.empty() ? "file" : aError.key) + ": got \"" +
         aError.value + "\", expected " + aError.expected;
}

const SettingsNode*
SettingsNode::Find(const std::string& aKey) const
{
  const auto* map = std::get_if<Map>(&content);
  if (!map) {
    return nullptr;
  }
  for (const auto& [key, tree] : map->entries) {
    if (key == aKey) {
      return &tree;
    }
  }
  return nullptr;
}

std::optional<SettingsNode>
ParseYaml(const std::string& aText,
          const std::string& aFile,
          std::vector<SettingsError>& aErrors)
{
  try {
    const YAML::Node node = YAML::Load(aText);
    if (!node.IsMap()) {
      aErrors.push_back(SettingsError{ aFile, 1, "", "", "a map of settings" });
      return std::nullopt;
    }
    return YamlReader(aFile, aErrors).Read(node, 0);
  } catch (const YAML::Exception& aError) {
    aErrors.push_back(SettingsError{
      aFile, aError.mark.line + 1, "", "", "valid YAML: " + aError.msg });
    return std::nullopt;
  }
}

std::optional<SettingsNode>
ReadYamlFile(const std::string& aFile, std::vector<SettingsError>& aErrors)
{
  std::ifstream stream(aFile);
  if (!stream) {
    aErrors.push_back(SettingsError{ aFile, 0, "", "", "a readable file" });
    return std::nullopt;
  }
  std::stringstream text;
  text << stream.rdbuf();
  return ParseYaml(text.str(), aFile, aErrors);
}

SettingsNode
MergeOverlay(SettingsNode aBase, const SettingsNode& aOverlay)
{
  auto* baseMap = std::get_if<Map>(&aBase.content);
  const auto* overlayMap = std::get_if<Map>(&aOverlay.content);
  if (baseMap && overlayMap) {
    MergeMaps(*baseMap, *overlayMap);
    return aBase;
  }
  auto* baseList = std::get_if<List>(&aBase.content);
  const auto* overlayList = std::get_if<List>(&aOverlay.content);
  const bool byId = baseList && overlayList && MergesById(*baseList) &&
                    MergesById(*overlayList);
  if (byId) {
    MergeLists(*baseList, *overlayList);
    return aBase;
  }
  return aOverlay;
}

} // namespace hibiscusnotch::config

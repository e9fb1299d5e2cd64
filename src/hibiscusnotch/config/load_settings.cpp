#include "hibiscusnotch/config/load_settings.hpp"

#include "hibiscusnotch/config/units.hpp"

#include <algorithm>
#include <cctype>
#include <functional>
#include <set>

namespace hibiscusnotch::config {

namespace {

using core::ClassId;
using core::Duration;
using core::InstanceId;
using core::ServiceId;
using core::Settings;
using core::UpstreamId;
using core::VersionId;
using core::ZoneId;

/// Reads the values of one map. Its destructor reports the keys that were never
/// read.
class MapReader
{
public:
  MapReader(const SettingsNode& aNode,
            std::string aPath,
            std::vector<SettingsError>& aErrors)
    : node_(aNode)
    , path_(std::move(aPath))
    , errors_(aErrors)
  {
    if (!std::holds_alternative<Map>(node_.content)) {
      ReportError(node_, path_, "", "a map");
    }
  }

  MapReader(const MapReader&) = delete;
  MapReader& operator=(const MapReader&) = delete;

  ~MapReader()
  {
    const auto* map = std::get_if<Map>(&node_.content);
    if (!map) {
      return;
    }
    for (const auto& [key, node] : map->entries) {
      if (!knownKeys_.contains(key)) {
        ReportError(node, KeyPath(key), ScalarText(node), "a known key");
      }
    }
  }

  const SettingsNode* FindOptional(const std::string& aKey)
  {
    knownKeys_.insert(aKey);
    return node_.Find(aKey);
  }

  const SettingsNode* FindRequired(const std::string& aKey,
                                   const std::string& aExpected)
  {
    const SettingsNode* found = FindOptional(aKey);
    if (!found) {
      ReportError(node_, KeyPath(aKey), "", aExpected);
    }
    return found;
  }

  void ReadString(const std::string& aKey,
                  std::string& aValue,
                  bool aRequired = true)
  {
    const std::string expected = "a non-empty string";
    const SettingsNode* node =
      aRequired ? FindRequired(aKey, expected) : FindOptional(aKey);
    if (!node) {
      return;
    }
    const auto* scalar = std::get_if<Scalar>(&node->content);
    if (!scalar || scalar->text.empty()) {
      ReportError(*node, KeyPath(aKey), "", expected);
      return;
    }
    aValue = scalar->text;
  }

  void ReadNumber(const std::string& aKey,
                  double& aValue,
                  double aMin,
                  double aMax,
                  bool aRequired = false)
  {
    const std::string expected =
      "a number from " + FormatNumber(aMin) + " to " + FormatNumber(aMax);
    const SettingsNode* node =
      aRequired ? FindRequired(aKey, expected) : FindOptional(aKey);
    if (!node) {
      return;
    }
    const auto number = ParseNumber(ScalarText(*node));
    if (!number || *number < aMin || *number > aMax) {
      ReportError(*node, KeyPath(aKey), ScalarText(*node), expected);
      return;
    }
    aValue = *number;
  }

  template<class Integer>
  void ReadInteger(const std::string& aKey,
                   Integer& aValue,
                   double aMin,
                   double aMax,
                   bool aRequired = false)
  {
    double number = static_cast<double>(aValue);
    ReadNumber(aKey, number, aMin, aMax, aRequired);
    if (number != static_cast<double>(static_cast<Integer>(number))) {
      ReportError(*node_.Find(aKey),
                  KeyPath(aKey),
                  ScalarText(*node_.Find(aKey)),
                  "a whole number");
      return;
    }
    aValue = static_cast<Integer>(number);
  }

  void ReadDuration(const std::string& aKey,
                    Duration& aValue,
                    Duration aMin,
                    Duration aMax,
                    bool aRequired = false)
  {
    const std::string expected = "a duration with its unit, from " +
                                 FormatNumber(core::Seconds(aMin)) + "s to " +
                                 FormatNumber(core::Seconds(aMax)) + "s";
    const SettingsNode* node =
      aRequired ? FindRequired(aKey, expected) : FindOptional(aKey);
    if (!node) {
      return;
    }
    const auto duration = ParseDuration(ScalarText(*node));
    if (!duration || *duration < aMin || *duration > aMax) {
      ReportError(*node, KeyPath(aKey), ScalarText(*node), expected);
      return;
    }
    aValue = *duration;
  }

  void ReadSize(const std::string& aKey, std::size_t& aValue)
  {
    const SettingsNode* node = FindOptional(aKey);
    if (!node) {
      return;
    }
    const auto size = ParseSize(ScalarText(*node));
    if (!size || *size == 0) {
      ReportError(
        *node, KeyPath(aKey), ScalarText(*node), "a size such as 16KiB");
      return;
    }
    aValue = *size;
  }

  /// Reads one of several fixed strings.
  void ReadChoice(const std::string& aKey,
                  std::string& aValue,
                  const std::vector<std::string>& aChoices)
  {
    const SettingsNode* node = FindOptional(aKey);
    if (!node) {
      return;
    }
    const std::string text = ScalarText(*node);
    if (std::find(aChoices.begin(), aChoices.end(), text) == aChoices.end()) {
      std::string expected = "one of";
      for (const std::string& choice : aChoices) {
        expected += " ";
        expected += choice;
      }
      ReportError(*node, KeyPath(aKey), text, expected);
      return;
    }
    aValue = text;
  }

  void ReadBool(const std::string& aKey, bool& aValue)
  {
    const SettingsNode* node = FindOptional(aKey);
    if (!node) {
      return;
    }
    const std::string text = ScalarText(*node);
    if (text != "true" && text != "false") {
      ReportError(*node, KeyPath(aKey), text, "true or false");
      return;
    }
    aValue = text == "true";
  }

  /// Reads the id of a declared item, such as a zone.
  template<class IdType, class Item>
  void ReadReference(const std::string& aKey,
                     IdType& aValue,
                     const std::vector<Item>& aItems,
                     const std::string& aKind)
  {
    const std::string expected = "a declared " + aKind;
    const SettingsNode* node = FindRequired(aKey, expected);
    if (node) {
      ResolveName(*node, KeyPath(aKey), aValue, aItems, expected);
    }
  }

  template<class IdType, class Item>
  void ReadReferences(const std::string& aKey,
                      std::vector<IdType>& aValues,
                      const std::vector<Item>& aItems,
                      const std::string& aKind)
  {
    const std::string expected = "a list of declared " + aKind;
    const SettingsNode* node = FindRequired(aKey, expected);
    if (!node) {
      return;
    }
    const auto* list = std::get_if<List>(&node->content);
    if (!list || list->items.empty()) {
      ReportError(*node, KeyPath(aKey), ScalarText(*node), expected);
      return;
    }
    for (const SettingsNode& item : list->items) {
      IdType id;
      if (!ResolveName(item, KeyPath(aKey), id, aItems, expected)) {
        continue;
      }
      if (core::Contains(std::span<const IdType>(aValues), id)) {
        ReportError(
          item, KeyPath(aKey), ScalarText(item), "a name that is not repeated");
        continue;
      }
      aValues.push_back(id);
    }
  }

  void ReportError(const SettingsNode& aNode,
                   const std::string& aKey,
                   const std::string& aValue,
                   const std::string& aExpected)
  {
    errors_.push_back(
      SettingsError{ aNode.file, aNode.line, aKey, aValue, aExpected });
  }

  std::string KeyPath(const std::string& aKey) const
  {
    return path_.empty() ? aKey : path_ + "." + aKey;
  }

  static std::string ScalarText(const SettingsNode& aNode)
  {
    const auto* scalar = std::get_if<Scalar>(&aNode.content);
    return scalar ? scalar->text : "";
  }

private:
  template<class IdType, class Item>
  bool ResolveName(const SettingsNode& aNode,
                   const std::string& aKey,
                   IdType& aValue,
                   const std::vector<Item>& aItems,
                   const std::string& aExpected)
  {
    const auto found = core::FindByName<IdType>(std::span<const Item>(aItems),
                                                ScalarText(aNode));
    if (!found) {
      ReportError(aNode, aKey, ScalarText(aNode), aExpected);
      return false;
    }
    aValue = *found;
    return true;
  }

  static std::string FormatNumber(double aNumber)
  {
    std::string text = std::to_string(aNumber);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
      text.pop_back();
    }
    return text;
  }

  const SettingsNode& node_;
  std::string path_;
  std::vector<SettingsError>& errors_;
  std::set<std::string> knownKeys_;
};

constexpr Duration kZero{ 0 };
constexpr Duration kMillisecond{ 1'000 };
constexpr Duration kHour{ 3'600'000'000 };
constexpr double kMaxNumber = 1e6;
constexpr std::size_t kSha256HexDigits = 64;

bool
IsSha256Hex(const std::string& aText)
{
  const auto isHex = [](char aChar) {
    return std::isdigit(static_cast<unsigned char>(aChar)) != 0 ||
           (aChar >= 'a' && aChar <= 'f');
  };
  return aText.size() == kSha256HexDigits &&
         std::all_of(aText.begin(), aText.end(), isHex);
}

class SettingsReader
{
public:
  explicit SettingsReader(std::vector<SettingsError>& aErrors)
    : errors_(aErrors)
  {
  }

  Settings Read(const SettingsNode& aNode)
  {
    MapReader root(aNode, "", errors_);
    root.ReadString("deployment", settings_.deployment);
    ReadItems(root,
              "zones",
              settings_.zones,
              [this](MapReader& aMap, auto& aItem) { ReadZone(aMap, aItem); });
    ReadItems(root,
              "services",
              settings_.services,
              [](MapReader& aMap, auto& aItem) { ReadService(aMap, aItem); });
    ReadItems(root,
              "versions",
              settings_.versions,
              [](MapReader& aMap, auto& aItem) { ReadVersion(aMap, aItem); });
    ReadItems(root,
              "classes",
              settings_.classes,
              [this](auto& aMap, auto& aItem) { ReadClass(aMap, aItem); });
    ReadItems(
      root,
      "organisations",
      settings_.organisations,
      [this](auto& aMap, auto& aItem) { ReadOrganisation(aMap, aItem); });
    ReadItems(root,
              "upstreams",
              settings_.upstreams,
              [this](auto& aMap, auto& aItem) { ReadUpstream(aMap, aItem); });
    ReadItems(root,
              "instances",
              settings_.instances,
              [this](auto& aMap, auto& aItem) { ReadInstance(aMap, aItem); });
    ReadSections(root);
    CheckConsistency(aNode);
    return std::move(settings_);
  }

private:
  template<class Item, class ReadItem>
  void ReadItems(MapReader& aRoot,
                 const std::string& aKey,
                 std::vector<Item>& aItems,
                 ReadItem aRead)
  {
    const SettingsNode* node =
      aRoot.FindRequired(aKey, "a list of maps with an id");
    if (!node) {
      return;
    }
    const auto* list = std::get_if<List>(&node->content);
    if (!list) {
      aRoot.ReportError(*node, aKey, MapReader::ScalarText(*node), "a list");
      return;
    }
    std::set<std::string> names;
    for (const SettingsNode& itemNode : list->items) {
      Item item;
      const SettingsNode* id = itemNode.Find("id");
      const std::string name = id ? MapReader::ScalarText(*id) : "";
      std::string path = aKey;
      path.append("[").append(name).append("]");
      MapReader map(itemNode, std::move(path), errors_);
      map.ReadString("id", item.name);
      if (!name.empty() && !names.insert(name).second) {
        map.ReportError(itemNode, aKey, name, "an id that is not repeated");
      }
      aRead(map, item);
      aItems.push_back(std::move(item));
    }
  }

  void ReadZone(MapReader& aMap, core::Zone& aZone)
  {
    aMap.ReadString("region", aZone.region);
  }

  static void ReadService(MapReader& aMap, core::Service& aService)
  {
    std::string kind;
    aMap.ReadString("kind", kind);
    if (!kind.empty() && kind != "engine" && kind != "plain") {
      aMap.ReportError(*aMap.FindOptional("kind"),
                       aMap.KeyPath("kind"),
                       kind,
                       "engine or plain");
    }
    aService.kind =
      kind == "plain" ? core::ServiceKind::Plain : core::ServiceKind::Engine;
  }

  static void ReadVersion(MapReader& aMap, core::Version& aVersion)
  {
    aMap.ReadString("model", aVersion.model);
    aMap.ReadNumber(
      "price", aVersion.pricePerThousandTokens, 0, kMaxNumber, true);
    aMap.ReadNumber("exposure", aVersion.initialExposure, 0, 1);
  }

  void ReadClass(MapReader& aMap, core::RequestClass& aClass)
  {
    aMap.ReadReference(
      "service", aClass.service, settings_.services, "service");
    aMap.ReadNumber("quality_target", aClass.qualityTarget, 0, 1);
    aMap.ReadDuration("first_token", aClass.firstTokenTarget, kZero, kHour);
    aMap.ReadDuration("deadline", aClass.deadline, kMillisecond, kHour, true);
    aMap.ReadInteger("priority", aClass.priority, 0, 9);
    aMap.ReadBool("repeatable", aClass.repeatable);
    aMap.ReadBool("critical", aClass.critical);
    aMap.ReadReferences(
      "versions", aClass.versions, settings_.versions, "versions");
  }

  void ReadOrganisation(MapReader& aMap, core::Organisation& aOrganisation)
  {
    aMap.ReadNumber("weight", aOrganisation.weight, 0.01, 1000);
    aMap.ReadReferences(
      "versions", aOrganisation.versions, settings_.versions, "versions");
    const std::string expected = "SHA-256 hashes in lower-case hex";
    const SettingsNode* keys = aMap.FindRequired("key_sha256", expected);
    if (!keys) {
      return;
    }
    const auto* list = std::get_if<List>(&keys->content);
    const std::vector<SettingsNode> one{ *keys };
    for (const SettingsNode& key : list ? list->items : one) {
      const std::string hash = MapReader::ScalarText(key);
      if (!IsSha256Hex(hash)) {
        aMap.ReportError(key, aMap.KeyPath("key_sha256"), hash, expected);
      }
      aOrganisation.keyHashes.push_back(hash);
    }
  }

  static void ReadEndpoint(MapReader& aMap,
                           core::Endpoint& aEndpoint,
                           const std::string& aPortKey = "port")
  {
    aMap.ReadString("address", aEndpoint.address);
    aMap.ReadInteger(aPortKey, aEndpoint.port, 1, 65535, true);
  }

  void ReadUpstream(MapReader& aMap, core::Upstream& aUpstream)
  {
    aMap.ReadReference(
      "service", aUpstream.service, settings_.services, "service");
    aMap.ReadReference("zone", aUpstream.zone, settings_.zones, "zone");
    ReadEndpoint(aMap, aUpstream.endpoint);
    aMap.ReadReferences(
      "versions", aUpstream.versions, settings_.versions, "versions");
    aMap.ReadInteger("capacity", aUpstream.capacity, 1, 4096);
    aMap.ReadInteger("cold_floor", aUpstream.coldFloor, 1, 4096);
    aMap.ReadDuration("cold_ramp", aUpstream.coldRamp, kZero, kHour);
    aMap.ReadBool("checks_fencing", aUpstream.checksFencing);
    if (aUpstream.coldFloor > aUpstream.capacity) {
      const SettingsNode* node = aMap.FindOptional("cold_floor");
      if (node) {
        aMap.ReportError(*node,
                         aMap.KeyPath("cold_floor"),
                         MapReader::ScalarText(*node),
                         "at most the capacity");
      }
    }
  }

  void ReadInstance(MapReader& aMap, core::Instance& aInstance)
  {
    aMap.ReadReference("zone", aInstance.zone, settings_.zones, "zone");
    ReadEndpoint(aMap, aInstance.callers);
    aInstance.mesh.address = aInstance.callers.address;
    aMap.ReadInteger("mesh_port", aInstance.mesh.port, 1, 65535, true);
  }

  void ReadSection(MapReader& aRoot,
                   const std::string& aKey,
                   bool aRequired,
                   const std::function<void(MapReader&)>& aRead)
  {
    const SettingsNode* node =
      aRequired ? aRoot.FindRequired(aKey, "a map") : aRoot.FindOptional(aKey);
    if (node) {
      MapReader map(*node, aKey, errors_);
      aRead(map);
    }
  }

  void ReadSections(MapReader& aRoot)
  {
    ReadSection(aRoot, "platform", true, [this](MapReader& aMap) {
      ReadEndpoint(aMap, settings_.platform.endpoint);
      aMap.ReadNumber(
        "calls_per_second", settings_.platform.callsPerSecond, 0.1, kMaxNumber);
    });
    ReadSection(aRoot, "rater", true, [this](MapReader& aMap) {
      ReadEndpoint(aMap, settings_.rater);
    });
    ReadSection(aRoot, "secrets", true, [this](MapReader& aMap) {
      aMap.ReadString("session_token", settings_.tokenSecret);
      aMap.ReadString("operator_key_sha256", settings_.operatorKeyHash);
    });
    ReadSection(aRoot, "journal", false, [this](MapReader& aMap) {
      ReadJournal(aMap, settings_.journal);
    });
    ReadSection(aRoot, "mesh", false, [this](MapReader& aMap) {
      ReadMesh(aMap, settings_.mesh);
    });
    ReadSection(aRoot, "limits", false, [this](MapReader& aMap) {
      ReadLimits(aMap, settings_.limits);
    });
    ReadSection(aRoot, "log", false, [this](MapReader& aMap) {
      ReadLog(aMap, settings_.log);
    });
    ReadSection(aRoot, "self", false, [this](MapReader& aMap) {
      aMap.ReadReference(
        "instance", settings_.self, settings_.instances, "instance");
    });
  }

  static void ReadJournal(MapReader& aMap, core::JournalSettings& aJournal)
  {
    aMap.ReadInteger("claim_buckets", aJournal.claimBuckets, 1, 4096);
    aMap.ReadDuration(
      "claim_write_interval", aJournal.claimWriteInterval, kZero, kHour);
    aMap.ReadDuration(
      "bill_write_interval", aJournal.billWriteInterval, kZero, kHour);
    aMap.ReadDuration(
      "repeat_window", aJournal.repeatWindow, kMillisecond, kHour * 24);
    aMap.ReadInteger("max_queued_bills", aJournal.maxQueuedBills, 1, 1e7);
    aMap.ReadSize("max_object_size", aJournal.maxObjectBytes);
  }

  static void ReadMesh(MapReader& aMap, core::MeshSettings& aMesh)
  {
    aMap.ReadDuration(
      "heartbeat", aMesh.heartbeatInterval, kMillisecond, kHour);
    aMap.ReadDuration("suspect_after", aMesh.suspectAfter, kMillisecond, kHour);
    aMap.ReadDuration("confirm_after", aMesh.confirmAfter, kMillisecond, kHour);
    aMap.ReadInteger("fan_out", aMesh.fanOut, 1, 4096);
  }

  static void ReadLimits(MapReader& aMap, core::LimitSettings& aLimits)
  {
    aMap.ReadInteger(
      "queue_per_organisation", aLimits.maxQueuePerOrganisation, 1, kMaxNumber);
    aMap.ReadNumber("retry_share", aLimits.retryShare, 0, 1);
    aMap.ReadDuration(
      "progress_deadline", aLimits.progressDeadline, kMillisecond, kHour);
    aMap.ReadDuration("drain_grace", aLimits.drainGrace, kZero, kHour);
    aMap.ReadDuration("drain_limit", aLimits.drainLimit, kMillisecond, kHour);
    aMap.ReadSize("header_size", aLimits.maxHeaderBytes);
    aMap.ReadSize("body_size", aLimits.maxBodyBytes);
    aMap.ReadDuration("idle_timeout", aLimits.idleTimeout, kMillisecond, kHour);
  }

  static void ReadLog(MapReader& aMap, core::LogSettings& aLog)
  {
    std::string layout = "plain";
    aMap.ReadChoice("layout", layout, { "plain", "json" });
    aMap.ReadChoice(
      "level", aLog.level, { "debug", "info", "warning", "error" });
    aLog.layout =
      layout == "json" ? core::LogLayout::Json : core::LogLayout::Plain;
  }

  /// Checks rules that concern several keys.
  void CheckConsistency(const SettingsNode& aNode)
  {
    for (uint32_t i = 0; i < settings_.versions.size(); ++i) {
      const VersionId id{ i };
      const bool served =
        std::any_of(settings_.upstreams.begin(),
                    settings_.upstreams.end(),
                    [id](const core::Upstream& aUpstream) {
                      return core::Contains(std::span(aUpstream.versions), id);
                    });
      if (!served) {
        ReportItem(aNode,
                   "versions",
                   settings_.versions[i].name,
                   "a version that at least one upstream serves");
      }
    }
    for (const core::Organisation& organisation : settings_.organisations) {
      const bool anyClass = std::any_of(
        settings_.classes.begin(),
        settings_.classes.end(),
        [&](const core::RequestClass& aClass) {
          return std::any_of(
            aClass.versions.begin(), aClass.versions.end(), [&](VersionId aId) {
              return core::Contains(std::span(organisation.versions), aId);
            });
        });
      if (!anyClass) {
        ReportItem(
          aNode,
          "organisations",
          organisation.name,
          "an organisation that may use a version of at least one class");
      }
    }
    if (settings_.mesh.confirmAfter <= settings_.mesh.suspectAfter) {
      errors_.push_back(SettingsError{ aNode.file,
                                       aNode.line,
                                       "mesh.confirm_after",
                                       "",
                                       "more than mesh.suspect_after" });
    }
  }

  void ReportItem(const SettingsNode& aNode,
                  const std::string& aKey,
                  const std::string& aName,
                  const std::string& aExpected)
  {
    const SettingsNode* listNode = aNode.Find(aKey);
    const auto* list =
      listNode ? std::get_if<List>(&listNode->content) : nullptr;
    for (const SettingsNode& item :
         list ? list->items : std::vector<SettingsNode>{}) {
      const SettingsNode* id = item.Find("id");
      if (id && MapReader::ScalarText(*id) == aName) {
        errors_.push_back(
          SettingsError{ item.file, item.line, aKey, aName, aExpected });
        return;
      }
    }
  }

  std::vector<SettingsError>& errors_;
  Settings settings_;
};

} // namespace

LoadResult
DecodeSettings(const SettingsNode& aNode)
{
  LoadResult result;
  Settings settings = SettingsReader(result.errors).Read(aNode);
  if (result.errors.empty()) {
    result.settings = std::move(settings);
  }
  return result;
}

LoadResult
LoadSettings(const std::string& aBaseFile,
             const std::string& aOverlayFile,
             const std::string& aInstance)
{
  LoadResult result;
  auto base = ReadYamlFile(aBaseFile, result.errors);
  std::optional<SettingsNode> overlay;
  if (!aOverlayFile.empty()) {
    overlay = ReadYamlFile(aOverlayFile, result.errors);
  }
  if (!result.errors.empty() || !base) {
    return result;
  }
  const SettingsNode merged =
    overlay ? MergeOverlay(std::move(*base), *overlay) : *base;
  result = DecodeSettings(merged);
  if (!result.settings || aInstance.empty()) {
    return result;
  }
  const auto self = core::FindByName<InstanceId>(
    std::span<const core::Instance>(result.settings->instances), aInstance);
  if (!self) {
    result.settings.reset();
    result.errors.push_back(SettingsError{
      "--instance", 0, "instance", aInstance, "a declared instance" });
    return result;
  }
  result.settings->self = *self;
  return result;
}

} // namespace hibiscusnotch::config

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

/// Reads one map and reports what it holds that nobody asked for.
class MapReader
{
public:
  MapReader(const Tree& aTree, std::string aPath, std::vector<Fault>& aFaults)
    : tree_(aTree)
    , path_(std::move(aPath))
    , faults_(aFaults)
  {
    if (!std::holds_alternative<Map>(tree_.content)) {
      Report(tree_, path_, "", "a map");
    }
  }

  MapReader(const MapReader&) = delete;
  MapReader& operator=(const MapReader&) = delete;

  ~MapReader()
  {
    const auto* map = std::get_if<Map>(&tree_.content);
    if (!map) {
      return;
    }
    for (const auto& [key, tree] : map->entries) {
      if (!known_.contains(key)) {
        Report(tree, Path(key), TextOf(tree), "a known key");
      }
    }
  }

  const Tree* Optional(const std::string& aKey)
  {
    known_.insert(aKey);
    return tree_.Find(aKey);
  }

  const Tree* Required(const std::string& aKey, const std::string& aExpected)
  {
    const Tree* found = Optional(aKey);
    if (!found) {
      Report(tree_, Path(aKey), "", aExpected);
    }
    return found;
  }

  void Text(const std::string& aKey, std::string& aValue, bool aRequired = true)
  {
    const std::string expected = "a word";
    const Tree* tree = aRequired ? Required(aKey, expected) : Optional(aKey);
    if (!tree) {
      return;
    }
    const auto* scalar = std::get_if<Scalar>(&tree->content);
    if (!scalar || scalar->text.empty()) {
      Report(*tree, Path(aKey), "", expected);
      return;
    }
    aValue = scalar->text;
  }

  void Number(const std::string& aKey,
              double& aValue,
              double aLeast,
              double aMost,
              bool aRequired = false)
  {
    const std::string expected =
      "a number from " + Shorten(aLeast) + " to " + Shorten(aMost);
    const Tree* tree = aRequired ? Required(aKey, expected) : Optional(aKey);
    if (!tree) {
      return;
    }
    const auto number = ParseNumber(TextOf(*tree));
    if (!number || *number < aLeast || *number > aMost) {
      Report(*tree, Path(aKey), TextOf(*tree), expected);
      return;
    }
    aValue = *number;
  }

  template<class Integer>
  void Count(const std::string& aKey,
             Integer& aValue,
             double aLeast,
             double aMost,
             bool aRequired = false)
  {
    double number = static_cast<double>(aValue);
    Number(aKey, number, aLeast, aMost, aRequired);
    if (number != static_cast<double>(static_cast<Integer>(number))) {
      Report(*tree_.Find(aKey),
             Path(aKey),
             TextOf(*tree_.Find(aKey)),
             "a whole number");
      return;
    }
    aValue = static_cast<Integer>(number);
  }

  void Time(const std::string& aKey,
            Duration& aValue,
            Duration aLeast,
            Duration aMost,
            bool aRequired = false)
  {
    const std::string expected = "a duration with its unit, from " +
                                 Shorten(core::Seconds(aLeast)) + "s to " +
                                 Shorten(core::Seconds(aMost)) + "s";
    const Tree* tree = aRequired ? Required(aKey, expected) : Optional(aKey);
    if (!tree) {
      return;
    }
    const auto duration = ParseDuration(TextOf(*tree));
    if (!duration || *duration < aLeast || *duration > aMost) {
      Report(*tree, Path(aKey), TextOf(*tree), expected);
      return;
    }
    aValue = *duration;
  }

  void Size(const std::string& aKey, std::size_t& aValue)
  {
    const Tree* tree = Optional(aKey);
    if (!tree) {
      return;
    }
    const auto size = ParseSize(TextOf(*tree));
    if (!size || *size == 0) {
      Report(*tree, Path(aKey), TextOf(*tree), "a size such as 16KiB");
      return;
    }
    aValue = *size;
  }

  /// Reads one of a few words.
  void Word(const std::string& aKey,
            std::string& aValue,
            const std::vector<std::string>& aWords)
  {
    const Tree* tree = Optional(aKey);
    if (!tree) {
      return;
    }
    const std::string text = TextOf(*tree);
    if (std::find(aWords.begin(), aWords.end(), text) == aWords.end()) {
      std::string expected = "one of";
      for (const std::string& word : aWords) {
        expected += " ";
        expected += word;
      }
      Report(*tree, Path(aKey), text, expected);
      return;
    }
    aValue = text;
  }

  void Flag(const std::string& aKey, bool& aValue)
  {
    const Tree* tree = Optional(aKey);
    if (!tree) {
      return;
    }
    const std::string text = TextOf(*tree);
    if (text != "true" && text != "false") {
      Report(*tree, Path(aKey), text, "true or false");
      return;
    }
    aValue = text == "true";
  }

  /// Reads the name of a declared row.
  template<class IdType, class Row>
  void Reference(const std::string& aKey,
                 IdType& aValue,
                 const std::vector<Row>& aRows,
                 const std::string& aKind)
  {
    const std::string expected = "a declared " + aKind;
    const Tree* tree = Required(aKey, expected);
    if (tree) {
      Resolve(*tree, Path(aKey), aValue, aRows, expected);
    }
  }

  template<class IdType, class Row>
  void References(const std::string& aKey,
                  std::vector<IdType>& aValues,
                  const std::vector<Row>& aRows,
                  const std::string& aKind)
  {
    const std::string expected = "a list of declared " + aKind;
    const Tree* tree = Required(aKey, expected);
    if (!tree) {
      return;
    }
    const auto* list = std::get_if<List>(&tree->content);
    if (!list || list->items.empty()) {
      Report(*tree, Path(aKey), TextOf(*tree), expected);
      return;
    }
    for (const Tree& item : list->items) {
      IdType id;
      if (!Resolve(item, Path(aKey), id, aRows, expected)) {
        continue;
      }
      if (core::Contains(std::span<const IdType>(aValues), id)) {
        Report(item, Path(aKey), TextOf(item), "each name only once");
        continue;
      }
      aValues.push_back(id);
    }
  }

  void Report(const Tree& aTree,
              const std::string& aKey,
              const std::string& aValue,
              const std::string& aExpected)
  {
    faults_.push_back(Fault{ aTree.file, aTree.line, aKey, aValue, aExpected });
  }

  std::string Path(const std::string& aKey) const
  {
    return path_.empty() ? aKey : path_ + "." + aKey;
  }

  static std::string TextOf(const Tree& aTree)
  {
    const auto* scalar = std::get_if<Scalar>(&aTree.content);
    return scalar ? scalar->text : "";
  }

private:
  template<class IdType, class Row>
  bool Resolve(const Tree& aTree,
               const std::string& aKey,
               IdType& aValue,
               const std::vector<Row>& aRows,
               const std::string& aExpected)
  {
    const auto found =
      core::FindByName<IdType>(std::span<const Row>(aRows), TextOf(aTree));
    if (!found) {
      Report(aTree, aKey, TextOf(aTree), aExpected);
      return false;
    }
    aValue = *found;
    return true;
  }

  static std::string Shorten(double aNumber)
  {
    std::string text = std::to_string(aNumber);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
      text.pop_back();
    }
    return text;
  }

  const Tree& tree_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::set<std::string> known_;
};

constexpr Duration kNone{ 0 };
constexpr Duration kMillisecond{ 1'000 };
constexpr Duration kHour{ 3'600'000'000 };
constexpr double kMany = 1e6;
constexpr std::size_t kSha256HexDigits = 64;

bool
IsSha256(const std::string& aText)
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
  explicit SettingsReader(std::vector<Fault>& aFaults)
    : faults_(aFaults)
  {
  }

  Settings Read(const Tree& aTree)
  {
    MapReader root(aTree, "", faults_);
    root.Text("deployment", settings_.deployment);
    Rows(root, "zones", settings_.zones, [this](MapReader& aMap, auto& aRow) {
      ReadZone(aMap, aRow);
    });
    Rows(root, "services", settings_.services, [](MapReader& aMap, auto& aRow) {
      ReadService(aMap, aRow);
    });
    Rows(root, "versions", settings_.versions, [](MapReader& aMap, auto& aRow) {
      ReadVersion(aMap, aRow);
    });
    Rows(root, "classes", settings_.classes, [this](auto& aMap, auto& aRow) {
      ReadClass(aMap, aRow);
    });
    Rows(root,
         "organisations",
         settings_.organisations,
         [this](auto& aMap, auto& aRow) { ReadOrganisation(aMap, aRow); });
    Rows(root,
         "upstreams",
         settings_.upstreams,
         [this](auto& aMap, auto& aRow) { ReadUpstream(aMap, aRow); });
    Rows(root,
         "instances",
         settings_.instances,
         [this](auto& aMap, auto& aRow) { ReadInstance(aMap, aRow); });
    ReadSections(root);
    CheckWhole(aTree);
    return std::move(settings_);
  }

private:
  template<class Row, class ReadRow>
  void Rows(MapReader& aRoot,
            const std::string& aKey,
            std::vector<Row>& aRows,
            ReadRow aRead)
  {
    const Tree* tree = aRoot.Required(aKey, "a list of maps with an id");
    if (!tree) {
      return;
    }
    const auto* list = std::get_if<List>(&tree->content);
    if (!list) {
      aRoot.Report(*tree, aKey, MapReader::TextOf(*tree), "a list");
      return;
    }
    std::set<std::string> names;
    for (const Tree& item : list->items) {
      Row row;
      const Tree* id = item.Find("id");
      const std::string name = id ? MapReader::TextOf(*id) : "";
      std::string path = aKey;
      path.append("[").append(name).append("]");
      MapReader map(item, std::move(path), faults_);
      map.Text("id", row.name);
      if (!name.empty() && !names.insert(name).second) {
        map.Report(item, aKey, name, "each id only once");
      }
      aRead(map, row);
      aRows.push_back(std::move(row));
    }
  }

  void ReadZone(MapReader& aMap, core::Zone& aRow)
  {
    aMap.Text("region", aRow.region);
  }

  static void ReadService(MapReader& aMap, core::Service& aRow)
  {
    std::string kind;
    aMap.Text("kind", kind);
    if (!kind.empty() && kind != "engine" && kind != "plain") {
      aMap.Report(
        *aMap.Optional("kind"), aMap.Path("kind"), kind, "engine or plain");
    }
    aRow.kind =
      kind == "plain" ? core::ServiceKind::Plain : core::ServiceKind::Engine;
  }

  static void ReadVersion(MapReader& aMap, core::Version& aRow)
  {
    aMap.Text("model", aRow.model);
    aMap.Number("price", aRow.pricePerThousandTokens, 0, kMany, true);
    aMap.Number("exposure", aRow.initialExposure, 0, 1);
  }

  void ReadClass(MapReader& aMap, core::RequestClass& aRow)
  {
    aMap.Reference("service", aRow.service, settings_.services, "service");
    aMap.Number("quality_target", aRow.qualityTarget, 0, 1);
    aMap.Time("first_token", aRow.firstTokenTarget, kNone, kHour);
    aMap.Time("deadline", aRow.deadline, kMillisecond, kHour, true);
    aMap.Count("priority", aRow.priority, 0, 9);
    aMap.Flag("repeatable", aRow.repeatable);
    aMap.Flag("critical", aRow.critical);
    aMap.References("versions", aRow.versions, settings_.versions, "versions");
  }

  void ReadOrganisation(MapReader& aMap, core::Organisation& aRow)
  {
    aMap.Number("weight", aRow.weight, 0.01, 1000);
    aMap.References("versions", aRow.versions, settings_.versions, "versions");
    const std::string expected = "SHA-256 hashes in lower-case hex";
    const Tree* keys = aMap.Required("key_sha256", expected);
    if (!keys) {
      return;
    }
    const auto* list = std::get_if<List>(&keys->content);
    const std::vector<Tree> one{ *keys };
    for (const Tree& key : list ? list->items : one) {
      const std::string hash = MapReader::TextOf(key);
      if (!IsSha256(hash)) {
        aMap.Report(key, aMap.Path("key_sha256"), hash, expected);
      }
      aRow.keyHashes.push_back(hash);
    }
  }

  static void ReadEndpoint(MapReader& aMap,
                           core::Endpoint& aRow,
                           const std::string& aPortKey = "port")
  {
    aMap.Text("address", aRow.address);
    aMap.Count(aPortKey, aRow.port, 1, 65535, true);
  }

  void ReadUpstream(MapReader& aMap, core::Upstream& aRow)
  {
    aMap.Reference("service", aRow.service, settings_.services, "service");
    aMap.Reference("zone", aRow.zone, settings_.zones, "zone");
    ReadEndpoint(aMap, aRow.endpoint);
    aMap.References("versions", aRow.versions, settings_.versions, "versions");
    aMap.Count("capacity", aRow.capacity, 1, 4096);
    aMap.Count("cold_floor", aRow.coldFloor, 1, 4096);
    aMap.Time("cold_ramp", aRow.coldRamp, kNone, kHour);
    aMap.Flag("checks_fencing", aRow.checksFencing);
    if (aRow.coldFloor > aRow.capacity) {
      const Tree* tree = aMap.Optional("cold_floor");
      if (tree) {
        aMap.Report(*tree,
                    aMap.Path("cold_floor"),
                    MapReader::TextOf(*tree),
                    "at most the capacity");
      }
    }
  }

  void ReadInstance(MapReader& aMap, core::Instance& aRow)
  {
    aMap.Reference("zone", aRow.zone, settings_.zones, "zone");
    ReadEndpoint(aMap, aRow.callers);
    aRow.mesh.address = aRow.callers.address;
    aMap.Count("mesh_port", aRow.mesh.port, 1, 65535, true);
  }

  void Section(MapReader& aRoot,
               const std::string& aKey,
               bool aRequired,
               const std::function<void(MapReader&)>& aRead)
  {
    const Tree* tree =
      aRequired ? aRoot.Required(aKey, "a map") : aRoot.Optional(aKey);
    if (tree) {
      MapReader map(*tree, aKey, faults_);
      aRead(map);
    }
  }

  void ReadSections(MapReader& aRoot)
  {
    Section(aRoot, "platform", true, [this](MapReader& aMap) {
      ReadEndpoint(aMap, settings_.platform.endpoint);
      aMap.Number(
        "calls_per_second", settings_.platform.callsPerSecond, 0.1, kMany);
    });
    Section(aRoot, "rater", true, [this](MapReader& aMap) {
      ReadEndpoint(aMap, settings_.rater);
    });
    Section(aRoot, "secrets", true, [this](MapReader& aMap) {
      aMap.Text("session_token", settings_.tokenSecret);
      aMap.Text("operator_key_sha256", settings_.operatorKeyHash);
    });
    Section(aRoot, "journal", false, [this](MapReader& aMap) {
      ReadJournal(aMap, settings_.journal);
    });
    Section(aRoot, "mesh", false, [this](MapReader& aMap) {
      ReadMesh(aMap, settings_.mesh);
    });
    Section(aRoot, "limits", false, [this](MapReader& aMap) {
      ReadLimits(aMap, settings_.limits);
    });
    Section(aRoot, "log", false, [this](MapReader& aMap) {
      ReadLog(aMap, settings_.log);
    });
    Section(aRoot, "self", false, [this](MapReader& aMap) {
      aMap.Reference(
        "instance", settings_.self, settings_.instances, "instance");
    });
  }

  static void ReadJournal(MapReader& aMap, core::JournalSettings& aRow)
  {
    aMap.Count("claim_buckets", aRow.claimBuckets, 1, 4096);
    aMap.Time("claim_write_interval", aRow.claimWriteInterval, kNone, kHour);
    aMap.Time("bill_write_interval", aRow.billWriteInterval, kNone, kHour);
    aMap.Time("repeat_window", aRow.repeatWindow, kMillisecond, kHour * 24);
    aMap.Count("max_queued_bills", aRow.maxQueuedBills, 1, 1e7);
    aMap.Size("max_object_size", aRow.maxObjectBytes);
  }

  static void ReadMesh(MapReader& aMap, core::MeshSettings& aRow)
  {
    aMap.Time("heartbeat", aRow.heartbeatInterval, kMillisecond, kHour);
    aMap.Time("suspect_after", aRow.suspectAfter, kMillisecond, kHour);
    aMap.Time("confirm_after", aRow.confirmAfter, kMillisecond, kHour);
    aMap.Count("fan_out", aRow.fanOut, 1, 4096);
  }

  static void ReadLimits(MapReader& aMap, core::LimitSettings& aRow)
  {
    aMap.Count(
      "queue_per_organisation", aRow.maxQueuePerOrganisation, 1, kMany);
    aMap.Number("retry_share", aRow.retryShare, 0, 1);
    aMap.Time("progress_deadline", aRow.progressDeadline, kMillisecond, kHour);
    aMap.Time("drain_grace", aRow.drainGrace, kNone, kHour);
    aMap.Time("drain_limit", aRow.drainLimit, kMillisecond, kHour);
    aMap.Size("header_size", aRow.maxHeaderBytes);
    aMap.Size("body_size", aRow.maxBodyBytes);
    aMap.Time("idle_timeout", aRow.idleTimeout, kMillisecond, kHour);
  }

  static void ReadLog(MapReader& aMap, core::LogSettings& aRow)
  {
    std::string layout = "plain";
    aMap.Word("layout", layout, { "plain", "json" });
    aMap.Word("level", aRow.level, { "debug", "info", "warning", "error" });
    aRow.layout =
      layout == "json" ? core::LogLayout::Json : core::LogLayout::Plain;
  }

  /// What no single key can show.
  void CheckWhole(const Tree& aTree)
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
        ReportRow(aTree,
                  "versions",
                  settings_.versions[i].name,
                  "a version that some upstream serves");
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
        ReportRow(aTree,
                  "organisations",
                  organisation.name,
                  "an organisation that may use some class's version");
      }
    }
    if (settings_.mesh.confirmAfter <= settings_.mesh.suspectAfter) {
      faults_.push_back(Fault{ aTree.file,
                               aTree.line,
                               "mesh.confirm_after",
                               "",
                               "more than mesh.suspect_after" });
    }
  }

  void ReportRow(const Tree& aTree,
                 const std::string& aKey,
                 const std::string& aName,
                 const std::string& aExpected)
  {
    const Tree* rows = aTree.Find(aKey);
    const auto* list = rows ? std::get_if<List>(&rows->content) : nullptr;
    for (const Tree& item : list ? list->items : std::vector<Tree>{}) {
      const Tree* id = item.Find("id");
      if (id && MapReader::TextOf(*id) == aName) {
        faults_.push_back(
          Fault{ item.file, item.line, aKey, aName, aExpected });
        return;
      }
    }
  }

  std::vector<Fault>& faults_;
  Settings settings_;
};

} // namespace

LoadResult
ReadSettings(const Tree& aTree)
{
  LoadResult result;
  Settings settings = SettingsReader(result.faults).Read(aTree);
  if (result.faults.empty()) {
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
  auto base = ReadTree(aBaseFile, result.faults);
  std::optional<Tree> overlay;
  if (!aOverlayFile.empty()) {
    overlay = ReadTree(aOverlayFile, result.faults);
  }
  if (!result.faults.empty() || !base) {
    return result;
  }
  const Tree merged = overlay ? Merge(std::move(*base), *overlay) : *base;
  result = ReadSettings(merged);
  if (!result.settings || aInstance.empty()) {
    return result;
  }
  const auto self = core::FindByName<InstanceId>(
    std::span<const core::Instance>(result.settings->instances), aInstance);
  if (!self) {
    result.settings.reset();
    result.faults.push_back(
      Fault{ "--instance", 0, "instance", aInstance, "a declared instance" });
    return result;
  }
  result.settings->self = *self;
  return result;
}

} // namespace hibiscusnotch::config

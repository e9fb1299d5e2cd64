#include "hibiscusnotch/core/live_configuration.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusnotch::core {

namespace {

using Json = nlohmann::json;

struct ApplyVisitor
{
  LiveConfiguration& state;

  void operator()(const TakeZoneOut& aChange)
  {
    state.zonesOut.insert(aChange.zone);
  }
  void operator()(const BringZoneBack& aChange)
  {
    state.zonesOut.erase(aChange.zone);
  }
  void operator()(const WithdrawVersion& aChange)
  {
    state.withdrawn.insert(aChange.version);
  }
  void operator()(const RollOutVersion& aChange)
  {
    state.withdrawn.erase(aChange.version);
    state.exposure[aChange.version] = aChange.exposure;
  }
  void operator()(const MarkUpstreamLeaving& aChange)
  {
    state.upstreamsLeaving.insert(aChange.upstream);
  }
  void operator()(const MarkUpstreamServing& aChange)
  {
    state.upstreamsLeaving.erase(aChange.upstream);
  }
};

/// Looks up a name; sets aLastReason when it is not declared.
template<class IdType, class Row>
bool
Resolve(const std::vector<Row>& aRows,
        const std::string& aKey,
        const std::string& aName,
        IdType& aId,
        std::string& aLastReason)
{
  const auto found = FindByName<IdType>(std::span<const Row>(aRows), aName);
  if (!found) {
    aLastReason = aKey + ": \"" + aName + "\" is not declared";
    return false;
  }
  aId = *found;
  return true;
}

template<class IdType, class Row>
bool
ResolveSet(const std::vector<Row>& aRows,
           const std::string& aKey,
           const Json& aNames,
           std::set<IdType>& aIds,
           std::string& aLastReason)
{
  for (const Json& name : aNames) {
    IdType id;
    if (!Resolve(aRows, aKey, name.get<std::string>(), id, aLastReason)) {
      return false;
    }
    aIds.insert(id);
  }
  return true;
}

template<class IdType>
Json
Names(const Settings& aSettings, const std::set<IdType>& aIds)
{
  Json names = Json::array();
  for (const IdType id : aIds) {
    names.push_back(aSettings.At(id).name);
  }
  return names;
}

std::optional<ConfigurationChange>
ReadChange(const Settings& aSettings, const Json& aBody, std::string& aReason)
{
  const std::string kind = aBody.at("change").get<std::string>();
  if (kind == "zone_out" || kind == "zone_in") {
    ZoneId zone;
    const std::string name = aBody.at("zone").get<std::string>();
    if (!Resolve(aSettings.zones, "zone", name, zone, aReason)) {
      return std::nullopt;
    }
    return kind == "zone_out" ? ConfigurationChange(TakeZoneOut{ zone })
                              : ConfigurationChange(BringZoneBack{ zone });
  }
  if (kind == "withdraw" || kind == "rollout") {
    VersionId version;
    const std::string name = aBody.at("version").get<std::string>();
    if (!Resolve(aSettings.versions, "version", name, version, aReason)) {
      return std::nullopt;
    }
    if (kind == "withdraw") {
      return WithdrawVersion{ version };
    }
    const double exposure = aBody.at("exposure").get<double>();
    if (!(exposure >= 0 && exposure <= 1)) {
      aReason = "exposure: expected a number from 0 to 1";
      return std::nullopt;
    }
    return RollOutVersion{ version, exposure };
  }
  if (kind == "upstream_leaving" || kind == "upstream_serving") {
    UpstreamId upstream;
    const std::string name = aBody.at("upstream").get<std::string>();
    if (!Resolve(aSettings.upstreams, "upstream", name, upstream, aReason)) {
      return std::nullopt;
    }
    return kind == "upstream_leaving"
             ? ConfigurationChange(MarkUpstreamLeaving{ upstream })
             : ConfigurationChange(MarkUpstreamServing{ upstream });
  }
  aReason = "change: \"" + kind +
            "\" is unknown; expected zone_out, zone_in, withdraw, rollout, "
            "upstream_leaving or upstream_serving";
  return std::nullopt;
}

} // namespace

double
LiveConfiguration::Exposure(const Settings& aSettings, VersionId aVersion) const
{
  const auto found = exposure.find(aVersion);
  return found == exposure.end() ? aSettings.At(aVersion).initialExposure
                                 : found->second;
}

LiveConfiguration
Apply(LiveConfiguration aState, const ConfigurationChange& aChange)
{
  std::visit(ApplyVisitor{ aState }, aChange);
  return aState;
}

std::string
EncodeConfiguration(const Settings& aSettings, const LiveConfiguration& aState)
{
  Json exposure = Json::object();
  for (const auto& [version, share] : aState.exposure) {
    exposure[aSettings.At(version).name] = share;
  }
  const Json body{
    { "recent_writes", aState.recentWrites },
    { "changed_by", aState.changedBy },
    { "zones_out", Names(aSettings, aState.zonesOut) },
    { "upstreams_leaving", Names(aSettings, aState.upstreamsLeaving) },
    { "withdrawn", Names(aSettings, aState.withdrawn) },
    { "exposure", exposure },
  };
  return body.dump();
}

std::optional<LiveConfiguration>
DecodeConfiguration(const Settings& aSettings,
                    std::string_view aBody,
                    uint64_t aRevision,
                    std::string& aLastReason)
{
  try {
    const Json body = Json::parse(aBody);
    LiveConfiguration state;
    state.revision = aRevision;
    state.recentWrites =
      body.at("recent_writes").get<std::vector<std::string>>();
    state.changedBy = body.at("changed_by").get<std::string>();
    const bool resolved = ResolveSet(aSettings.zones,
                                     "zones_out",
                                     body.at("zones_out"),
                                     state.zonesOut,
                                     aLastReason) &&
                          ResolveSet(aSettings.upstreams,
                                     "upstreams_leaving",
                                     body.at("upstreams_leaving"),
                                     state.upstreamsLeaving,
                                     aLastReason) &&
                          ResolveSet(aSettings.versions,
                                     "withdrawn",
                                     body.at("withdrawn"),
                                     state.withdrawn,
                                     aLastReason);
    if (!resolved) {
      return std::nullopt;
    }
    for (const auto& [name, share] : body.at("exposure").items()) {
      VersionId version;
      if (!Resolve(
            aSettings.versions, "exposure", name, version, aLastReason)) {
        return std::nullopt;
      }
      state.exposure[version] = share.get<double>();
    }
    return state;
  } catch (const Json::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

std::optional<ConfigurationChange>
DecodeChange(const Settings& aSettings,
             std::string_view aBody,
             std::string& aLastReason)
{
  try {
    return ReadChange(aSettings, Json::parse(aBody), aLastReason);
  } catch (const Json::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

} // namespace hibiscusnotch::core

#include "hibiscusnotch/store/mirror.hpp"

#include <charconv>
#include <set>

namespace hibiscusnotch::store {

namespace {

using nlohmann::json;

// A peer that lags further behind lists again.
constexpr std::size_t kMaxLogEntries = 512;
constexpr std::string_view kPathPrefix = "/mirror/";
constexpr std::string_view kSinceParameter = "?since=";
constexpr std::string_view kWaitParameter = "&wait_ms=";

json
EncodeObject(const Object& aObject)
{
  return json::array({ aObject.name,
                       aObject.revision,
                       aObject.creationRevision,
                       aObject.spec,
                       aObject.status });
}

Object
DecodeObject(const json& aArray)
{
  Object object;
  object.name = aArray.at(0).get<std::string>();
  object.revision = aArray.at(1).get<uint64_t>();
  object.creationRevision = aArray.at(2).get<uint64_t>();
  object.spec = aArray.at(3);
  object.status = aArray.at(4);
  return object;
}

std::string
ToCbor(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

template<class Number>
bool
ParseNumber(std::string_view aText, Number& aNumber)
{
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return parsed.ec == std::errc{} &&
         parsed.ptr == aText.data() + aText.size() && !aText.empty();
}

} // namespace

void
Mirror::AppendToLog(const Change& aChange, uint64_t aAsOf)
{
  changeLog_.push_back({ aAsOf, aChange });
  while (changeLog_.size() > kMaxLogEntries) {
    compactedRevision_ = changeLog_.front().asOf;
    changeLog_.pop_front();
  }
}

void
Mirror::ApplyList(const std::vector<Object>& aObjects, uint64_t aAsOf)
{
  if (!hasSnapshot_) {
    compactedRevision_ = aAsOf;
  }
  std::set<std::string> names;
  for (const Object& object : aObjects) {
    names.insert(object.name);
    const auto found = objects_.find(object.name);
    if (found == objects_.end() || found->second.revision != object.revision) {
      objects_[object.name] = object;
      AppendToLog({ object, false }, aAsOf);
    }
  }
  for (auto found = objects_.begin(); found != objects_.end();) {
    if (names.contains(found->first)) {
      ++found;
      continue;
    }
    AppendToLog({ found->second, true }, aAsOf);
    found = objects_.erase(found);
  }
  hasSnapshot_ = true;
  asOf_ = std::max(asOf_, aAsOf);
}

void
Mirror::Apply(const Change& aChange, uint64_t aAsOf)
{
  if (aChange.removed) {
    objects_.erase(aChange.object.name);
  } else {
    objects_[aChange.object.name] = aChange.object;
  }
  AppendToLog(aChange, aAsOf);
  asOf_ = std::max(asOf_, aAsOf);
}

ListPage
Mirror::List() const
{
  ListPage page;
  for (const auto& [name, object] : objects_) {
    page.items.push_back(object);
  }
  page.asOf = asOf_;
  return page;
}

std::optional<ChangeBatch>
Mirror::ChangesSince(uint64_t aRevision) const
{
  if (!hasSnapshot_ || aRevision < compactedRevision_) {
    return std::nullopt;
  }
  ChangeBatch batch;
  batch.asOf = std::max(asOf_, aRevision);
  for (const LogEntry& entry : changeLog_) {
    if (entry.asOf > aRevision) {
      batch.changes.push_back(entry.change);
    }
  }
  return batch;
}

std::string
FormatMirrorTarget(const MirrorQuery& aQuery)
{
  std::string target = std::string(kPathPrefix) + aQuery.kind;
  if (aQuery.since) {
    target += std::string(kSinceParameter) + std::to_string(*aQuery.since) +
              std::string(kWaitParameter) +
              std::to_string(aQuery.wait.count() / 1000);
  }
  return target;
}

std::optional<MirrorQuery>
ParseMirrorTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with(kPathPrefix)) {
    return std::nullopt;
  }
  aTarget.remove_prefix(kPathPrefix.size());
  MirrorQuery query;
  const std::size_t since = aTarget.find(kSinceParameter);
  query.kind = std::string(aTarget.substr(0, since));
  if (since == std::string_view::npos) {
    return query;
  }
  aTarget.remove_prefix(since + kSinceParameter.size());
  const std::size_t wait = aTarget.find(kWaitParameter);
  uint64_t revision = 0;
  int64_t milliseconds = 0;
  if (wait == std::string_view::npos ||
      !ParseNumber(aTarget.substr(0, wait), revision) ||
      !ParseNumber(aTarget.substr(wait + kWaitParameter.size()),
                   milliseconds)) {
    return std::nullopt;
  }
  query.since = revision;
  query.wait = Duration{ milliseconds * 1000 };
  return query;
}

std::string
EncodeMirrorPage(const ListPage& aPage)
{
  json items = json::array();
  for (const Object& object : aPage.items) {
    items.push_back(EncodeObject(object));
  }
  return ToCbor(
    json::array({ aPage.asOf, aPage.age.count(), aPage.recentOutage, items }));
}

std::string
EncodeMirrorBatch(const ChangeBatch& aBatch)
{
  json changes = json::array();
  for (const Change& change : aBatch.changes) {
    changes.push_back(
      json::array({ change.removed, EncodeObject(change.object) }));
  }
  return ToCbor(json::array(
    { aBatch.asOf, aBatch.age.count(), aBatch.recentOutage, changes }));
}

std::optional<ListPage>
DecodeMirrorPage(std::string_view aBytes)
{
  try {
    const json message = json::from_cbor(aBytes);
    ListPage page;
    page.asOf = message.at(0).get<uint64_t>();
    page.age = Duration{ message.at(1).get<int64_t>() };
    page.recentOutage = message.at(2).get<bool>();
    for (const json& array : message.at(3)) {
      page.items.push_back(DecodeObject(array));
    }
    return page;
  } catch (const json::exception&) {
    return std::nullopt; // the caller falls back to another source and logs it
  }
}

std::optional<ChangeBatch>
DecodeMirrorBatch(std::string_view aBytes)
{
  try {
    const json message = json::from_cbor(aBytes);
    ChangeBatch batch;
    batch.asOf = message.at(0).get<uint64_t>();
    batch.age = Duration{ message.at(1).get<int64_t>() };
    batch.recentOutage = message.at(2).get<bool>();
    for (const json& array : message.at(3)) {
      batch.changes.push_back(
        { DecodeObject(array.at(1)), array.at(0).get<bool>() });
    }
    return batch;
  } catch (const json::exception&) {
    return std::nullopt; // the caller falls back to another source and logs it
  }
}

} // namespace hibiscusnotch::store

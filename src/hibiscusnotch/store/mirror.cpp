#include "hibiscusnotch/store/mirror.hpp"

#include <charconv>
#include <set>

namespace hibiscusnotch::store {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxLog = 512; // changes; a peer that lags more lists
constexpr std::string_view kPath = "/mirror/";
constexpr std::string_view kSince = "?since=";
constexpr std::string_view kWait = "&wait_ms=";

json
Write(const Object& aObject)
{
  return json::array({ aObject.name,
                       aObject.revision,
                       aObject.creationRevision,
                       aObject.spec,
                       aObject.status });
}

Object
Read(const json& aRow)
{
  Object object;
  object.name = aRow.at(0).get<std::string>();
  object.revision = aRow.at(1).get<uint64_t>();
  object.creationRevision = aRow.at(2).get<uint64_t>();
  object.spec = aRow.at(3);
  object.status = aRow.at(4);
  return object;
}

std::string
Encode(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

template<class Number>
bool
ReadNumber(std::string_view aText, Number& aNumber)
{
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return parsed.ec == std::errc{} &&
         parsed.ptr == aText.data() + aText.size() && !aText.empty();
}

} // namespace

void
Mirror::Log(const Change& aChange, uint64_t aAsOf)
{
  log_.push_back({ aAsOf, aChange });
  while (log_.size() > kMaxLog) {
    forgottenTo_ = log_.front().asOf;
    log_.pop_front();
  }
}

void
Mirror::ApplyList(const std::vector<Object>& aObjects, uint64_t aAsOf)
{
  if (!known_) {
    forgottenTo_ = aAsOf;
  }
  std::set<std::string> names;
  for (const Object& object : aObjects) {
    names.insert(object.name);
    const auto held = objects_.find(object.name);
    if (held == objects_.end() || held->second.revision != object.revision) {
      objects_[object.name] = object;
      Log({ object, false }, aAsOf);
    }
  }
  for (auto held = objects_.begin(); held != objects_.end();) {
    if (names.contains(held->first)) {
      ++held;
      continue;
    }
    Log({ held->second, true }, aAsOf);
    held = objects_.erase(held);
  }
  known_ = true;
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
  Log(aChange, aAsOf);
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
  if (!known_ || aRevision < forgottenTo_) {
    return std::nullopt;
  }
  ChangeBatch batch;
  batch.asOf = std::max(asOf_, aRevision);
  for (const Logged& logged : log_) {
    if (logged.asOf > aRevision) {
      batch.changes.push_back(logged.change);
    }
  }
  return batch;
}

std::string
WriteMirrorTarget(const MirrorQuery& aQuery)
{
  std::string target = std::string(kPath) + aQuery.kind;
  if (aQuery.since) {
    target += std::string(kSince) + std::to_string(*aQuery.since) +
              std::string(kWait) + std::to_string(aQuery.wait.count() / 1000);
  }
  return target;
}

std::optional<MirrorQuery>
ReadMirrorTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with(kPath)) {
    return std::nullopt;
  }
  aTarget.remove_prefix(kPath.size());
  MirrorQuery query;
  const std::size_t since = aTarget.find(kSince);
  query.kind = std::string(aTarget.substr(0, since));
  if (since == std::string_view::npos) {
    return query;
  }
  aTarget.remove_prefix(since + kSince.size());
  const std::size_t wait = aTarget.find(kWait);
  uint64_t revision = 0;
  int64_t milliseconds = 0;
  if (wait == std::string_view::npos ||
      !ReadNumber(aTarget.substr(0, wait), revision) ||
      !ReadNumber(aTarget.substr(wait + kWait.size()), milliseconds)) {
    return std::nullopt;
  }
  query.since = revision;
  query.wait = Duration{ milliseconds * 1000 };
  return query;
}

std::string
WriteMirrorPage(const ListPage& aPage)
{
  json items = json::array();
  for (const Object& object : aPage.items) {
    items.push_back(Write(object));
  }
  return Encode(
    json::array({ aPage.asOf, aPage.age.count(), aPage.recentOutage, items }));
}

std::string
WriteMirrorBatch(const ChangeBatch& aBatch)
{
  json rows = json::array();
  for (const Change& change : aBatch.changes) {
    rows.push_back(json::array({ change.removed, Write(change.object) }));
  }
  return Encode(json::array(
    { aBatch.asOf, aBatch.age.count(), aBatch.recentOutage, rows }));
}

std::optional<ListPage>
ReadMirrorPage(std::string_view aBytes)
{
  try {
    const json message = json::from_cbor(aBytes);
    ListPage page;
    page.asOf = message.at(0).get<uint64_t>();
    page.age = Duration{ message.at(1).get<int64_t>() };
    page.recentOutage = message.at(2).get<bool>();
    for (const json& row : message.at(3)) {
      page.items.push_back(Read(row));
    }
    return page;
  } catch (const json::exception&) {
    return std::nullopt; // the reader turns to another source and logs that
  }
}

std::optional<ChangeBatch>
ReadMirrorBatch(std::string_view aBytes)
{
  try {
    const json message = json::from_cbor(aBytes);
    ChangeBatch batch;
    batch.asOf = message.at(0).get<uint64_t>();
    batch.age = Duration{ message.at(1).get<int64_t>() };
    batch.recentOutage = message.at(2).get<bool>();
    for (const json& row : message.at(3)) {
      batch.changes.push_back({ Read(row.at(1)), row.at(0).get<bool>() });
    }
    return batch;
  } catch (const json::exception&) {
    return std::nullopt; // the reader turns to another source and logs that
  }
}

} // namespace hibiscusnotch::store

#include "hibiscusnotch/store/mirror.hpp"

#include <charconv>
#include <set>
#include <vector>

namespace hibiscusnotch::store {

namespace {

using nlohmann::json;

// A peer that lags further behind lists again.
constexpr std::size_t kMaxLogEntries = 512;
constexpr std::size_t kMaxLogBytes = 4UL * 1024 * 1024;
// Readers of one mirror are rarely at more different versions at once.
constexpr std::size_t kMaxEncodedBatches = 16;
// A response's fields are era, revision, age, whether there was an outage, the
// items or changes, and the restore time left. Instances of former builds end
// with the items.
constexpr std::size_t kRestoreTimeField = 5;
constexpr Duration kFormerRestoreTime{ 2'500'000 };
// An object's fields are name, revision, creation revision, spec, status, why
// it is unreadable, and its size. Those of former builds end with the status.
constexpr std::size_t kUnreadableField = 5;
constexpr std::size_t kEncodedSizeField = 6;
// The store client does not decode values of more levels; a response has three
// around them.
constexpr std::size_t kMaxResponseDepth = 72;
constexpr std::string_view kPathPrefix = "/mirror/";
constexpr std::string_view kSinceParameter = "?since=";
constexpr std::string_view kEraParameter = "&era=";
constexpr std::string_view kWaitParameter = "&wait_ms=";

json
EncodeObject(const Object& aObject)
{
  return json::array({ aObject.name,
                       aObject.revision,
                       aObject.creationRevision,
                       aObject.spec,
                       aObject.status,
                       aObject.unreadable,
                       aObject.encodedSize });
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
  if (aArray.size() > kEncodedSizeField) {
    object.unreadable = aArray.at(kUnreadableField).get<std::string>();
    object.encodedSize = aArray.at(kEncodedSizeField).get<std::size_t>();
  }
  return object;
}

std::string
ToCbor(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

/// Checks CBOR (RFC 8949) without recursion, which json::from_cbor uses for
/// nested values: true for one value of limited depth, as json::to_cbor writes
/// it, with all lengths stated and no tags.
bool
IsShallowCbor(std::string_view aBytes)
{
  constexpr int kMajorTypeShift = 5;
  constexpr unsigned kArgumentMask = 0x1F;
  constexpr unsigned kFirstLongArgument = 24; // in 1, 2, 4 or 8 more bytes
  constexpr unsigned kLastLongArgument = 27;
  enum MajorType : unsigned
  {
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
  };
  std::vector<uint64_t> missing{ 1 }; // values, by the level they belong to
  std::size_t at = 0;
  while (!missing.empty()) {
    if (missing.back() == 0) {
      missing.pop_back();
      continue;
    }
    --missing.back();
    if (at >= aBytes.size()) {
      return false;
    }
    const auto initial = static_cast<unsigned char>(aBytes[at++]);
    const unsigned type = initial >> kMajorTypeShift;
    uint64_t argument = initial & kArgumentMask;
    if (type == Tag || argument > kLastLongArgument) {
      return false;
    }
    if (argument >= kFirstLongArgument) {
      const std::size_t length = std::size_t{ 1 }
                                 << (argument - kFirstLongArgument);
      if (aBytes.size() - at < length) {
        return false;
      }
      argument = 0;
      for (std::size_t index = 0; index < length; ++index) {
        argument = argument << 8 | static_cast<unsigned char>(aBytes[at++]);
      }
    }
    const std::size_t left = aBytes.size() - at;
    if (type == Bytes || type == Text) {
      if (argument > left) {
        return false;
      }
      at += static_cast<std::size_t>(argument);
    } else if (type == Array || type == Map) {
      // Each value takes a byte or more.
      if (argument > left || missing.size() > kMaxResponseDepth) {
        return false;
      }
      missing.push_back(type == Map ? argument * 2 : argument);
    }
  }
  return at == aBytes.size();
}

/// Decodes a response.
/// @throws json::exception if it is malformed or nested too deeply.
json
FromCbor(std::string_view aBytes)
{
  if (!IsShallowCbor(aBytes)) {
    return nullptr; // fails the checks of type that follow
  }
  return json::from_cbor(aBytes);
}

json
EncodeChange(const Change& aChange)
{
  return json::array({ aChange.removed, EncodeObject(aChange.object) });
}

std::string
EncodeItems(const std::vector<Object>& aItems)
{
  json items = json::array();
  for (const Object& object : aItems) {
    items.push_back(EncodeObject(object));
  }
  return ToCbor(items);
}

std::string
EncodeChanges(const std::vector<Change>& aChanges)
{
  json changes = json::array();
  for (const Change& change : aChanges) {
    changes.push_back(EncodeChange(change));
  }
  return ToCbor(changes);
}

MirrorResponseHead
DecodeHead(const json& aMessage)
{
  MirrorResponseHead head;
  head.asOf.era = aMessage.at(0).get<uint64_t>();
  head.asOf.revision = aMessage.at(1).get<uint64_t>();
  head.age = Duration{ aMessage.at(2).get<int64_t>() };
  if (aMessage.at(3).get<bool>()) {
    head.restoreTimeLeft =
      aMessage.size() > kRestoreTimeField
        ? Duration{ aMessage.at(kRestoreTimeField).get<int64_t>() }
        : kFormerRestoreTime;
  }
  return head;
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
Mirror::AppendToLog(const Change& aChange, uint64_t aRevision)
{
  changeLog_.push_back({ aRevision, aChange });
  logBytes_ += aChange.object.encodedSize;
  while (changeLog_.size() > kMaxLogEntries || logBytes_ > kMaxLogBytes) {
    compactedRevision_ = changeLog_.front().revision;
    logBytes_ -= changeLog_.front().change.object.encodedSize;
    changeLog_.pop_front();
  }
}

void
Mirror::DropEncodings()
{
  encodedItems_.clear();
  encodedChanges_.clear();
}

void
Mirror::ApplyList(const std::vector<Object>& aObjects, StoreVersion aAsOf)
{
  DropEncodings();
  if (aAsOf.era != asOf_.era) {
    // Revisions of the former era may name other changes now.
    objects_.clear();
    changeLog_.clear();
    logBytes_ = 0;
    hasSnapshot_ = false;
    asOf_ = aAsOf;
  }
  if (!hasSnapshot_) {
    compactedRevision_ = aAsOf.revision;
  }
  std::set<std::string> names;
  for (const Object& object : aObjects) {
    names.insert(object.name);
    const auto found = objects_.find(object.name);
    if (found == objects_.end() || found->second.revision != object.revision) {
      objects_[object.name] = object;
      AppendToLog({ object, false }, aAsOf.revision);
    }
  }
  for (auto found = objects_.begin(); found != objects_.end();) {
    if (names.contains(found->first)) {
      ++found;
      continue;
    }
    AppendToLog({ found->second, true }, aAsOf.revision);
    found = objects_.erase(found);
  }
  hasSnapshot_ = true;
  asOf_ = std::max(asOf_, aAsOf);
}

void
Mirror::Apply(const Change& aChange, StoreVersion aAsOf)
{
  DropEncodings();
  if (aChange.removed) {
    objects_.erase(aChange.object.name);
  } else {
    objects_[aChange.object.name] = aChange.object;
  }
  AppendToLog(aChange, aAsOf.revision);
  asOf_ = std::max(asOf_, aAsOf);
}

bool
Mirror::HasHistorySince(StoreVersion aVersion) const
{
  return hasSnapshot_ && aVersion.era == asOf_.era &&
         aVersion.revision >= compactedRevision_;
}

bool
Mirror::IsNewerThan(StoreVersion aVersion) const
{
  return asOf_ > aVersion;
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
Mirror::ChangesSince(StoreVersion aVersion) const
{
  if (!HasHistorySince(aVersion)) {
    return std::nullopt;
  }
  ChangeBatch batch;
  batch.asOf = std::max(asOf_, aVersion);
  for (const LogEntry& entry : changeLog_) {
    if (entry.revision > aVersion.revision) {
      batch.changes.push_back(entry.change);
    }
  }
  return batch;
}

const std::string&
Mirror::EncodedItems()
{
  if (encodedItems_.empty()) {
    encodedItems_ = EncodeItems(List().items);
  }
  return encodedItems_;
}

const std::string*
Mirror::EncodedChangesSince(StoreVersion aVersion)
{
  if (!HasHistorySince(aVersion)) {
    return nullptr;
  }
  if (encodedChanges_.size() >= kMaxEncodedBatches) {
    encodedChanges_.clear();
  }
  std::string& encoded = encodedChanges_[aVersion.revision];
  if (encoded.empty()) {
    encoded = EncodeChanges(ChangesSince(aVersion)->changes);
  }
  return &encoded;
}

std::string
FormatMirrorTarget(const MirrorQuery& aQuery)
{
  std::string target = std::string(kPathPrefix) + aQuery.kind;
  if (aQuery.since) {
    target +=
      std::string(kSinceParameter) + std::to_string(aQuery.since->revision) +
      std::string(kEraParameter) + std::to_string(aQuery.since->era) +
      std::string(kWaitParameter) + std::to_string(aQuery.wait.count() / 1000);
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
  const std::size_t era = aTarget.find(kEraParameter);
  const std::size_t wait = aTarget.find(kWaitParameter);
  StoreVersion version;
  int64_t milliseconds = 0;
  if (era == std::string_view::npos || wait == std::string_view::npos ||
      wait < era || !ParseNumber(aTarget.substr(0, era), version.revision) ||
      !ParseNumber(aTarget.substr(era + kEraParameter.size(),
                                  wait - era - kEraParameter.size()),
                   version.era) ||
      !ParseNumber(aTarget.substr(wait + kWaitParameter.size()),
                   milliseconds)) {
    return std::nullopt;
  }
  query.since = version;
  query.wait = Duration{ milliseconds * 1000 };
  return query;
}

std::string
EncodeMirrorResponse(const MirrorResponseHead& aHead, std::string_view aEncoded)
{
  constexpr char kArrayOfSix = '\x86'; // RFC 8949, section 3.1
  std::string bytes(1, kArrayOfSix);
  bytes += ToCbor(aHead.asOf.era);
  bytes += ToCbor(aHead.asOf.revision);
  bytes += ToCbor(aHead.age.count());
  bytes += ToCbor(aHead.restoreTimeLeft > Duration::zero());
  bytes += aEncoded;
  bytes += ToCbor(aHead.restoreTimeLeft.count());
  return bytes;
}

std::string
EncodeMirrorPage(const ListPage& aPage)
{
  return EncodeMirrorResponse({ aPage.asOf, aPage.age, aPage.restoreTimeLeft },
                              EncodeItems(aPage.items));
}

std::string
EncodeMirrorBatch(const ChangeBatch& aBatch)
{
  return EncodeMirrorResponse(
    { aBatch.asOf, aBatch.age, aBatch.restoreTimeLeft },
    EncodeChanges(aBatch.changes));
}

std::optional<ListPage>
DecodeMirrorPage(std::string_view aBytes)
{
  try {
    const json message = FromCbor(aBytes);
    const MirrorResponseHead head = DecodeHead(message);
    ListPage page;
    page.asOf = head.asOf;
    page.age = head.age;
    page.fromMirror = true;
    page.restoreTimeLeft = head.restoreTimeLeft;
    for (const json& array : message.at(4)) {
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
    const json message = FromCbor(aBytes);
    const MirrorResponseHead head = DecodeHead(message);
    ChangeBatch batch;
    batch.asOf = head.asOf;
    batch.age = head.age;
    batch.fromMirror = true;
    batch.restoreTimeLeft = head.restoreTimeLeft;
    for (const json& array : message.at(4)) {
      batch.changes.push_back(
        { DecodeObject(array.at(1)), array.at(0).get<bool>() });
    }
    return batch;
  } catch (const json::exception&) {
    return std::nullopt; // the caller falls back to another source and logs it
  }
}

} // namespace hibiscusnotch::store

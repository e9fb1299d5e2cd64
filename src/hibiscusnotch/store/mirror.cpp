#include "hibiscusnotch/store/mirror.hpp"

#include "hibiscusnotch/store/cbor_writer.hpp"

#include <charconv>
#include <set>
#include <span>
#include <stdexcept>
#include <vector>

namespace hibiscusnotch::store {

namespace {

// A peer that lags further behind lists again.
constexpr std::size_t kMaxLogEntries = 512;
constexpr std::size_t kMaxLogBytes = 4UL * 1024 * 1024;
// Readers of one mirror are rarely at more different versions at once.
constexpr std::size_t kMaxEncodedBatches = 16;
constexpr std::size_t kMaxEncodedBytes = 4UL * 1024 * 1024;
// A response's fields are era, revision, age, whether there was an outage, the
// items or changes, and the restore time left. Instances of former builds end
// with the items.
constexpr std::size_t kItemsField = 4;
constexpr std::size_t kRestoreTimeField = 5;
constexpr std::size_t kFormerResponseFields = 5;
constexpr std::size_t kResponseFields = 6;
constexpr Duration kFormerRestoreTime{ 2'500'000 };
// An object's fields are name, revision, creation revision, spec, status, why
// it is unreadable, and its size, which only instances of former builds read.
// Those of still earlier builds end with the status.
constexpr std::size_t kUnreadableField = 5;
constexpr std::size_t kFormerObjectFields = 5;
constexpr std::size_t kObjectFields = 7;
constexpr std::size_t kChangeFields = 2;
constexpr std::string_view kPathPrefix = "/mirror/";
constexpr std::string_view kSinceParameter = "?since=";
constexpr std::string_view kEraParameter = "&era=";
constexpr std::string_view kWaitParameter = "&wait_ms=";

void
EncodeObject(CborWriter& aWriter, const Object& aObject)
{
  aWriter.Array(kObjectFields);
  aWriter.Text(aObject.name);
  aWriter.Unsigned(aObject.revision);
  aWriter.Unsigned(aObject.creationRevision);
  aWriter.Encoded(aObject.spec.Encoded());
  aWriter.Encoded(aObject.status.Encoded());
  aWriter.Text(aObject.unreadable);
  aWriter.Unsigned(aObject.HeldBytes());
}

std::string
EncodeItems(std::span<const Object* const> aItems)
{
  CborWriter writer;
  writer.Array(aItems.size());
  for (const Object* object : aItems) {
    EncodeObject(writer, *object);
  }
  return writer.Take();
}

std::string
EncodeChanges(std::span<const Change> aChanges)
{
  CborWriter writer;
  writer.Array(aChanges.size());
  for (const Change& change : aChanges) {
    writer.Array(kChangeFields);
    writer.Boolean(change.removed);
    EncodeObject(writer, change.object);
  }
  return writer.Take();
}

/// The elements of an array.
/// @throws std::invalid_argument if it has less elements or is no array.
std::vector<ValueView>
RequireElements(const ValueView& aArray, std::size_t aLeast, std::size_t aMost)
{
  std::vector<ValueView> elements;
  aArray.ForEach([&](const ValueView& aElement) {
    if (elements.size() < aMost) {
      elements.push_back(aElement);
    }
  });
  if (elements.size() < aLeast) {
    throw std::invalid_argument("too few fields");
  }
  return elements;
}

std::string
RequireText(const ValueView& aValue)
{
  const auto text = aValue.Text();
  if (!text) {
    throw std::invalid_argument("expected a text");
  }
  return std::string(*text);
}

EncodedValue
CopyValue(const ValueView& aValue)
{
  return aValue.IsNull() ? EncodedValue()
                         : EncodedValue(std::string(aValue.Encoded()));
}

Object
DecodeObject(const ValueView& aArray,
             const std::function<void(Object&)>& aReduce)
{
  const auto fields =
    RequireElements(aArray, kFormerObjectFields, kObjectFields);
  Object object;
  object.name = RequireText(fields[0]);
  object.revision = fields[1].Scalar().get<uint64_t>();
  object.creationRevision = fields[2].Scalar().get<uint64_t>();
  object.spec = CopyValue(fields[3]);
  object.status = CopyValue(fields[4]);
  if (fields.size() == kObjectFields) {
    object.unreadable = RequireText(fields[kUnreadableField]);
  }
  if (aReduce) {
    aReduce(object);
  }
  return object;
}

/// The fields of a response.
/// @throws std::invalid_argument if it is malformed or nested too deeply.
std::vector<ValueView>
SplitResponse(std::string_view aBytes)
{
  if (!IsWellFormedCbor(aBytes)) {
    throw std::invalid_argument("malformed response");
  }
  return RequireElements(
    ValueView(aBytes), kFormerResponseFields, kResponseFields);
}

MirrorResponseHead
DecodeHead(std::span<const ValueView> aFields)
{
  MirrorResponseHead head;
  head.asOf.era = aFields[0].Scalar().get<uint64_t>();
  head.asOf.revision = aFields[1].Scalar().get<uint64_t>();
  head.age = Duration{ aFields[2].Scalar().get<int64_t>() };
  if (aFields[3].Scalar().get<bool>()) {
    head.restoreTimeLeft =
      aFields.size() > kRestoreTimeField
        ? Duration{ aFields[kRestoreTimeField].Scalar().get<int64_t>() }
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
  logBytes_ += aChange.object.HeldBytes();
  while (changeLog_.size() > kMaxLogEntries || logBytes_ > kMaxLogBytes) {
    compactedRevision_ = changeLog_.front().revision;
    logBytes_ -= changeLog_.front().change.object.HeldBytes();
    changeLog_.pop_front();
  }
}

void
Mirror::DropEncodings()
{
  encodedItems_ = {};
  encodedChanges_.clear();
  encodedChangesBytes_ = 0;
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
    std::vector<const Object*> items;
    items.reserve(objects_.size());
    for (const auto& [name, object] : objects_) {
      items.push_back(&object);
    }
    encodedItems_ = EncodeItems(items);
  }
  return encodedItems_;
}

const std::string*
Mirror::EncodedChangesSince(StoreVersion aVersion)
{
  if (!HasHistorySince(aVersion)) {
    return nullptr;
  }
  if (encodedChanges_.size() >= kMaxEncodedBatches ||
      encodedChangesBytes_ > kMaxEncodedBytes) {
    encodedChanges_.clear();
    encodedChangesBytes_ = 0;
  }
  std::string& encoded = encodedChanges_[aVersion.revision];
  if (encoded.empty()) {
    encoded = EncodeChanges(ChangesSince(aVersion)->changes);
    encodedChangesBytes_ += encoded.size();
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
  constexpr std::size_t kMaxHeadBytes = 64;
  CborWriter writer;
  writer.Reserve(aEncoded.size() + kMaxHeadBytes);
  writer.Array(kResponseFields);
  writer.Unsigned(aHead.asOf.era);
  writer.Unsigned(aHead.asOf.revision);
  writer.Signed(aHead.age.count());
  writer.Boolean(aHead.restoreTimeLeft > Duration::zero());
  writer.Encoded(aEncoded);
  writer.Signed(aHead.restoreTimeLeft.count());
  return writer.Take();
}

std::string
EncodeMirrorPage(const ListPage& aPage)
{
  std::vector<const Object*> items;
  for (const Object& object : aPage.items) {
    items.push_back(&object);
  }
  return EncodeMirrorResponse({ aPage.asOf, aPage.age, aPage.restoreTimeLeft },
                              EncodeItems(items));
}

std::string
EncodeMirrorBatch(const ChangeBatch& aBatch)
{
  return EncodeMirrorResponse(
    { aBatch.asOf, aBatch.age, aBatch.restoreTimeLeft },
    EncodeChanges(aBatch.changes));
}

std::optional<ListPage>
DecodeMirrorPage(std::string_view aBytes,
                 const std::function<void(Object&)>& aReduce)
{
  try {
    const auto fields = SplitResponse(aBytes);
    const MirrorResponseHead head = DecodeHead(fields);
    ListPage page;
    page.asOf = head.asOf;
    page.age = head.age;
    page.fromMirror = true;
    page.restoreTimeLeft = head.restoreTimeLeft;
    fields[kItemsField].ForEach([&](const ValueView& aItem) {
      page.items.push_back(DecodeObject(aItem, aReduce));
    });
    return page;
  } catch (const std::exception&) {
    return std::nullopt; // the caller falls back to another source and logs it
  }
}

std::optional<ChangeBatch>
DecodeMirrorBatch(std::string_view aBytes,
                  const std::function<void(Object&)>& aReduce)
{
  try {
    const auto fields = SplitResponse(aBytes);
    const MirrorResponseHead head = DecodeHead(fields);
    ChangeBatch batch;
    batch.asOf = head.asOf;
    batch.age = head.age;
    batch.fromMirror = true;
    batch.restoreTimeLeft = head.restoreTimeLeft;
    fields[kItemsField].ForEach([&](const ValueView& aItem) {
      const auto change = RequireElements(aItem, kChangeFields, kChangeFields);
      batch.changes.push_back(
        { DecodeObject(change[1], aReduce), change[0].Scalar().get<bool>() });
    });
    return batch;
  } catch (const std::exception&) {
    return std::nullopt; // the caller falls back to another source and logs it
  }
}

} // namespace hibiscusnotch::store

/// @file
/// @brief A replica of the store's objects that peers of a zone read from.
#pragma once

#include "hibiscusnotch/store/object_store.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::store {

/// @brief Replica of one kind's objects with a log of its latest changes.
class Mirror
{
public:
  /// @brief Replaces the objects and logs the differences as changes. A list of
  /// a new era starts the log anew.
  void ApplyList(const std::vector<Object>& aObjects, StoreVersion aAsOf);
  void Apply(const Change& aChange, StoreVersion aAsOf);

  bool HasSnapshot() const { return hasSnapshot_; }
  StoreVersion AsOf() const { return asOf_; }
  /// @brief True if there are changes after the version, or if a reader at that
  /// version has to list again.
  bool IsNewerThan(StoreVersion aVersion) const;
  ListPage List() const;
  /// @brief Changes after a version; nothing if the log does not have them all.
  std::optional<ChangeBatch> ChangesSince(StoreVersion aVersion) const;

  /// @brief The encoded items of a page. Encoded once for all readers.
  const std::string& EncodedItems();
  /// @brief The encoded changes of a batch; null if the log does not have them
  /// all. Encoded once for all readers at the same version.
  const std::string* EncodedChangesSince(StoreVersion aVersion);

private:
  struct LogEntry
  {
    uint64_t revision = 0;
    Change change;
  };

  void AppendToLog(const Change& aChange, uint64_t aRevision);
  bool HasHistorySince(StoreVersion aVersion) const;
  void DropEncodings();

  std::map<std::string, Object> objects_;
  std::deque<LogEntry> changeLog_;
  std::size_t logBytes_ = 0;       ///< Held by the changes in the log.
  uint64_t compactedRevision_ = 0; ///< Changes up to it left the log.
  StoreVersion asOf_;
  bool hasSnapshot_ = false;
  std::string encodedItems_; ///< Empty if not encoded yet.
  std::map<uint64_t, std::string>
    encodedChanges_;                    ///< By the reader's revision.
  std::size_t encodedChangesBytes_ = 0; ///< Of all batches.
};

/// @brief A peer's request to a mirror: a list, or a watch since a revision.
struct MirrorQuery
{
  std::string kind;
  std::optional<StoreVersion> since; ///< Empty to list.
  Duration wait{ 0 };
};

/// @brief The HTTP request target of a query between instances.
std::string
FormatMirrorTarget(const MirrorQuery& aQuery);
std::optional<MirrorQuery>
ParseMirrorTarget(std::string_view aTarget);

/// @brief What a response of a mirror says beside the items or changes.
struct MirrorResponseHead
{
  StoreVersion asOf;
  Duration age{ 0 };             ///< As in ListPage and ChangeBatch.
  Duration restoreTimeLeft{ 0 }; ///< As in ListPage.
};

/// @param aEncoded The encoded items or changes.
std::string
EncodeMirrorResponse(const MirrorResponseHead& aHead,
                     std::string_view aEncoded);
std::string
EncodeMirrorPage(const ListPage& aPage);
std::string
EncodeMirrorBatch(const ChangeBatch& aBatch);
/// @brief Returns nothing if the bytes are malformed.
/// @param aReduce Called with each object as soon as it is decoded; may be
/// empty.
std::optional<ListPage>
DecodeMirrorPage(std::string_view aBytes,
                 const std::function<void(Object&)>& aReduce = {});
std::optional<ChangeBatch>
DecodeMirrorBatch(std::string_view aBytes,
                  const std::function<void(Object&)>& aReduce = {});

} // namespace hibiscusnotch::store

/// @file
/// @brief A replica of the store's objects that peers of a zone read from.
#pragma once

#include "hibiscusnotch/store/object_store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::store {

/// @brief Replica of one kind's objects with a log of its latest changes.
class Mirror
{
public:
  /// @brief Replaces the objects and logs the differences as changes.
  void ApplyList(const std::vector<Object>& aObjects, uint64_t aAsOf);
  void Apply(const Change& aChange, uint64_t aAsOf);

  bool HasSnapshot() const { return hasSnapshot_; }
  uint64_t AsOf() const { return asOf_; }
  ListPage List() const;
  /// @brief Changes after a revision; nothing if the log no longer has them
  /// all.
  std::optional<ChangeBatch> ChangesSince(uint64_t aRevision) const;

private:
  struct LogEntry
  {
    uint64_t asOf = 0;
    Change change;
  };

  void AppendToLog(const Change& aChange, uint64_t aAsOf);

  std::map<std::string, Object> objects_;
  std::deque<LogEntry> changeLog_;
  uint64_t compactedRevision_ = 0; ///< Changes up to it left the log.
  uint64_t asOf_ = 0;
  bool hasSnapshot_ = false;
};

/// @brief A peer's request to a mirror: a list, or a watch since a revision.
struct MirrorQuery
{
  std::string kind;
  std::optional<uint64_t> since; ///< Empty to list.
  Duration wait{ 0 };
};

/// @brief The HTTP request target of a query between instances.
std::string
FormatMirrorTarget(const MirrorQuery& aQuery);
std::optional<MirrorQuery>
ParseMirrorTarget(std::string_view aTarget);

std::string
EncodeMirrorPage(const ListPage& aPage);
std::string
EncodeMirrorBatch(const ChangeBatch& aBatch);
/// @brief Returns nothing if the bytes are malformed.
std::optional<ListPage>
DecodeMirrorPage(std::string_view aBytes);
std::optional<ChangeBatch>
DecodeMirrorBatch(std::string_view aBytes);

} // namespace hibiscusnotch::store

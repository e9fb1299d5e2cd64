/// @file
/// @brief A copy of the store's objects from which peers of a zone read.
#pragma once

#include "hibiscusnotch/store/object_store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusnotch::store {

/// @brief One kind's objects and its latest changes, by the store's revisions.
class Mirror
{
public:
  /// @brief Replaces the objects; what differs counts as changes.
  void ApplyList(const std::vector<Object>& aObjects, uint64_t aAsOf);
  void Apply(const Change& aChange, uint64_t aAsOf);

  bool Known() const { return known_; }
  uint64_t AsOf() const { return asOf_; }
  ListPage List() const;
  /// @brief Changes after a revision; nothing when they are forgotten.
  std::optional<ChangeBatch> ChangesSince(uint64_t aRevision) const;

private:
  struct Logged
  {
    uint64_t asOf = 0;
    Change change;
  };

  void Log(const Change& aChange, uint64_t aAsOf);

  std::map<std::string, Object> objects_;
  std::deque<Logged> log_;
  uint64_t forgottenTo_ = 0; ///< Changes up to this revision are not kept.
  uint64_t asOf_ = 0;
  bool known_ = false;
};

/// @brief What a peer asks of a mirror.
struct MirrorQuery
{
  std::string kind;
  std::optional<uint64_t> since; ///< Nothing asks for the list.
  Duration wait{ 0 };
};

/// @brief The request's target on the wire between instances.
std::string
WriteMirrorTarget(const MirrorQuery& aQuery);
std::optional<MirrorQuery>
ReadMirrorTarget(std::string_view aTarget);

std::string
WriteMirrorPage(const ListPage& aPage);
std::string
WriteMirrorBatch(const ChangeBatch& aBatch);
/// @brief Nothing when the bytes cannot be read.
std::optional<ListPage>
ReadMirrorPage(std::string_view aBytes);
std::optional<ChangeBatch>
ReadMirrorBatch(std::string_view aBytes);

} // namespace hibiscusnotch::store

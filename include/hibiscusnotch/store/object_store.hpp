/// @file
/// @brief Typed client interface of the durable object store.
#pragma once

#include "hibiscusnotch/core/time.hpp"
#include "hibiscusnotch/store/encoded_value.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::store {

using core::Duration;
using core::TimePoint;

/// @brief A state of the store. Restoring the store from an older copy begins
/// a new era, in which revisions of the former one are given out again.
struct StoreVersion
{
  uint64_t era = 0; ///< Zero if the store does not say.
  uint64_t revision = 0;

  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

/// @brief A stored object; each change gives it a higher revision.
struct Object
{
  std::string name;
  uint64_t era = 0;              ///< Of the state that it was read from.
  uint64_t revision = 0;         ///< Store revision of the last change.
  uint64_t creationRevision = 0; ///< Store revision of its creation.
  EncodedValue spec;
  EncodedValue status;
  /// @brief Why spec or status cannot be used and are null; empty if they can.
  std::string unreadable;

  /// @brief Memory that the object takes. Copies share that of the values.
  std::size_t HeldBytes() const
  {
    return sizeof(*this) + name.capacity() + unreadable.capacity() +
           spec.HeldBytes() + status.HeldBytes();
  }
};

/// @brief Drops what no reader of the kind uses from a received object, so that
/// objects of other writers take little memory.
using ObjectReducer = std::function<void(const std::string& aKind, Object&)>;

struct ListPage
{
  std::vector<Object> items;
  bool more = false; ///< More items follow after the last item's name.
  StoreVersion asOf; ///< The state of the store that the items reflect.
  /// @brief Time between the source's own last confirmation of this data and
  /// its response; zero from the store itself.
  Duration age{ 0 };
  bool fromMirror = false;
  /// @brief The store was lost and regained recently: how much longer entries
  /// that expired meanwhile may return. Zero if it was not.
  Duration restoreTimeLeft{ 0 };
};

struct Change
{
  Object object;
  bool removed = false;
};

struct ChangeBatch
{
  /// @brief Empty if the watch timed out without a change.
  std::vector<Change> changes;
  StoreVersion asOf;
  /// @brief As in ListPage. From a mirror, the time between the data's
  /// confirmation and the arrival of the request: negative if the data was
  /// confirmed while the mirror held the request.
  Duration age{ 0 };
  bool fromMirror = false;
  /// @brief Read from the store since no mirror can be read.
  bool isFallback = false;
  Duration restoreTimeLeft{ 0 }; ///< As in ListPage.
};

/// @brief Why a call has no result.
enum class StoreError
{
  None,
  /// @brief The changes since the version are compacted or of a former era:
  /// list again.
  HistoryGone,
  Conflict, ///< The object exists or has another revision.
  NotFound,
  Refused,    ///< Rate limited or unavailable; the call had no effect.
  NoResponse, ///< No readable response in time; a write may have taken effect.
  MirrorFailed, ///< A peer's mirror failed; other sources may work.
  /// @brief The store was silent while the watch was open and responds again.
  WatchLost,
  /// @brief The store has changes that the open watch may have missed.
  WatchOutdated,
};

template<class Result>
using ReplyCallback = std::function<void(std::optional<Result>, StoreError)>;

/// @brief Access to the store, direct or through peers' mirrors.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual void List(const std::string& aKind,
                    const std::string& aAfter,
                    ReplyCallback<ListPage> aReply) = 0;
  virtual void Watch(const std::string& aKind,
                     StoreVersion aSince,
                     Duration aWait,
                     ReplyCallback<ChangeBatch> aReply) = 0;
  virtual void Get(const std::string& aKind,
                   const std::string& aName,
                   ReplyCallback<Object> aReply) = 0;
  virtual void Create(const std::string& aKind,
                      const Object& aObject,
                      ReplyCallback<Object> aReply) = 0;
  /// @brief Replaces the status if the object still has the given revision.
  virtual void PutStatus(const std::string& aKind,
                         const Object& aObject,
                         ReplyCallback<Object> aReply) = 0;
  virtual void Delete(const std::string& aKind,
                      const std::string& aName,
                      ReplyCallback<Object> aReply) = 0;
  /// @brief Number of calls to the store so far, for the metrics.
  virtual uint64_t CallCount() const = 0;
  /// @brief The latest era of the store that a response carried.
  virtual uint64_t Era() const = 0;
};

} // namespace hibiscusnotch::store

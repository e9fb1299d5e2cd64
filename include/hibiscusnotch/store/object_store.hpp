/// @file
/// @brief Typed calls to the store that keeps what must last.
#pragma once

#include "hibiscusnotch/core/time.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::store {

using core::Duration;
using core::TimePoint;

/// @brief One object; its revision grows with each of its changes.
struct Object
{
  std::string name;
  uint64_t revision = 0;         ///< Of the last change.
  uint64_t creationRevision = 0; ///< Revision at which it was created.
  nlohmann::json spec;
  nlohmann::json status;
};

struct ListPage
{
  std::vector<Object> items;
  bool more = false; ///< Ask again, after the last item's name.
  uint64_t asOf = 0; ///< The store's revision.
  /// @brief How long before the answer the source itself knew this to be new.
  Duration age{ 0 };
  /// @brief The source was cut off from the store a moment ago.
  bool recentOutage = false;
};

struct Change
{
  Object object;
  bool removed = false;
};

struct ChangeBatch
{
  std::vector<Change> changes; ///< Empty when the wait ended without one.
  uint64_t asOf = 0;
  Duration age{ 0 };         ///< As in ListPage.
  bool recentOutage = false; ///< As in ListPage.
};

/// @brief Why a call gave nothing.
enum class StoreError
{
  None,
  HistoryGone, ///< Changes since that revision are forgotten: list again.
  Conflict,    ///< The object has another revision.
  NotFound,
  Refused,      ///< Too many calls, or not available; nothing was done.
  NoResponse,   ///< Lost, late or unreadable; a write may take effect.
  MirrorFailed, ///< A peer that relays the store fails; others may not.
};

template<class Result>
using ReplyCallback = std::function<void(std::optional<Result>, StoreError)>;

/// @brief The one client of the store.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual void List(const std::string& aKind,
                    const std::string& aAfter,
                    ReplyCallback<ListPage> aReply) = 0;
  virtual void Watch(const std::string& aKind,
                     uint64_t aSince,
                     Duration aWait,
                     ReplyCallback<ChangeBatch> aReply) = 0;
  virtual void Get(const std::string& aKind,
                   const std::string& aName,
                   ReplyCallback<Object> aReply) = 0;
  virtual void Create(const std::string& aKind,
                      const Object& aObject,
                      ReplyCallback<Object> aReply) = 0;
  /// @brief Replaces the status if the revision is still the object's.
  virtual void PutStatus(const std::string& aKind,
                         const Object& aObject,
                         ReplyCallback<Object> aReply) = 0;
  virtual void Delete(const std::string& aKind,
                      const std::string& aName,
                      ReplyCallback<Object> aReply) = 0;
  /// @brief Calls so far, for the metrics.
  virtual uint64_t CallCount() const = 0;
};

} // namespace hibiscusnotch::store

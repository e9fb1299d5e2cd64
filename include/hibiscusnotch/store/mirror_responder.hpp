/// @file
/// @brief Answers the queries of peers from this instance's mirrors.
#pragma once

#include "hibiscusnotch/relay/clock.hpp"
#include "hibiscusnotch/store/mirror.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::store {

using MirrorQueryId = uint64_t;

/// @param aBody An encoded page or batch if the status is 200, else empty.
using MirrorResponse =
  std::function<void(MirrorQueryId, int aStatus, const std::string& aBody)>;

/// @brief Mirrors with the time up to which each one is known to match the
/// store, and the long polls that wait for them.
///
/// Statuses: 200; 404 for a malformed query or an unknown kind; 410 if the
/// reader has to list; 503 while the mirror cannot serve.
class MirrorResponder
{
public:
  MirrorResponder(relay::Timers& aTimers, MirrorResponse aRespond);

  /// @brief The mirror of one kind; created on first use.
  Mirror& MirrorOf(const std::string& aKind);
  void OnQuery(MirrorQueryId aId, std::string_view aTarget);
  /// @brief The reader has gone; it gets no response.
  void Forget(MirrorQueryId aId);

  /// @brief As in MirrorServer.
  void Publish(const std::string& aKind);
  void ConfirmUpTo(const std::string& aKind, TimePoint aTime);
  void SetConnected(bool aConnected);
  void SetRestoreEnd(TimePoint aTime);

private:
  struct ServedKind
  {
    Mirror mirror;
    TimePoint confirmedAt{};
    TimePoint publishedConfirmation{};
  };

  struct LongPoll
  {
    std::string kind;
    StoreVersion since;
    TimePoint receivedAt{};
    relay::TimerId timer = 0;
  };

  Duration AgeOf(const ServedKind& aKind) const;
  Duration RestoreTimeLeft() const;
  void Complete(MirrorQueryId aId);
  template<class Predicate>
  void CompleteWhere(const Predicate& aIsDue);

  relay::Timers& timers_;
  MirrorResponse respond_;
  std::map<std::string, ServedKind> kinds_;
  std::map<MirrorQueryId, LongPoll> longPolls_;
  bool connected_ = false;
  TimePoint restoreEnd_{};
};

} // namespace hibiscusnotch::store

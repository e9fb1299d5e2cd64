/// @file
/// @brief Bounds the memory of clients' request bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace hibiscusnotch::relay {

/// @brief One budget of body bytes for all connections of a process. A body
/// that does not fit waits, in the order of arrival, and is not read meanwhile.
class BodyBudget
{
public:
  using WaiterId = uint64_t;

  /// @param aLimit In bytes; zero for no bound.
  /// @param aOnExhausted Called when a body has to wait and none did before.
  BodyBudget(std::size_t aLimit, std::function<void()> aOnExhausted);

  /// @brief Takes the bytes if they fit and nobody waits; one body of any
  /// length fits if nothing is held.
  bool TryTake(std::size_t aBytes);
  /// @brief Takes the bytes also beyond the limit: they are there already.
  void Take(std::size_t aBytes) { held_ += aBytes; }
  /// @brief Takes the bytes as soon as they fit.
  /// @param aOnTaken Called then, from Release or CancelWait.
  WaiterId Wait(std::size_t aBytes, std::function<void()> aOnTaken);
  /// @brief Without effect if the bytes have been taken.
  void CancelWait(WaiterId aWaiter);
  void Release(std::size_t aBytes);

  std::size_t HeldBytes() const { return held_; }
  std::size_t WaitingCount() const { return waiters_.size(); }

private:
  struct Waiter
  {
    std::size_t bytes = 0;
    std::function<void()> onTaken;
  };

  bool Fits(std::size_t aBytes) const;
  void AdmitWaiters();

  std::size_t limit_;
  std::function<void()> onExhausted_;
  std::map<WaiterId, Waiter> waiters_; ///< The first one is next.
  WaiterId lastWaiter_ = 0;
  std::size_t held_ = 0;
};

} // namespace hibiscusnotch::relay

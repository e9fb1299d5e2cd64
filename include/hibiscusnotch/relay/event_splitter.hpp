/// @file
/// @brief Finds the boundaries and ids of server-sent events.
#pragma once

#include <string>
#include <string_view>

namespace hibiscusnotch::relay {

/// @brief Hands out whole events and keeps an unfinished tail back.
class EventSplitter
{
public:
  /// @brief Takes bytes; gives all events that they complete, unchanged.
  std::string Feed(std::string_view aBytes);

  /// @brief The id of the last whole event; empty when there was none.
  const std::string& LastId() const { return lastId_; }
  /// @brief True while part of an event is held back.
  bool HasPartialEvent() const { return !tail_.empty(); }
  /// @brief Drops the tail, before the stream goes on from another source.
  void DropPartialEvent() { tail_.clear(); }
  /// @brief Whole events so far.
  std::size_t EventCount() const { return events_; }

private:
  void ReadEvent(std::string_view aEvent);

  std::string tail_;
  std::string lastId_;
  std::size_t events_ = 0;
};

} // namespace hibiscusnotch::relay

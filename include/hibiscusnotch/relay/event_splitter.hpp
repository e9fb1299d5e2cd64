/// @file
/// @brief Splits a stream of server-sent events at event boundaries.
#pragma once

#include <string>
#include <string_view>

namespace hibiscusnotch::relay {

/// @brief Passes complete events on and buffers an incomplete one.
class EventSplitter
{
public:
  /// @brief Appends bytes; returns the events that are now complete, unchanged.
  std::string Feed(std::string_view aBytes);

  /// @brief The id of the last complete event; empty if there was none.
  const std::string& LastId() const { return lastId_; }
  /// @brief True while an incomplete event is buffered.
  bool HasPartialEvent() const { return !partial_.empty(); }
  /// @brief Drops the incomplete event, before another source resumes the
  /// stream.
  void DropPartialEvent() { partial_.clear(); }
  /// @brief Number of complete events so far.
  std::size_t EventCount() const { return events_; }

private:
  void ParseEvent(std::string_view aEvent);

  std::string partial_;
  std::string lastId_;
  std::size_t events_ = 0;
};

} // namespace hibiscusnotch::relay

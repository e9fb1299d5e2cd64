/// @file
/// @brief Splits a stream of server-sent events at event boundaries.
#pragma once

#include <string>
#include <string_view>

namespace hibiscusnotch::relay {

/// @brief Passes complete events on and buffers an incomplete one.
///
/// Ids that are numbers rise within a stream, also over several sources. An
/// event whose id does not is held back with all that follow.
class EventSplitter
{
public:
  /// @brief Far above the size of events, which hold a few tokens.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// @brief Appends bytes; returns the events that are now complete, unchanged.
  std::string Feed(std::string_view aBytes);

  /// @brief Goes on after an event that the receiver already has.
  void ResumeAfter(std::string_view aId) { lastId_ = aId; }

  /// @brief Tells that the bytes from here on come from another source.
  void BeginSource() { firstId_.clear(); }

  /// @brief True if an event was held back; only another source goes on.
  bool IsOutOfOrder() const { return outOfOrder_; }
  /// @brief True if the incomplete event is longer than any event may be.
  bool IsEventTooLong() const { return partial_.size() > kMaxEventBytes; }

  /// @brief The id of the last complete event; empty if there was none.
  const std::string& LastId() const { return lastId_; }
  /// @brief The id of the present source's first complete event that has one.
  const std::string& FirstId() const { return firstId_; }
  /// @brief True if a source that goes on after `LastId` repeats no event: none
  /// without an id has been passed on since.
  bool IsResumable() const { return !passedWithoutId_; }
  /// @brief Memory of what is held back.
  std::size_t HeldBytes() const { return partial_.capacity(); }
  /// @brief True while an incomplete event is buffered.
  bool HasPartialEvent() const { return !partial_.empty(); }
  /// @brief Drops what is held back, before another source resumes the stream.
  void DropPartialEvent()
  {
    partial_ = {};
    searched_ = 0;
    outOfOrder_ = false;
  }
  /// @brief Number of complete events so far.
  std::size_t EventCount() const { return events_; }

private:
  /// Returns false if the event must not follow those before it.
  bool AcceptEvent(std::string_view aEvent);

  std::string partial_;
  std::size_t searched_ = 0; ///< Bytes of it without the end of an event.
  std::string firstId_;
  std::string lastId_;
  std::size_t events_ = 0;
  bool outOfOrder_ = false;
  bool passedWithoutId_ = false;
};

} // namespace hibiscusnotch::relay

/// @file
/// @brief Incremental parser for server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hibiscusnotch::edge {

/// @brief Extracts the data of events from a stream split at any byte.
class SseReader
{
public:
  /// @brief Limits memory use; a larger event makes the reader fail.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// @brief Parses a piece; returns the data of each event it completes.
  std::vector<std::string> Feed(std::string_view aPiece);

  /// @brief True once an event exceeded kMaxEventBytes.
  bool Failed() const { return failed_; }

private:
  void ProcessLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::string line_;
  std::string data_;
  bool hasData_ = false;
  bool skipLineFeed_ = false;
  bool failed_ = false;
};

} // namespace hibiscusnotch::edge

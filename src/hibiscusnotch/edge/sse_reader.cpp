#include "hibiscusnotch/edge/sse_reader.hpp"

namespace hibiscusnotch::edge {

namespace {

constexpr std::string_view kData = "data:";

} // namespace

std::vector<std::string>
SseReader::Feed(std::string_view aPiece)
{
  std::vector<std::string> events;
  for (const char next : aPiece) {
    if (failed_) {
      return events;
    }
    const bool afterReturn = skipLineFeed_;
    skipLineFeed_ = next == '\r';
    if (next == '\n' && afterReturn) {
      continue;
    }
    if (next == '\n' || next == '\r') {
      ProcessLine(line_, events);
      line_.clear();
      continue;
    }
    line_.push_back(next);
    failed_ = line_.size() + data_.size() > kMaxEventBytes;
  }
  return events;
}

void
SseReader::ProcessLine(std::string_view aLine,
                       std::vector<std::string>& aEvents)
{
  if (aLine.empty()) {
    if (hasData_) {
      aEvents.push_back(std::move(data_));
    }
    data_.clear();
    hasData_ = false;
    return;
  }
  if (!aLine.starts_with(kData)) {
    return;
  }
  aLine.remove_prefix(kData.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (hasData_) {
    data_ += '\n';
  }
  data_ += aLine;
  hasData_ = true;
}

} // namespace hibiscusnotch::edge

#include "hibiscusnotch/relay/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>

namespace hibiscusnotch::relay {

namespace {

constexpr std::string_view kIdField = "id:";
// Without it a block is a comment, which keeps a connection open.
constexpr std::string_view kDataField = "data";

// A buffer of this size is given back once most of it is passed on.
constexpr std::size_t kMaxIdleBytes = 4096;
// An event ends with two line ends, of which the second has two bytes at most.
constexpr std::size_t kMaxSplitEnd = 2;

/// The offset after the first event's blank line that ends at the offset or
/// after it; npos if there is none.
std::size_t
EventEnd(std::string_view aText, std::size_t aFrom)
{
  for (std::size_t at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < aText.size() && aText[next] == '\r') {
      ++next;
    }
    if (next < aText.size() && aText[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

/// Nothing unless the whole id is a number.
std::optional<uint64_t>
ParseNumber(std::string_view aId)
{
  uint64_t number = 0;
  const char* const end = aId.data() + aId.size();
  const auto [parsed, error] = std::from_chars(aId.data(), end, number);
  return error == std::errc() && parsed == end ? std::optional(number)
                                               : std::nullopt;
}

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  if (outOfOrder_) {
    return {};
  }
  partial_.append(aBytes);
  std::size_t complete = 0;
  while (true) {
    const std::string_view rest = std::string_view(partial_).substr(complete);
    const std::size_t end = EventEnd(rest, searched_);
    if (end == std::string_view::npos) {
      searched_ = rest.size() - std::min(rest.size(), kMaxSplitEnd);
      break;
    }
    if (!AcceptEvent(rest.substr(0, end))) {
      outOfOrder_ = true;
      break;
    }
    complete += end;
    searched_ = 0;
  }
  std::string events = partial_.substr(0, complete);
  partial_.erase(0, complete);
  if (partial_.capacity() > std::max(kMaxIdleBytes, 2 * partial_.size())) {
    partial_.shrink_to_fit();
  }
  return events;
}

bool
EventSplitter::AcceptEvent(std::string_view aEvent)
{
  std::optional<std::string_view> id;
  bool hasData = false;
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = aEvent.find('\n', start);
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      id = line;
    } else if (line.starts_with(kDataField)) {
      hasData = true;
    }
    start = end == std::string_view::npos ? aEvent.size() : end + 1;
  }
  if (id && !id->empty()) {
    const auto number = ParseNumber(*id);
    const auto last = ParseNumber(lastId_);
    if (number && last && *number <= *last) {
      return false;
    }
    lastId_ = std::string(*id);
    if (firstId_.empty()) {
      firstId_ = lastId_;
    }
    passedWithoutId_ = false;
  } else if (hasData) {
    passedWithoutId_ = true;
  }
  ++events_;
  return true;
}

} // namespace hibiscusnotch::relay

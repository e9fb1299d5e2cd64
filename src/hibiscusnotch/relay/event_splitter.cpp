#include "hibiscusnotch/relay/event_splitter.hpp"

namespace hibiscusnotch::relay {

namespace {

constexpr std::string_view kIdField = "id:";

/// The offset after the first event's blank line; npos if it is incomplete.
std::size_t
EventEnd(std::string_view aText)
{
  for (std::size_t at = aText.find('\n'); at != std::string_view::npos;
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

} // namespace

std::string
EventSplitter::Feed(std::string_view aBytes)
{
  partial_.append(aBytes);
  std::size_t complete = 0;
  while (true) {
    const std::string_view rest = std::string_view(partial_).substr(complete);
    const std::size_t end = EventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    ParseEvent(rest.substr(0, end));
    complete += end;
  }
  std::string events = partial_.substr(0, complete);
  partial_.erase(0, complete);
  return events;
}

void
EventSplitter::ParseEvent(std::string_view aEvent)
{
  ++events_;
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
      lastId_ = std::string(line);
    }
    start = end == std::string_view::npos ? aEvent.size() : end + 1;
  }
}

} // namespace hibiscusnotch::relay

#include "hibiscusnotch/net/message_syntax.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace hibiscusnotch::net {

namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

} // namespace

bool
IsValidStatus(int aStatus)
{
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

bool
HasStrictLines(std::string_view aLines)
{
  for (std::size_t at = aLines.find('\n'); at != std::string_view::npos;
       at = aLines.find('\n', at + 1)) {
    if (at == 0 || aLines[at - 1] != '\r') {
      return false;
    }
    const char next = at + 1 < aLines.size() ? aLines[at + 1] : '\r';
    if (next == ' ' || next == '\t') {
      return false;
    }
  }
  return aLines.find('\0') == std::string_view::npos;
}

bool
HasKnownCoding(const Headers& aHeaders)
{
  return std::ranges::all_of(aHeaders, [](const auto& aField) {
    return !boost::beast::iequals(aField.first, "Transfer-Encoding") ||
           boost::beast::iequals(aField.second, "chunked");
  });
}

} // namespace hibiscusnotch::net

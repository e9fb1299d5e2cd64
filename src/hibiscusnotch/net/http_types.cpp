#include "hibiscusnotch/net/http_types.hpp"

#include <boost/beast/core/string.hpp>

namespace hibiscusnotch::net {

std::string_view
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

} // namespace hibiscusnotch::net

/// @file
/// @brief HTTP requests and responses as plain values.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscusnotch::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief The first value of a header; names are compared case-insensitively.
std::string_view
FindHeader(const Headers& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(headers, aName);
  }
};

struct HttpResponse
{
  int status = 0;
  Headers headers;
  std::string body;
};

} // namespace hibiscusnotch::net
